package entry

import (
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// busyRetryAfter is the shortest retry delay when the upstreams have no free
	// slot, and the time after which one is expected to be free.
	// noTargetRetryAfter is the same for calls without a usable target.
	busyRetryAfter     = 150 * clock.Millisecond
	noTargetRetryAfter = 400 * clock.Millisecond
	// crashesRetryAfter is the shortest delay of a request under which upstreams crash.
	crashesRetryAfter = 5 * clock.Second
	// retryAfterJitterFraction is the largest random addition, as a fraction of
	// the shortest delay. It keeps callers that were refused at the same time
	// from retrying at the same time.
	retryAfterJitterFraction = 1.0
)

// retryAfter returns the delay before the caller of a refused call should retry.
func (e *Entry) retryAfter(summary *CallSummary) clock.Milli {
	after := busyRetryAfter
	switch summary.Reason {
	case call.ReasonNoTarget, call.ReasonNoConfig, call.ReasonCold:
		after = noTargetRetryAfter
	case call.ReasonCrashes:
		return max(crashesRetryAfter, summary.RetryIn)
	case call.ReasonRateLimit:
		// The guards have spaced the returns of callers.
		return summary.RetryIn + busyRetryAfter*clock.Milli(rand.Float64())
	default:
	}
	return after * clock.Milli(1+retryAfterJitterFraction*rand.Float64())
}
