package entry

import (
	"context"
	"net/http"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/retry"
)

// graceAfterDeadline is how long the entry waits after the deadline for the
// guard's proof that the request was not run.
const graceAfterDeadline = 20 * clock.Millisecond

// refusalsBeforeQueueing is the number of targets that may refuse a call for the moment
// before it waits at one.
const refusalsBeforeQueueing = 3

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
	// ran counts the attempts that may have run the request.
	ran   int
	tried []string
	// unknown is set when an attempt may have run the request; it stays set,
	// whatever later attempts prove of themselves.
	unknown bool
	// spent is set when the retry budget stopped the call.
	spent bool
	// last is the result of the last attempt.
	last       call.Result
	restricted call.Reason
	target     *call.Target
	choice     call.Reason
}

func (t *tries) run() {
	limit := t.request.Deadline - t.began + graceAfterDeadline
	ctx, cancel := context.WithTimeout(t.in.Context(), limit.Duration())
	defer cancel()
	var err error
	if t.body, err = readBody(t.in, t.entry.held); err != nil {
		t.end(call.OutcomeNotRun, call.ReasonBadRequest)
		return
	}
	for {
		res, v, over := t.attempt(ctx)
		if over || t.settle(ctx, res, v) {
			return
		}
	}
}

// attempt runs one attempt and perhaps its hedge. It returns how it ended and
// whether the call may be tried again, or reports that the call is over.
func (t *tries) attempt(ctx context.Context) (res call.Result, v retry.Decision, over bool) {
	now := t.entry.clock.Now()
	if t.attempts >= refusalsBeforeQueueing {
		t.allowQueueing()
	}
	q := t.query(now, t.tried)
	target, reason, ok := t.service.choose(now, q, t.entry.roster, t.attempts == 0)
	if !ok {
		target, reason, ok = t.fallBack(now, q)
	}
	if !ok && t.allowQueueing() {
		// A target that refused the call for the moment is asked again.
		q.Tried = nil
		target, reason, ok = t.service.choose(now, q, t.entry.roster, false)
	}
	if !ok {
		t.endUnchosen(q, reason)
		return res, v, true
	}
	t.attempts++
	t.tried = append(t.tried, target.ID)
	a := &attempt{tries: t, target: target, choice: reason, began: now}
	h, ctx := t.hedged(ctx, a)
	res = a.open(ctx)
	if h != nil {
		defer h.release()
		a, res = h.settle(res)
	}
	t.target, t.choice = &a.target, a.choice
	now = t.entry.clock.Now()
	if res.Outcome != call.OutcomeNotRun {
		t.ran++
	}
	v = t.service.decide(now, retry.Attempt{Request: t.request, Result: res, Number: t.attempts, PossiblyRun: t.ran, StartedAt: t.began})
	if a.head != nil && !(v.Retry && t.another(now)) {
		a.reply(res)
		return res, v, true
	}
	if !a.hedge || a.head != nil {
		t.service.done(now, a.target.ID, res)
		a.close()
	}
	t.last = res
	return res, v, false
}

// allowQueueing lets the call wait at a target that refused it before, when there is
// no other left. It reports false if that is no use.
func (t *tries) allowQueueing() bool {
	if t.attempts == 0 || t.last.Outcome != call.OutcomeNotRun || !occupied(t.last.Reason) {
		return false
	}
	t.request.MayQueue = true
	return true
}

// occupied reports whether a target refused a call that it may run later.
func occupied(r call.Reason) bool {
	return r == call.ReasonBusy || r == call.ReasonSlowVM || r == call.ReasonCold
}

// another reports whether there is a target that was not tried yet. Only then
// is a response that reports an error given up for another attempt.
func (t *tries) another(now clock.Milli) bool {
	if t.body.sent || now >= t.request.Deadline {
		return false
	}
	for _, c := range t.entry.roster.Targets(t.request.Service) {
		if !c.Leaving && !slices.Contains(t.tried, c.ID) {
			return true
		}
	}
	return false
}

func (t *tries) query(now clock.Milli, tried []string) pick.Query {
	e := t.entry
	allow, restricted := e.rules.Allow(now, t.request)
	if allow != nil {
		t.restricted = restricted
	}
	return pick.Query{Request: t.request, Centre: e.self.Centre, Region: e.self.Region, Tried: tried, Allow: t.outside(allow)}
}

// endUnchosen ends a call for which there is no further target. The reason of
// the last attempt says more than the lack of another target.
func (t *tries) endUnchosen(q pick.Query, reason call.Reason) {
	out := call.OutcomeNotRun
	switch {
	case t.attempts > 0:
		out, reason = t.last.Outcome, t.last.Reason
	case q.Allow != nil && t.restricted != call.ReasonNone:
		reason = t.restricted
	}
	t.end(out, reason)
}

// settle decides what follows an attempt without a response. It reports true
// when the call is over.
func (t *tries) settle(ctx context.Context, res call.Result, v retry.Decision) bool {
	// A response that reported an error proves that the request was run.
	if res.Outcome != call.OutcomeNotRun {
		t.unknown = true
	}
	if !v.Retry || t.body.sent || !t.pause(ctx, v.Delay) {
		t.spent = v.Reason == call.ReasonRetryBudget || v.Final && !v.Retry
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

// pause waits before the next attempt. It reports false if the call ends
// before that.
func (t *tries) pause(ctx context.Context, d clock.Milli) bool {
	if t.in.Context().Err() != nil || t.entry.clock.Now()+d >= t.request.Deadline {
		return false
	}
	return d <= 0 || clock.Sleep(ctx, d)
}

// end answers the caller after the last attempt.
func (t *tries) end(out call.Outcome, reason call.Reason) {
	if t.unknown {
		out = call.OutcomeUnknown
	}
	overdue := t.entry.clock.Now() >= t.request.Deadline
	t.closeIfUnread()
	t.entry.finish(t.out, t.decision(out, reason, 0), overdue)
}

func (t *tries) closeIfUnread() {
	if t.body.unread() {
		t.out.Header().Set("Connection", "close")
	}
}

func (t *tries) decision(out call.Outcome, reason call.Reason, status int) CallSummary {
	now := t.entry.clock.Now()
	return CallSummary{
		At:               now,
		Request:          t.request,
		Target:           t.target,
		SelectionReason:  t.choice,
		Outcome:          out,
		Reason:           reason,
		Status:           status,
		Attempts:         t.attempts,
		RetriesExhausted: t.attempts > 1 || t.spent,
		Latency:          now - t.began,
	}
}

// writeHead starts the response to the caller.
func (t *tries) writeHead(status int) {
	d := t.decision(call.OutcomeAnswered, call.ReasonNone, status)
	t.entry.protocol.SetResponseHeaders(t.out.Header(), &d)
	t.closeIfUnread()
	t.out.WriteHeader(status)
}
