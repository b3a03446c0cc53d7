// Package retry decides whether a call is tried again, and when a second
// attempt is started beside a slow first one.
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
	// Number counts attempts from 1, Ran those that may have run the request.
	Number      int
	PossiblyRun int
	// Started is when the attempt began.
	StartedAt clock.Milli
}

// Decision says whether to try again. Reason explains a stop.
type Decision struct {
	Retry  bool
	Reason call.Reason
	// Delay is how long to wait before the next attempt.
	Delay clock.Milli
	// Final says that no level above may retry either: this level decided
	// the call's retries, whether it spent one or refused one.
	Final bool
}

const (
	// MaxAttempts bounds the attempts of one call.
	MaxAttempts = 3
	// TokensPerCall is what each first attempt earns of a further attempt. With the
	// reserve it keeps the attempts per call under 1.1.
	TokensPerCall = 0.08
	// MaxTokens bounds what is saved up for a burst of failures.
	MaxTokens = 20
	// reserve lets a service with few calls retry at all: this many tokens
	// at the start, regained at reserveRate per second.
	reserve     = 2
	reserveRate = 0.05
	// hedgeFloor is the part of the tokens that hedges leave for retries.
	hedgeFloor = 0.5
	// hedgeDepth is the deepest level of a chain that hedges. A hedge repeats
	// the whole chain below, so the shares of the levels multiply.
	hedgeDepth = 1
	// refusalLimit is the share of refused and failed attempts from which on
	// hedges would add to an overload, here or further down the chain.
	refusalLimit = 0.02
	smooth       = 0.02
)

// Policy holds the retry budget of one service. It is not safe for
// concurrent use.
type Policy struct {
	opts    options
	tokens  float64
	last    clock.Milli
	refused float64
	tail    tail
}

// Option changes a setting of a policy.
type Option func(*options)

type options struct {
	share     float64
	maxTokens float64
	tries     int
	freeMoves bool
	errorCost float64
}

// WithTokensPerCall sets what each first attempt earns of a further attempt, and the
// most that is saved up.
func WithTokensPerCall(share, most float64) Option {
	return func(o *options) { o.share, o.maxTokens = share, most }
}

// WithFreeFailover lets a call that no upstream received go to another target
// without charge, up to a number of tries. Only attempts that may have run the
// call then count against its own limit.
func WithFreeFailover(tries int) Option {
	return func(o *options) { o.freeMoves, o.tries = true, tries }
}

// WithErrorCost sets what another attempt after an upstream's error takes of
// the budget, in attempts.
func WithErrorCost(cost float64) Option {
	return func(o *options) { o.errorCost = cost }
}

// New returns a policy.
func New(opts ...Option) *Policy {
	p := &Policy{opts: options{share: TokensPerCall, maxTokens: MaxTokens, tries: MaxAttempts, errorCost: 1}, tokens: reserve}
	for _, o := range opts {
		o(&p.opts)
	}
	return p
}

// RecordFirstAttempt counts the first attempt of a call.
func (p *Policy) RecordFirstAttempt(now clock.Milli) {
	if p.last != 0 && now > p.last && p.tokens < reserve {
		p.tokens = min(reserve, p.tokens+reserveRate*float64((now-p.last)/clock.Second))
	}
	p.last = now
	p.tokens = min(p.opts.maxTokens, p.tokens+p.opts.share)
}

// Decide says whether a call is tried again. It is asked once for every
// attempt that ended.
func (p *Policy) Decide(now clock.Milli, a Attempt) Decision {
	p.learn(a)
	if a.Result.Outcome == call.OutcomeAnswered && !a.Result.Failed {
		return Decision{}
	}
	if r := p.refusal(now, a); r != call.ReasonNone {
		return Decision{Reason: r, Final: a.Request.Retried || a.Number > 1}
	}
	// The guard refused for a rule that this entry had not heard of. Another
	// target costs no upstream any work, so the budget is not charged.
	if misdirected(a.Result.Reason) || p.opts.freeMoves && a.Result.Outcome == call.OutcomeNotRun && a.Result.Reason != call.ReasonShed {
		return Decision{Retry: true, Reason: call.ReasonRetry, Final: true}
	}
	cost := p.cost(a)
	if p.tokens < cost {
		return Decision{Reason: call.ReasonRetryBudget, Final: true}
	}
	p.tokens -= cost
	return Decision{Retry: true, Reason: call.ReasonRetry, Final: true}
}

// refusal returns why an attempt must not be followed by another one, apart
// from the budget.
func (p *Policy) refusal(now clock.Milli, a Attempt) call.Reason {
	switch {
	case a.Result.Outcome != call.OutcomeNotRun && !a.Request.Repeatable:
		return call.ReasonMayNotRepeat
	case a.Request.Retried || a.Result.Reason == call.ReasonRetriedBelow:
		return call.ReasonRetriedBelow
	case now >= a.Request.Deadline:
		return call.ReasonDeadline
	case a.Request.Class == call.Background && a.Result.Outcome == call.OutcomeNotRun && shed(a.Result.Reason):
		return a.Result.Reason
	case a.Result.Reason == call.ReasonCancelled:
		return call.ReasonCancelled
	case a.Number >= p.opts.tries || p.spent(a):
		return call.ReasonRetryBudget
	default:
		return call.ReasonNone
	}
}

// cost is what another attempt takes of the budget. An upstream that answered
// with an error has often made calls of its own, which it makes again.
func (p *Policy) cost(a Attempt) float64 {
	if a.Result.Outcome == call.OutcomeAnswered {
		return p.opts.errorCost
	}
	return 1
}

// spent reports whether as many upstreams as the call's own limit allows may
// have run it.
func (p *Policy) spent(a Attempt) bool {
	return p.opts.freeMoves && a.Request.MaxAttempts > 0 && a.PossiblyRun >= a.Request.MaxAttempts
}

// shed reports whether a call was refused for load. Background work that is
// shed leaves the budget to calls that somebody waits for.
func shed(r call.Reason) bool {
	switch r {
	case call.ReasonBackgroundShed, call.ReasonQueueTimeout, call.ReasonQueueFull, call.ReasonCold:
		return true
	default:
		return false
	}
}

// misdirected reports whether a call was refused because its target must not
// take new work at all.
func misdirected(r call.Reason) bool {
	switch r {
	case call.ReasonCentreOut, call.ReasonLeaving, call.ReasonWrongService, call.ReasonNotReady, call.ReasonVersionBraked:
		return true
	default:
		return false
	}
}

func (p *Policy) learn(a Attempt) {
	if a.Request.Class != call.Interactive {
		return
	}
	x := 0.0
	if a.Result.Outcome == call.OutcomeNotRun || a.Result.Failed {
		x = 1
	}
	p.refused += smooth * (x - p.refused)
	if a.Result.Outcome == call.OutcomeAnswered && !a.Result.Failed {
		p.tail.add(a.Result.Latency)
	}
}

// HedgeDelay returns how long after its start an attempt may be hedged.
func (p *Policy) HedgeDelay(now clock.Milli, a Attempt) (clock.Milli, bool) {
	r := a.Request
	if !r.Repeatable || r.Retried || a.Number > 1 || r.Depth > hedgeDepth || r.Class != call.Interactive {
		return 0, false
	}
	if p.refused > refusalLimit || p.tokens < hedgeFloor*p.opts.maxTokens {
		return 0, false
	}
	after, ok := p.tail.value()
	if !ok || now+after >= r.Deadline {
		return 0, false
	}
	return after, true
}

// MayHedge reports whether the budget still allows a hedge that was planned
// earlier. It is asked when the hedge is due, as other calls may have spent
// the tokens since.
func (p *Policy) MayHedge() bool {
	return p.tokens >= hedgeFloor*p.opts.maxTokens && p.refused <= refusalLimit
}

// RecordHedge counts a hedge.
func (p *Policy) RecordHedge(clock.Milli) {
	p.tokens--
}
