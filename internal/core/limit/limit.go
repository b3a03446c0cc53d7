// Package limit adapts the number of calls that an upstream may run at once to
// its latency and failures.
package limit

import (
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// windowResults is the number of results per adjustment. Medians of fewer
	// calls differ by chance as much as a real slowdown does.
	windowResults = 16
	// slowdownThreshold is the ratio of the median to the baseline latency
	// above which the upstream counts as slow.
	slowdownThreshold = 2.0
	// decreaseFactor is applied to the limit after a slow or failed window,
	// and increaseStep is added to it after any other.
	decreaseFactor = 0.85
	increaseStep   = 0.5
	// baselineFallWeight and baselineRiseWeight are the weights of a window's
	// median in the baseline if it is below or above it. The baseline rises
	// slowly so that a slowdown of a few seconds hardly changes it.
	baselineFallWeight = 0.3
	baselineRiseWeight = 0.01
)

// Limiter adapts the concurrency limit of one upstream. It is not safe for
// concurrent use.
type Limiter struct {
	slots     int
	limit     float64
	baseline  clock.Milli
	latencies [windowResults]clock.Milli
	count     int
	failures  int
}

// New returns a limiter whose limit starts at the number of slots and never
// exceeds it.
func New(slots int) *Limiter {
	slots = max(1, slots)
	return &Limiter{slots: slots, limit: float64(slots)}
}

// Limit returns the number of calls that may be in progress, at least one.
func (l *Limiter) Limit() int {
	return max(1, min(l.slots, int(l.limit)))
}

// BaselineLatency returns the latency of the upstream when it is not slow, zero
// before the first full window.
func (l *Limiter) BaselineLatency() clock.Milli {
	return l.baseline
}

// SetSlots changes the number of slots, and lowers the limit to it if necessary.
func (l *Limiter) SetSlots(slots int) {
	l.slots = max(1, slots)
	l.limit = min(l.limit, float64(l.slots))
}

// Observe records the result of a call. The latency of a failed call does not
// reflect the upstream's speed and is ignored.
func (l *Limiter) Observe(latency clock.Milli, failed bool) {
	if failed {
		l.failures++
		if l.failures >= windowResults {
			l.failures, l.count = 0, 0
			l.decrease()
		}
		return
	}
	l.latencies[l.count] = latency
	l.count++
	if l.count < windowResults {
		return
	}
	l.count, l.failures = 0, 0
	l.adjust()
}

func (l *Limiter) adjust() {
	slices.Sort(l.latencies[:])
	median := l.latencies[windowResults/2]
	if l.baseline == 0 {
		l.baseline = median
	}
	if median > slowdownThreshold*l.baseline {
		l.decrease()
	} else {
		l.limit = min(float64(l.slots), l.limit+increaseStep)
	}
	weight := clock.Milli(baselineRiseWeight)
	if median < l.baseline {
		weight = baselineFallWeight
	}
	l.baseline += weight * (median - l.baseline)
}

// decrease lowers the limit, but to no less than half the slots. If calls stay
// slow at half the concurrency, the concurrency is not the cause, and a lower
// limit would only lose capacity.
func (l *Limiter) decrease() {
	floor := float64((l.slots + 1) / 2)
	l.limit = max(floor, l.limit*decreaseFactor)
}
