// Package retry decides whether a failed call is retried, and when a slow attempt
// is hedged by a second one.
package retry

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// Attempt describes an attempt that ended, or one still in progress for
// which a hedge is considered.
type Attempt struct {
	Request *call.Request
	Result  call.Result
	// Number is the number of this attempt, from 1. PossiblyRun is the number of
	// attempts so far that may have run the request.
	Number      int
	PossiblyRun int
	// StartedAt is the instant at which the attempt began.
	StartedAt clock.Milli
}

// Decision says whether to retry a call, and why. Reason is ReasonNone for a
// successful call.
type Decision struct {
	Retry  bool
	Reason call.Reason
	// Delay is the wait before the next attempt.
	Delay clock.Milli
	// Final forbids retries at the levels above in the call chain, as this level
	// has already granted or refused one.
	Final bool
}

const (
	// MaxAttempts is the maximum number of attempts of one call, unless
	// WithFreeFailover sets another.
	MaxAttempts = 3
	// TokensPerCall is the number of tokens that each first attempt adds to the
	// budget; a further attempt costs one by default. With the reserve, it
	// keeps the attempts per call under 1.1.
	TokensPerCall = 0.08
	// MaxTokens bounds the tokens saved up for a burst of failures.
	MaxTokens = 20
	// reserveTokens is the initial budget. A budget below it refills by
	// reserveTokensPerSecond, so that services with few calls can retry.
	reserveTokens          = 2
	reserveTokensPerSecond = 0.05
	// minHedgeTokenFraction is the fraction of the maximum budget that hedges
	// leave for retries.
	minHedgeTokenFraction = 0.5
	// maxHedgeDepth is the deepest level of a call chain that hedges. A hedge
	// repeats the whole chain below, so the hedged fractions of the levels
	// multiply.
	maxHedgeDepth = 1
	// maxHedgeRefusalRate is the rate of refused and failed attempts above
	// which hedges would add to an overload, here or further down the chain.
	maxHedgeRefusalRate = 0.02
	// refusalWeight is the weight of one attempt in the refusal rate.
	refusalWeight = 0.02
	// maxTooLateTargets is the number of cold targets that find too little time left for a
	// call until it is given up. The others are cold as well then, as after a loss of power.
	maxTooLateTargets = 2
)

// Policy holds the retry budget of one service. It is not safe for
// concurrent use.
type Policy struct {
	opts         options
	tokens       float64
	lastRefillAt clock.Milli
	refusalRate  float64
	tailLatency  quantileEstimator
}

// Option changes a setting of a policy.
type Option func(*options)

type options struct {
	tokensPerCall float64
	maxTokens     float64
	// sharedMaxTokens, if set, returns a limit that replaces a higher maxTokens.
	sharedMaxTokens func() float64
	maxAttempts     int
	freeFailover    bool
	errorCost       float64
}

// WithTokensPerCall sets the number of tokens that each first attempt adds to the
// budget, and the maximum budget.
func WithTokensPerCall(tokens, maxTokens float64) Option {
	return func(o *options) { o.tokensPerCall, o.maxTokens = tokens, maxTokens }
}

// WithSharedReserve bounds the tokens that are saved up by the entry's part of a reserve
// of all entries, in retries. Fleet returns the number of entries. A part is never below
// one retry.
func WithSharedReserve(reserve float64, fleet func() int) Option {
	return func(o *options) {
		o.sharedMaxTokens = func() float64 { return max(1, reserve/float64(max(1, fleet()))) }
	}
}

// WithFreeFailover lets a call that no upstream received be sent to another target
// at no cost, up to maxAttempts in total. Only attempts that may have run the call
// then count against Request.MaxAttempts.
func WithFreeFailover(maxAttempts int) Option {
	return func(o *options) { o.freeFailover, o.maxAttempts = true, maxAttempts }
}

// WithErrorCost sets the cost of a retry after an error response of an upstream,
// in tokens; the default is 1.
func WithErrorCost(cost float64) Option {
	return func(o *options) { o.errorCost = cost }
}

// New returns a policy with the reserve as its budget.
func New(opts ...Option) *Policy {
	p := &Policy{opts: options{tokensPerCall: TokensPerCall, maxTokens: MaxTokens, maxAttempts: MaxAttempts, errorCost: 1}, tokens: reserveTokens}
	for _, o := range opts {
		o(&p.opts)
	}
	return p
}

// RecordFirstAttempt records the first attempt of a call and adds to the budget.
func (p *Policy) RecordFirstAttempt(now clock.Milli) {
	if p.lastRefillAt != 0 && now > p.lastRefillAt && p.tokens < reserveTokens {
		p.tokens = min(reserveTokens, p.tokens+reserveTokensPerSecond*float64((now-p.lastRefillAt)/clock.Second))
	}
	p.lastRefillAt = now
	p.tokens = min(p.maxTokens(), p.tokens+p.opts.tokensPerCall)
}

func (p *Policy) maxTokens() float64 {
	if p.opts.sharedMaxTokens == nil {
		return p.opts.maxTokens
	}
	return min(p.opts.maxTokens, p.opts.sharedMaxTokens())
}

// Decide decides whether to retry a call and charges the budget for it. It must be
// called exactly once for each attempt that ended.
func (p *Policy) Decide(now clock.Milli, a Attempt) Decision {
	p.recordOutcome(a)
	if a.Result.Outcome == call.OutcomeAnswered && !a.Result.Failed {
		return Decision{}
	}
	if r := p.stopReason(now, a); r != call.ReasonNone {
		return Decision{Reason: r, Final: a.Request.Retried || a.Number > 1}
	}
	// The attempt cost no upstream any work, for example because the guard
	// applied a rule that this entry had not received yet. The budget is not
	// charged.
	if targetUnavailable(a.Result.Reason) || p.opts.freeFailover && a.Result.Outcome == call.OutcomeNotRun && a.Result.Reason != call.ReasonShed {
		return Decision{Retry: true, Reason: call.ReasonRetry, Final: true}
	}
	cost := p.retryCost(a)
	// The reserve may be smaller than the cost, which leaves a debt.
	if p.tokens < min(cost, p.maxTokens()) {
		return Decision{Reason: call.ReasonRetryBudget, Final: true}
	}
	p.tokens -= cost
	return Decision{Retry: true, Reason: call.ReasonRetry, Final: true}
}

// stopReason returns why an attempt must not be followed by another one, leaving
// the budget aside, or ReasonNone.
func (p *Policy) stopReason(now clock.Milli, a Attempt) call.Reason {
	switch {
	case a.Result.Outcome != call.OutcomeNotRun && !a.Request.Repeatable:
		return call.ReasonMayNotRepeat
	case a.Request.Retried || a.Result.Reason == call.ReasonRetriedBelow:
		return call.ReasonRetriedBelow
	case a.Result.Reason == call.ReasonCrashes:
		return call.ReasonCrashes
	case a.Result.Reason == call.ReasonTooLate && a.Number >= maxTooLateTargets:
		return call.ReasonTooLate
	case now >= a.Request.Deadline:
		return call.ReasonDeadline
	case a.Request.Class == call.Background && a.Result.Outcome == call.OutcomeNotRun && refusedForLoad(a.Result.Reason):
		return a.Result.Reason
	case a.Result.Reason == call.ReasonCancelled:
		return call.ReasonCancelled
	case a.Number >= p.opts.maxAttempts || p.runLimitReached(a):
		return call.ReasonRetryBudget
	default:
		return call.ReasonNone
	}
}

// retryCost returns the tokens that a retry costs. An upstream that answered with
// an error has often made calls of its own, which a retry repeats.
func (p *Policy) retryCost(a Attempt) float64 {
	if a.Result.Outcome == call.OutcomeAnswered {
		return p.opts.errorCost
	}
	return 1
}

// runLimitReached reports whether the attempts that may have run the call have
// reached its limit.
func (p *Policy) runLimitReached(a Attempt) bool {
	return p.opts.freeFailover && a.Request.MaxAttempts > 0 && a.PossiblyRun >= a.Request.MaxAttempts
}

// refusedForLoad reports whether a call was refused because of load. Background
// calls that were are not retried, which leaves the budget to other classes.
func refusedForLoad(r call.Reason) bool {
	switch r {
	case call.ReasonBackgroundShed, call.ReasonRouteShare, call.ReasonQueueTimeout, call.ReasonQueueFull, call.ReasonCold, call.ReasonRateLimit:
		return true
	default:
		return false
	}
}

// targetUnavailable reports whether a call was refused because its target must not
// accept it, whatever the load.
func targetUnavailable(r call.Reason) bool {
	switch r {
	case call.ReasonCentreOut, call.ReasonLeaving, call.ReasonWrongService, call.ReasonNotReady, call.ReasonVersionBraked:
		return true
	default:
		return false
	}
}

func (p *Policy) recordOutcome(a Attempt) {
	if a.Request.Class != call.Interactive {
		return
	}
	x := 0.0
	if a.Result.Outcome == call.OutcomeNotRun || a.Result.Failed {
		x = 1
	}
	p.refusalRate += refusalWeight * (x - p.refusalRate)
	if a.Result.Outcome == call.OutcomeAnswered && !a.Result.Failed {
		p.tailLatency.observe(a.Result.Latency)
	}
}

// HedgeDelay returns the time after its start at which an attempt may be hedged,
// and false if it may not be hedged.
func (p *Policy) HedgeDelay(now clock.Milli, a Attempt) (clock.Milli, bool) {
	r := a.Request
	if !r.Repeatable || r.Retried || a.Number > 1 || r.Depth > maxHedgeDepth || r.Class != call.Interactive {
		return 0, false
	}
	if p.refusalRate > maxHedgeRefusalRate || p.tokens < minHedgeTokenFraction*p.maxTokens() {
		return 0, false
	}
	delay, ok := p.tailLatency.value()
	if !ok || now+delay >= r.Deadline {
		return 0, false
	}
	return delay, true
}

// MayHedge reports whether the budget still allows a planned hedge. It must be
// called when the hedge is due, as other calls may have spent the tokens since.
func (p *Policy) MayHedge() bool {
	return p.tokens >= minHedgeTokenFraction*p.maxTokens() && p.refusalRate <= maxHedgeRefusalRate
}

// RecordHedge charges the budget for a hedge.
func (p *Policy) RecordHedge(clock.Milli) {
	p.tokens--
}
