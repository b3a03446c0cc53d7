package entry

import (
	"bytes"
	"context"
	"net/http"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// fenceTimeout bounds the wait for proof that a request was not run.
const fenceTimeout = 500 * clock.Millisecond

// attempt runs a call on one target.
type attempt struct {
	tries  *tries
	target *call.Target
	began  clock.Milli
	stream *link.Stream
	clean  bool
	// replied is set when the caller's response was started.
	replied bool
}

func (a *attempt) run(ctx context.Context) call.Result {
	st, err := a.tries.entry.pool.Stream(ctx, a.target.ID)
	if err != nil {
		return a.failed(call.NotRun, call.ReasonLinkFailed)
	}
	a.stream = st
	stop := context.AfterFunc(ctx, st.Interrupt)
	defer func() {
		if stop() && a.clean {
			st.Session().Release(st)
			return
		}
		st.Close()
	}()
	if err := st.Send(a.start()); err != nil {
		return a.broken(ctx)
	}
	return a.receive(ctx)
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
		EntryCentre:      t.entry.self.Centre,
	}
	if t.body.complete {
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
			if !a.own(b.Admitted.GetId()) {
				return a.failed(call.Unknown, call.ReasonLinkBroken)
			}
			a.tries.body.sent = true
			_ = http.NewResponseController(a.tries.out).EnableFullDuplex()
			go a.loop()
		case *wire.Frame_Refused:
			return a.refused(b.Refused)
		case *wire.Frame_ReplyHead:
			return a.reply(b.ReplyHead)
		default:
			return a.failed(call.Unknown, call.ReasonLinkBroken)
		}
	}
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
		return a.failed(call.Unknown, call.ReasonLinkBroken)
	}
	a.clean = a.tries.body.complete
	res := a.failed(call.Outcome(r.GetOutcome()), call.Reason(r.GetReason()))
	res.View = link.DecodeView(r.GetView(), a.tries.entry.clock.Now())
	return res
}

// failed describes an attempt without a response. Refusals are no failures of
// the target.
func (a *attempt) failed(out call.Outcome, reason call.Reason) call.Result {
	return call.Result{
		Outcome: out,
		Reason:  reason,
		Failed:  out == call.Unknown || reason == call.ReasonLinkFailed || reason == call.ReasonDialFailed,
		Latency: a.tries.entry.clock.Now() - a.began,
	}
}

// broken handles a link that broke after the request was sent. For a request
// that may not repeat, the guard is asked to fence it.
func (a *attempt) broken(ctx context.Context) call.Result {
	reason := call.ReasonLinkBroken
	if ctx.Err() != nil {
		reason = call.ReasonDeadline
		if a.tries.in.Context().Err() != nil {
			reason = call.ReasonCancelled
		}
	}
	res := a.failed(call.Unknown, reason)
	// A slow caller or deadline is no proof against the target.
	res.Failed = reason != call.ReasonCancelled
	if a.tries.request.Repeatable || reason == call.ReasonCancelled {
		return res
	}
	if a.fence() {
		res.Outcome = call.NotRun
	}
	return res
}

// fence asks the guard over a new link to never run the request. It reports
// whether the guard proved that it did not run.
func (a *attempt) fence() bool {
	e := a.tries.entry
	if a.stream.Session().Closed() {
		e.pool.Drop(a.target.ID, a.stream.Session())
	}
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout.Duration())
	defer cancel()
	st, err := e.pool.Stream(ctx, a.target.ID)
	if err != nil {
		return false
	}
	defer st.Close()
	st.SetReadTimeout(fenceTimeout)
	r := a.tries.request
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
	if err != nil || f.GetFenceReply() == nil || !a.own(f.GetFenceReply().GetId()) {
		return false
	}
	out := call.Outcome(f.GetFenceReply().GetOutcome())
	e.log.Info().Str("request", r.ID.String()).Str("target", a.target.ID).Str("outcome", out.String()).Msg("call_fenced")
	return out == call.NotRun
}

// reply passes the response on to the caller.
func (a *attempt) reply(h *wire.ReplyHead) call.Result {
	if !a.own(h.GetId()) {
		return a.failed(call.Unknown, call.ReasonLinkBroken)
	}
	t := a.tries
	now := t.entry.clock.Now()
	res := call.Result{
		Outcome: call.Answered,
		Failed:  h.GetStatus() >= http.StatusInternalServerError,
		Latency: now - a.began,
	}
	a.replied = true
	header.Decode(t.out.Header(), h.GetHeaders())
	t.writeHead(int(h.GetStatus()))
	end, whole := a.copyBody(h)
	res.View = link.DecodeView(end.GetView(), t.entry.clock.Now())
	d := t.decision(call.Answered, call.ReasonNone, int(h.GetStatus()))
	if !whole {
		res.Failed = true
		d.Reason = call.ReasonUpstreamFailed
		t.service.done(now, a.target.ID, res)
		t.entry.note(d)
		// The only way to tell the caller that the response is cut short.
		panic(http.ErrAbortHandler)
	}
	a.clean = t.body.complete
	t.entry.note(d)
	return res
}

// copyBody copies the response body and reports whether it is whole.
func (a *attempt) copyBody(h *wire.ReplyHead) (*wire.ReplyEnd, bool) {
	t := a.tries
	rc := http.NewResponseController(t.out)
	streaming := h.GetContentLength() < 0
	var length int64
	for {
		f, err := a.stream.Receive()
		if err != nil {
			return nil, false
		}
		if c := f.GetBodyChunk(); c != nil {
			length += int64(len(c.GetData()))
			if _, err := t.out.Write(c.GetData()); err != nil {
				return nil, false
			}
			if streaming {
				_ = rc.Flush()
			}
			continue
		}
		end := f.GetReplyEnd()
		if end == nil || !a.own(end.GetId()) || end.GetError() != "" {
			return end, false
		}
		setTrailers(t.out.Header(), end.GetTrailers())
		return end, length == end.GetLength()
	}
}

func setTrailers(h http.Header, trailers []*wire.Header) {
	for _, tr := range trailers {
		for _, v := range tr.GetValues() {
			h.Add(http.TrailerPrefix+tr.GetName(), v)
		}
	}
}
