package entry

import (
	"context"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// fenceTimeout limits how long the entry waits to get a stream to the guard and
// then for the reply to a fence.
const fenceTimeout = 500 * clock.Millisecond

// fence sends a fence request, which bars the guard from running the request from
// now on. It reports whether the guard confirmed that the request has not run. It
// replaces a session that is closed.
func (a *attempt) fence() bool {
	e := a.runner.entry
	if a.stream.Session().Closed() {
		e.pool.DropSession(a.target.ID, a.stream.Session())
	}
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout.Duration())
	defer cancel()
	st, err := e.pool.AcquireStream(ctx, a.target.ID)
	if err != nil {
		return false
	}
	defer st.Close()
	st.SetReadTimeout(fenceTimeout)
	r := a.runner.request
	err = st.Send(&wire.Frame{Body: &wire.Frame_Fence{Fence: &wire.Fence{
		Id:          r.ID[:],
		Incarnation: a.target.Incarnation,
		Deadline:    float64(r.Deadline),
		SentAt:      float64(e.clock.Now()),
	}}})
	if err != nil {
		return false
	}
	f, err := st.Receive()
	if err != nil || f.GetFenceReply() == nil || !a.matchesRequest(f.GetFenceReply().GetId()) {
		return false
	}
	out := call.Outcome(f.GetFenceReply().GetOutcome())
	e.log.Info().Str("request", r.ID.String()).Str("target", a.target.ID).Str("outcome", out.String()).Msg("call_fenced")
	return out == call.OutcomeNotRun
}
