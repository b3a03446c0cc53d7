package entry

import (
	"bytes"
	"context"
	"net/http"
	"sync/atomic"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// attempt runs a call on one target.
type attempt struct {
	tries  *tries
	target call.Target
	choice call.Reason
	began  clock.Milli
	hedge  bool
	stream *link.Stream
	stop   func() bool
	clean  bool
	// head is the start of the response, once it has arrived.
	head *wire.ReplyHead
	// lost is set before the attempt is interrupted because another one of
	// the same call was answered first.
	lost atomic.Bool
}

// open sends the request and waits for a refusal or the start of the response.
func (a *attempt) open(ctx context.Context) call.Result {
	st, err := a.tries.entry.pool.AcquireStream(ctx, a.target.ID)
	if err != nil {
		res := a.failed(call.OutcomeNotRun, a.reason(ctx, call.ReasonLinkFailed))
		res.Failed = res.Reason != call.ReasonCancelled
		return res
	}
	a.stream = st
	a.stop = context.AfterFunc(ctx, st.Interrupt)
	if err := st.Send(a.start()); err != nil {
		return a.broken(ctx)
	}
	return a.receive(ctx)
}

// close gives the stream back if it can be used for more calls.
func (a *attempt) close() {
	if a.stream == nil {
		return
	}
	if a.stop() && a.clean {
		a.stream.Session().ReleaseStream(a.stream)
		return
	}
	a.stream.Close()
}

func (a *attempt) start() *wire.Frame {
	t := a.tries
	r := t.request
	c := &wire.CallStart{
		Id:               r.ID[:],
		Service:          r.Service,
		Route:            r.Route,
		Method:           r.Method,
		Uri:              t.in.URL.RequestURI(),
		Host:             t.in.Host,
		Headers:          header.Encode(t.in.Header),
		Class:            uint32(r.Class),
		Repeatable:       r.Repeatable,
		Depth:            uint32(r.Depth),
		Deadline:         float64(r.Deadline),
		SentAt:           float64(t.entry.clock.Now()),
		ContentLength:    t.body.length,
		GuardIncarnation: a.target.Incarnation,
		Hedge:            a.hedge,
		EntryCentre:      t.entry.self.Centre,
		Trailers:         t.body.trailers,
		Rank:             uint32(r.Priority),
		Aim:              float64(r.SoftDeadline),
		Label:            r.ClientRequestID,
		MayQueue:         r.MayQueue,
	}
	if t.body.inline(t.entry.inline) {
		c.Body = t.body.head
		c.BodyComplete = true
	}
	return &wire.Frame{Body: &wire.Frame_CallStart{CallStart: c}}
}

// receive waits for the guard's verdict or the response.
func (a *attempt) receive(ctx context.Context) call.Result {
	for {
		f, err := a.stream.Receive()
		if err != nil {
			return a.broken(ctx)
		}
		switch b := f.GetBody().(type) {
		case *wire.Frame_Admitted:
			body := a.tries.body
			if body.inline(a.tries.entry.inline) || body.sent || !a.own(b.Admitted.GetId()) {
				return a.failed(call.OutcomeUnknown, call.ReasonLinkBroken)
			}
			if !body.complete {
				body.sent = true
				_ = http.NewResponseController(a.tries.out).EnableFullDuplex()
			}
			go a.loop()
		case *wire.Frame_Refused:
			return a.refused(b.Refused)
		case *wire.Frame_ReplyHead:
			if !a.own(b.ReplyHead.GetId()) {
				return a.failed(call.OutcomeUnknown, call.ReasonLinkBroken)
			}
			a.head = b.ReplyHead
			return a.answered()
		default:
			return a.failed(call.OutcomeUnknown, call.ReasonLinkBroken)
		}
	}
}

// answered describes an attempt whose response has begun. A refusal of a lower
// level that has used up its retries must not be retried here.
func (a *attempt) answered() call.Result {
	res := call.Result{
		Outcome: call.OutcomeAnswered,
		Class:   a.tries.request.Class,
		Failed:  a.head.GetStatus() >= http.StatusInternalServerError,
		Latency: a.tries.entry.clock.Now() - a.began,
	}
	for _, h := range a.head.GetHeaders() {
		if h.GetName() == header.Retried {
			res.Reason = call.ReasonRetriedBelow
		}
	}
	return res
}

// loop sends the request body while the main goroutine waits for the
// response. When the caller's body breaks off, so does the call.
func (a *attempt) loop() {
	if err := a.tries.body.stream(a.stream); err != nil {
		a.stream.Close()
	}
}

func (a *attempt) own(id []byte) bool {
	return assert.That(bytes.Equal(id, a.tries.request.ID[:]), assert.OwnAnswer,
		"frame of request %x on the stream of %s", id, a.tries.request.ID)
}

func (a *attempt) refused(r *wire.Refused) call.Result {
	if !a.own(r.GetId()) {
		return a.failed(call.OutcomeUnknown, call.ReasonLinkBroken)
	}
	a.clean = a.tries.body.inline(a.tries.entry.inline)
	res := a.failed(call.Outcome(r.GetOutcome()), call.Reason(r.GetReason()))
	res.State = link.DecodeUpstreamState(r.GetView(), a.tries.entry.clock.Now())
	return res
}

// failed describes an attempt without a response. Refusals are no failures of
// the target.
func (a *attempt) failed(out call.Outcome, reason call.Reason) call.Result {
	return call.Result{
		Outcome: out,
		Class:   a.tries.request.Class,
		Reason:  reason,
		Failed:  out == call.OutcomeUnknown || reason == call.ReasonLinkFailed || reason == call.ReasonDialFailed,
		Latency: a.tries.entry.clock.Now() - a.began,
	}
}

// broken handles a link that broke after the request was sent. For a request
// that may not repeat, the guard is asked to fence it.
func (a *attempt) broken(ctx context.Context) call.Result {
	reason := a.reason(ctx, call.ReasonLinkBroken)
	res := a.failed(call.OutcomeUnknown, reason)
	// A caller that leaves is no evidence against the target.
	res.Failed = reason != call.ReasonCancelled
	if a.tries.request.Repeatable || reason == call.ReasonCancelled {
		return res
	}
	if a.fence() {
		res.Outcome = call.OutcomeNotRun
	}
	return res
}

// reason explains a failure, which is other than the link's own if ctx ended.
func (a *attempt) reason(ctx context.Context, otherwise call.Reason) call.Reason {
	switch {
	case ctx.Err() == nil:
		return otherwise
	case a.tries.in.Context().Err() != nil || a.lost.Load():
		return call.ReasonCancelled
	default:
		return call.ReasonDeadline
	}
}
