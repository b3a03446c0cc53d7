// Package retry decides whether a call is tried again.
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
	// Number counts attempts from 1.
	Number int
	// Started is when the attempt began.
	Started clock.Milli
}

// Verdict says whether to try again. Reason explains a stop.
type Verdict struct {
	Retry  bool
	Reason call.Reason
	// Delay is how long to wait before the next attempt.
	Delay clock.Milli
}

// MaxAttempts bounds the attempts of one call.
const MaxAttempts = 3

// Policy holds the retry budget of one service. It is not safe for
// concurrent use.
type Policy struct{}

// New returns a policy.
func New() *Policy {
	return &Policy{}
}

// First counts the first attempt of a call.
func (p *Policy) First(clock.Milli) {}

// Decide says whether a call is tried again.
func (p *Policy) Decide(now clock.Milli, a Attempt) Verdict {
	switch {
	case a.Result.Outcome == call.Answered:
		return Verdict{}
	case a.Result.Outcome == call.Unknown && !a.Request.Repeatable:
		return Verdict{Reason: call.ReasonMayNotRepeat}
	case now >= a.Request.Deadline:
		return Verdict{Reason: call.ReasonDeadline}
	case a.Number >= MaxAttempts:
		return Verdict{Reason: call.ReasonRetryBudget}
	default:
		return Verdict{Retry: true}
	}
}

// HedgeAfter returns how long after its start an attempt may be hedged.
func (p *Policy) HedgeAfter(clock.Milli, Attempt) (clock.Milli, bool) {
	return 0, false
}

// Hedged counts a hedge.
func (p *Policy) Hedged(clock.Milli) {}
