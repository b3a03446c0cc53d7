package entry

import (
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// roomAfter is when a slot is expected at upstreams that are full, and
	// targetAfter when another upstream is, if there was none.
	roomAfter   = 150 * clock.Millisecond
	targetAfter = 400 * clock.Millisecond
	// spread keeps callers that were refused together from coming back
	// together.
	spread = 1.0
)

// retryAfter is when a refused call should come back.
func (e *Entry) retryAfter(d *CallSummary) clock.Milli {
	after := roomAfter
	switch d.Reason {
	case call.ReasonNoTarget, call.ReasonNoConfig, call.ReasonCold:
		after = targetAfter
	default:
	}
	return after * clock.Milli(1+spread*rand.Float64())
}
