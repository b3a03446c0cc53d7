// Package limit adapts the number of calls that an upstream may run at once.
package limit

import (
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// window is the number of results that one adjustment looks at. Medians
	// of fewer calls differ by chance as much as a real slowdown does.
	window = 16
	// tolerated is the ratio of recent to usual latency that is not slow.
	tolerated = 2.0
	shrink    = 0.85
	grow      = 0.5
	// baseFall and baseRise are the shares of a window's median that enter
	// the usual latency. Rising slowly, it does not learn a slow spell of
	// some seconds.
	baseFall = 0.3
	baseRise = 0.01
)

// Limiter holds the limit of one upstream. It is not safe for concurrent use.
type Limiter struct {
	slots  int
	value  float64
	base   clock.Milli
	recent [window]clock.Milli
	n      int
	failed int
}

// New returns a limiter that starts at the number of slots and never goes
// above it.
func New(slots int) *Limiter {
	slots = max(1, slots)
	return &Limiter{slots: slots, value: float64(slots)}
}

// Limit returns the limit, which is at least one.
func (l *Limiter) Limit() int {
	return max(1, min(l.slots, int(l.value)))
}

// BaselineLatency returns the latency that the upstream has when it is not slow, zero
// before the first full window.
func (l *Limiter) BaselineLatency() clock.Milli {
	return l.base
}

// SetSlots changes the number of slots.
func (l *Limiter) SetSlots(slots int) {
	l.slots = max(1, slots)
	l.value = min(l.value, float64(l.slots))
}

// Observe takes in the end of a call. The latency of a failed call says
// nothing of the upstream's speed and is not used.
func (l *Limiter) Observe(latency clock.Milli, failed bool) {
	if failed {
		l.failed++
		if l.failed >= window {
			l.failed, l.n = 0, 0
			l.down()
		}
		return
	}
	l.recent[l.n] = latency
	l.n++
	if l.n < window {
		return
	}
	l.n, l.failed = 0, 0
	l.adjust()
}

func (l *Limiter) adjust() {
	slices.Sort(l.recent[:])
	median := l.recent[window/2]
	if l.base == 0 {
		l.base = median
	}
	if median > tolerated*l.base {
		l.down()
	} else {
		l.value = min(float64(l.slots), l.value+grow)
	}
	rate := clock.Milli(baseRise)
	if median < l.base {
		rate = baseFall
	}
	l.base += rate * (median - l.base)
}

// down lowers the limit to no less than half the slots: slow calls that do
// not speed up at half the concurrency are not caused by it, and a lower
// limit would only lose capacity.
func (l *Limiter) down() {
	floor := float64((l.slots + 1) / 2)
	l.value = max(floor, l.value*shrink)
}
