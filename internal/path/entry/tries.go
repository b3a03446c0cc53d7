package entry

import (
	"context"
	"net/http"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/retry"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
)

// graceAfterDeadline is how long the entry waits after the deadline for the
// guard's proof that the request was not run.
const graceAfterDeadline = 20 * clock.Millisecond

// tries runs the attempts of one call, one after the other.
type tries struct {
	entry   *Entry
	service *service
	request *call.Request
	in      *http.Request
	out     http.ResponseWriter
	began   clock.Milli
	body    *body

	attempts int
	tried    []string
	// unknown is set when an attempt may have run the request; it stays set,
	// whatever later attempts prove of themselves.
	unknown bool
	target  *call.Target
	choice  call.Reason
}

func (t *tries) run() {
	limit := t.request.Deadline - t.began + graceAfterDeadline
	ctx, cancel := context.WithTimeout(t.in.Context(), limit.Duration())
	defer cancel()
	var err error
	if t.body, err = readBody(t.in); err != nil {
		t.end(call.NotRun, call.ReasonBadRequest)
		return
	}
	for {
		again, res := t.attempt(ctx)
		if !again {
			return
		}
		if stop := t.settle(res); stop {
			return
		}
	}
}

// attempt runs one attempt. It reports false when the call is over.
func (t *tries) attempt(ctx context.Context) (bool, call.Result) {
	e := t.entry
	now := e.clock.Now()
	allow, restricted := e.rules.Allow(now, t.request)
	q := pick.Query{Request: t.request, Centre: e.self.Centre, Region: e.self.Region, Tried: t.tried, Allow: allow}
	target, reason, ok := t.service.choose(now, q, t.attempts == 0)
	if !ok {
		if restricted != call.ReasonNone {
			reason = restricted
		}
		t.end(call.NotRun, reason)
		return false, call.Result{}
	}
	t.attempts++
	t.target, t.choice = &target, reason
	t.tried = append(t.tried, target.ID)
	a := &attempt{tries: t, target: &target, began: now}
	res := a.run(ctx)
	t.service.done(e.clock.Now(), target.ID, res)
	return !a.replied, res
}

// settle decides what follows an attempt without a response. It reports true
// when the call is over.
func (t *tries) settle(res call.Result) bool {
	if res.Outcome == call.Unknown {
		t.unknown = true
	}
	now := t.entry.clock.Now()
	v := t.service.decide(now, retry.Attempt{Request: t.request, Result: res, Number: t.attempts, Started: t.began})
	if !v.Retry || t.body.sent || t.in.Context().Err() != nil {
		reason := res.Reason
		if reason == call.ReasonNone {
			reason = v.Reason
		}
		t.end(res.Outcome, reason)
		return true
	}
	t.entry.log.Info().Str("request", t.request.ID.String()).Str("target", t.target.ID).
		Str("outcome", res.Outcome.String()).Str("reason", res.Reason.String()).Msg("call_retried")
	return false
}

// end answers the caller after the last attempt.
func (t *tries) end(out call.Outcome, reason call.Reason) {
	if t.unknown {
		out = call.Unknown
	}
	now := t.entry.clock.Now()
	status := http.StatusServiceUnavailable
	switch {
	case now >= t.request.Deadline:
		status = http.StatusGatewayTimeout
	case out == call.Unknown:
		status = http.StatusBadGateway
	case reason == call.ReasonBadRequest:
		status = http.StatusBadRequest
	}
	t.entry.finish(t.out, t.decision(out, reason, status))
}

func (t *tries) decision(out call.Outcome, reason call.Reason, status int) Decision {
	now := t.entry.clock.Now()
	return Decision{
		At:       now,
		Request:  t.request,
		Target:   t.target,
		Choice:   t.choice,
		Outcome:  out,
		Reason:   reason,
		Status:   status,
		Attempts: t.attempts,
		Latency:  now - t.began,
	}
}

// writeHead starts the response to the caller.
func (t *tries) writeHead(status int) {
	h := t.out.Header()
	h.Set(header.Outcome, call.Answered.String())
	h.Set(header.Target, t.target.ID)
	h.Set(header.Version, t.target.Version)
	t.out.WriteHeader(status)
}
