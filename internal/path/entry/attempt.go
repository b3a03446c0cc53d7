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

// attempt is one try of a call on one target.
type attempt struct {
	runner          *callRunner
	target          call.Target
	selectionReason call.Reason
	startedAt       clock.Milli
	isHedge         bool
	stream          *link.Stream
	// stopInterrupt prevents the end of the context from interrupting the
	// stream. It reports false if the stream was interrupted already.
	stopInterrupt func() bool
	// reusable is set when no frame of the call is outstanding on the stream.
	reusable bool
	// head is the head of the response, nil until it arrives.
	head *wire.ReplyHead
	// superseded is set before the attempt is interrupted because another
	// attempt of the same call was answered first.
	superseded atomic.Bool
}

// open sends the request and waits for a refusal or the start of the response.
func (a *attempt) open(ctx context.Context) call.Result {
	st, err := a.runner.entry.pool.AcquireStream(ctx, a.target.ID)
	if err != nil {
		res := a.failureResult(call.OutcomeNotRun, a.failureReason(ctx, call.ReasonLinkFailed))
		res.Failed = res.Reason != call.ReasonCancelled
		return res
	}
	a.stream = st
	a.stopInterrupt = context.AfterFunc(ctx, st.Interrupt)
	if err := st.Send(a.callStartFrame()); err != nil {
		return a.handleLinkFailure(ctx)
	}
	return a.receive(ctx)
}

// close returns the stream to its session if it can be reused, or else closes it.
func (a *attempt) close() {
	if a.stream == nil {
		return
	}
	if a.stopInterrupt() && a.reusable {
		a.stream.Session().ReleaseStream(a.stream)
		return
	}
	a.stream.Close()
}

func (a *attempt) callStartFrame() *wire.Frame {
	runner := a.runner
	r := runner.request
	c := &wire.CallStart{
		Id:               r.ID[:],
		Service:          r.Service,
		Route:            r.Route,
		Method:           r.Method,
		Uri:              runner.httpReq.URL.RequestURI(),
		Host:             runner.httpReq.Host,
		Headers:          header.Encode(runner.httpReq.Header),
		Class:            uint32(r.Class),
		Repeatable:       r.Repeatable,
		Depth:            uint32(r.Depth),
		Deadline:         float64(r.Deadline),
		SentAt:           float64(runner.entry.clock.Now()),
		ContentLength:    runner.body.contentLength,
		GuardIncarnation: a.target.Incarnation,
		Hedge:            a.isHedge,
		EntryCentre:      runner.entry.self.Centre,
		Trailers:         runner.body.trailerNames,
		Rank:             uint32(r.Priority),
		Aim:              float64(r.SoftDeadline),
		Label:            r.ClientRequestID,
		MayQueue:         r.MayQueue,
		Fingerprint:      r.Fingerprint,
		Workspace:        r.Workspace,
	}
	if runner.body.fitsInline(runner.entry.maxInlineBytes) {
		c.Body = runner.body.buffered.contiguous()
		c.BodyComplete = true
	}
	return &wire.Frame{Body: &wire.Frame_CallStart{CallStart: c}}
}

// receive waits for a refusal or the head of the response. When the guard
// admits the call, receive starts to send the rest of the request body.
func (a *attempt) receive(ctx context.Context) call.Result {
	for {
		f, err := a.stream.Receive()
		if err != nil {
			return a.handleLinkFailure(ctx)
		}
		switch b := f.GetBody().(type) {
		case *wire.Frame_Admitted:
			body := a.runner.body
			if body.fitsInline(a.runner.entry.maxInlineBytes) || body.streamed || !a.matchesRequest(b.Admitted.GetId()) {
				return a.failureResult(call.OutcomeUnknown, call.ReasonLinkBroken)
			}
			if !body.complete {
				body.streamed = true
				_ = http.NewResponseController(a.runner.respWriter).EnableFullDuplex()
			}
			go a.sendBody()
		case *wire.Frame_Refused:
			return a.handleRefusal(b.Refused)
		case *wire.Frame_ReplyHead:
			if !a.matchesRequest(b.ReplyHead.GetId()) {
				return a.failureResult(call.OutcomeUnknown, call.ReasonLinkBroken)
			}
			if !header.IsFinalStatus(int(b.ReplyHead.GetStatus())) {
				return a.failureResult(call.OutcomeUnknown, call.ReasonInvalidAnswer)
			}
			a.head = b.ReplyHead
			return a.responseResult()
		default:
			return a.failureResult(call.OutcomeUnknown, call.ReasonLinkBroken)
		}
	}
}

// responseResult returns the result of an attempt whose response head has
// arrived. The header Retried marks the failure of a call further down the call
// chain that was already retried there and must not be retried here.
func (a *attempt) responseResult() call.Result {
	res := call.Result{
		Outcome: call.OutcomeAnswered,
		Class:   a.runner.request.Class,
		Failed:  a.head.GetStatus() >= http.StatusInternalServerError,
		Latency: a.runner.entry.clock.Now() - a.startedAt,
	}
	for _, h := range a.head.GetHeaders() {
		if h.GetName() == header.Retried {
			res.Reason = call.ReasonRetriedBelow
		}
	}
	return res
}

// sendBody sends the request body while another goroutine waits for the
// response. If the caller's body can't be read to its end, sendBody closes the
// stream, which cancels the call at the guard.
func (a *attempt) sendBody() {
	if err := a.runner.body.streamTo(a.stream); err != nil {
		a.stream.Close()
	}
}

// matchesRequest reports whether id is that of the request. A frame with
// another id violates the invariant assert.OwnAnswer.
func (a *attempt) matchesRequest(id []byte) bool {
	return assert.That(bytes.Equal(id, a.runner.request.ID[:]), assert.OwnAnswer,
		"frame of request %x on the stream of request %s", id, a.runner.request.ID)
}

func (a *attempt) handleRefusal(r *wire.Refused) call.Result {
	if !a.matchesRequest(r.GetId()) {
		return a.failureResult(call.OutcomeUnknown, call.ReasonLinkBroken)
	}
	a.reusable = a.runner.body.fitsInline(a.runner.entry.maxInlineBytes)
	res := a.failureResult(call.Outcome(r.GetOutcome()), call.Reason(r.GetReason()))
	res.State = link.DecodeUpstreamState(r.GetView(), a.runner.entry.clock.Now())
	res.RetryIn = clock.Milli(r.GetRetryIn())
	return res
}

// failureResult returns the result of an attempt without a response. The attempt
// counts as a failure of the target only if its outcome is unknown or no connection
// could be opened, so most refusals do not.
func (a *attempt) failureResult(out call.Outcome, reason call.Reason) call.Result {
	return call.Result{
		Outcome: out,
		Class:   a.runner.request.Class,
		Reason:  reason,
		Failed:  out == call.OutcomeUnknown || reason == call.ReasonLinkFailed || reason == call.ReasonDialFailed,
		Latency: a.runner.entry.clock.Now() - a.startedAt,
	}
}

// handleLinkFailure returns the result of an attempt whose link failed during or
// after the sending of the request. Unless the request is repeatable or cancelled,
// it sends a fence request to find out whether the guard can rule out a run.
func (a *attempt) handleLinkFailure(ctx context.Context) call.Result {
	reason := a.failureReason(ctx, call.ReasonLinkBroken)
	res := a.failureResult(call.OutcomeUnknown, reason)
	// A cancelled call does not count as a failure of the target.
	res.Failed = reason != call.ReasonCancelled
	if a.runner.request.Repeatable || reason == call.ReasonCancelled {
		return res
	}
	if a.fence() {
		res.Outcome = call.OutcomeNotRun
	}
	return res
}

// failureReason returns the reason why ctx ended, or fallback if it has not ended.
func (a *attempt) failureReason(ctx context.Context, fallback call.Reason) call.Reason {
	switch {
	case ctx.Err() == nil:
		return fallback
	case a.runner.httpReq.Context().Err() != nil || a.superseded.Load():
		return call.ReasonCancelled
	default:
		return call.ReasonDeadline
	}
}
