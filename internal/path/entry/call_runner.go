package entry

import (
	"context"
	"net/http"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/retry"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/charge"
)

// graceAfterDeadline is how long the entry waits after the deadline for the
// guard's proof that the request was not run.
const graceAfterDeadline = 20 * clock.Millisecond

// refusalsBeforeQueueing is the number of attempts after which a call whose last
// refusal was temporary may wait in the queue of a guard.
const refusalsBeforeQueueing = 3

// callRunner runs the attempts of one call sequentially, except hedges.
type callRunner struct {
	entry      *Entry
	service    *service
	request    *call.Request
	httpReq    *http.Request
	respWriter http.ResponseWriter
	startedAt  clock.Milli
	body       *requestBody
	// account is charged for what the call holds.
	account *charge.Account
	cutOff  *cutOff

	attempts int
	// possiblyRun counts the attempts that may have run the request.
	possiblyRun int
	triedIDs    []string
	// outcomeUnknown is set when an attempt whose response was not forwarded
	// may have run the request. The results of later attempts do not reset it.
	outcomeUnknown bool
	// retriesExhausted is set when the retry policy ruled out any further
	// attempt.
	retriesExhausted bool
	lastResult       call.Result
	// retryAt is the earliest time at which a target that refused the call accepts another
	// one, zero if none said.
	retryAt clock.Milli
	// restrictionReason is the reason that TargetRules.Allow returned with its
	// last filter.
	restrictionReason call.Reason
	target            *call.Target
	selectionReason   call.Reason
}

func (r *callRunner) run() {
	timeout := r.request.Deadline - r.startedAt + graceAfterDeadline
	ctx, cancel := context.WithTimeout(r.httpReq.Context(), timeout.Duration())
	defer cancel()
	defer r.openAccount()()
	if reason := r.receiveBody(ctx); reason != call.ReasonNone {
		r.end(call.OutcomeNotRun, reason)
		return
	}
	r.setFingerprint()
	for !r.isHeld() {
		res, decision, ended := r.runAttempt(ctx)
		if ended || r.retryOrEnd(ctx, res, decision) {
			return
		}
	}
}

// runAttempt runs one attempt and its hedge, if any. It returns the result and
// whether the call is retried. Ended says that a response or an error was sent to
// the caller.
func (r *callRunner) runAttempt(ctx context.Context) (res call.Result, decision retry.Decision, ended bool) {
	now := r.entry.clock.Now()
	if r.attempts >= refusalsBeforeQueueing {
		r.allowQueueing()
	}
	q := r.pickQuery(now, r.triedIDs)
	target, reason, ok := r.service.choose(now, q, r.entry.roster, r.attempts == 0)
	if !ok {
		target, reason, ok = r.chooseFallback(now, q)
	}
	if !ok && r.allowQueueing() {
		// Targets that refused the call temporarily may be chosen again.
		q.Tried = nil
		target, reason, ok = r.service.choose(now, q, r.entry.roster, false)
	}
	if !ok {
		r.endWithoutTarget(q, reason)
		return res, decision, true
	}
	r.attempts++
	r.triedIDs = append(r.triedIDs, target.ID)
	a := &attempt{runner: r, target: target, selectionReason: reason, startedAt: now}
	h, ctx := r.prepareHedge(ctx, a)
	res = a.open(ctx)
	if h != nil {
		defer h.release()
		a, res = h.resolve(res)
	}
	r.target, r.selectionReason = &a.target, a.selectionReason
	now = r.entry.clock.Now()
	if res.Outcome != call.OutcomeNotRun {
		r.possiblyRun++
	}
	decision = r.service.decide(now, retry.Attempt{Request: r.request, Result: res, Number: r.attempts, PossiblyRun: r.possiblyRun, StartedAt: r.startedAt})
	if a.head != nil && !(decision.Retry && r.hasUntriedTarget(now)) {
		a.forwardResponse(res)
		return res, decision, true
	}
	if !a.isHedge || a.head != nil {
		r.service.recordResult(now, a.target.ID, res)
		a.close()
	}
	r.lastResult = res
	r.recordRetryIn(now, res)
	return res, decision, false
}

// recordRetryIn records when a target that refused the call accepts another one, if that is
// earlier than what others said.
func (r *callRunner) recordRetryIn(now clock.Milli, res call.Result) {
	if at := now + res.RetryIn; res.RetryIn > 0 && (r.retryAt == 0 || at < r.retryAt) {
		r.retryAt = at
	}
}

// allowQueueing permits the guards to queue the call, if the last attempt ended
// with a temporary refusal. It reports whether it did so.
func (r *callRunner) allowQueueing() bool {
	if r.attempts == 0 || r.lastResult.Outcome != call.OutcomeNotRun || !isTemporaryRefusal(r.lastResult.Reason) {
		return false
	}
	r.request.MayQueue = true
	return true
}

// isTemporaryRefusal reports whether a target that refused a call for this
// reason may accept it later.
func isTemporaryRefusal(r call.Reason) bool {
	switch r {
	case call.ReasonBusy, call.ReasonRouteShare, call.ReasonSlowVM, call.ReasonCold, call.ReasonRateLimit:
		return true
	default:
		return false
	}
}

// hasUntriedTarget reports whether the call can be sent to a target that was not
// tried yet. Only then is an error response discarded in favour of another
// attempt.
func (r *callRunner) hasUntriedTarget(now clock.Milli) bool {
	if r.body.streamed || now >= r.request.Deadline {
		return false
	}
	for _, c := range r.entry.roster.Targets(r.request.Service) {
		if !c.Leaving && !slices.Contains(r.triedIDs, c.ID) {
			return true
		}
	}
	return false
}

func (r *callRunner) pickQuery(now clock.Milli, tried []string) pick.Query {
	e := r.entry
	allow, restricted := e.rules.Allow(now, r.request)
	if allow != nil {
		r.restrictionReason = restricted
	}
	return pick.Query{Request: r.request, Centre: e.self.Centre, Region: e.self.Region, Tried: tried, Allow: r.excludeRefusingCentre(allow)}
}

// endWithoutTarget ends a call for which no target can be chosen. If there was an
// attempt, the call ends with its outcome and reason, which say more than the
// lack of another target.
func (r *callRunner) endWithoutTarget(q pick.Query, reason call.Reason) {
	out := call.OutcomeNotRun
	switch {
	case r.attempts > 0:
		out, reason = r.lastResult.Outcome, r.lastResult.Reason
	case q.Allow != nil && r.restrictionReason != call.ReasonNone:
		reason = r.restrictionReason
	}
	r.end(out, reason)
}

// retryOrEnd handles an attempt whose response, if any, was not forwarded. It waits
// for the delay of the retry, or ends the call if it is not retried. It reports
// whether the call has ended.
func (r *callRunner) retryOrEnd(ctx context.Context, res call.Result, decision retry.Decision) bool {
	// An attempt that got an error response has run the request, too.
	if res.Outcome != call.OutcomeNotRun {
		r.outcomeUnknown = true
	}
	if !decision.Retry || r.body.streamed || !r.waitBeforeRetry(ctx, decision.Delay) {
		r.retriesExhausted = decision.Reason == call.ReasonRetryBudget || decision.Final && !decision.Retry
		reason := res.Reason
		if reason == call.ReasonNone {
			reason = decision.Reason
		}
		r.end(res.Outcome, reason)
		return true
	}
	r.entry.log.Info().Str("request", r.request.ID.String()).Str("target", r.target.ID).
		Str("outcome", res.Outcome.String()).Str("reason", res.Reason.String()).Msg("call_retried")
	return false
}

// waitBeforeRetry waits for the delay before the next attempt. It reports false
// if the call is cancelled or reaches its deadline before that.
func (r *callRunner) waitBeforeRetry(ctx context.Context, delay clock.Milli) bool {
	if r.httpReq.Context().Err() != nil || r.entry.clock.Now()+delay >= r.request.Deadline {
		return false
	}
	return delay <= 0 || clock.Sleep(ctx, delay)
}

// end sends a failure response to the caller after the last attempt.
func (r *callRunner) end(out call.Outcome, reason call.Reason) {
	if r.outcomeUnknown {
		out = call.OutcomeUnknown
	}
	overdue := r.entry.clock.Now() >= r.request.Deadline
	r.closeIfUnread()
	r.entry.respondFailure(r.respWriter, r.summary(out, reason, 0), overdue)
}

// closeIfUnread makes the server close the caller's connection after the response
// if a part of the request body may be unread.
func (r *callRunner) closeIfUnread() {
	if r.body.mayHaveUnreadData() {
		r.respWriter.Header().Set("Connection", "close")
	}
}

func (r *callRunner) summary(out call.Outcome, reason call.Reason, status int) CallSummary {
	now := r.entry.clock.Now()
	return CallSummary{
		At:               now,
		Request:          r.request,
		Target:           r.target,
		SelectionReason:  r.selectionReason,
		Outcome:          out,
		Reason:           reason,
		Status:           status,
		Attempts:         r.attempts,
		RetriesExhausted: r.attempts > 1 || r.retriesExhausted,
		Latency:          now - r.startedAt,
		RetryIn:          max(0, r.retryAt-now),
	}
}

// writeResponseHead sends the status and the headers of the response to the caller.
func (r *callRunner) writeResponseHead(status int) {
	summary := r.summary(call.OutcomeAnswered, call.ReasonNone, status)
	r.entry.protocol.SetResponseHeaders(r.respWriter.Header(), &summary)
	r.closeIfUnread()
	r.respWriter.WriteHeader(status)
}
