package queue

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// maxColdSlowdown is the largest slowdown that is attributed to a cold upstream itself.
const maxColdSlowdown = 3

// observeColdSlowdown records the least slowdown since the upstream became cold.
func (d *Dispatcher) observeColdSlowdown(now clock.Milli, slowdown float64) {
	switch {
	case !d.coldLimit.isActive(now):
		d.coldSlowdown = 0
	case slowdown > 0 && (d.coldSlowdown == 0 || slowdown < d.coldSlowdown):
		d.coldSlowdown = slowdown
	}
}

// currentSlowdown returns the last reported slowdown, and 1 if there is no recent one.
func (d *Dispatcher) currentSlowdown(now clock.Milli) float64 {
	if d.slowdown == 0 || now-d.slowdownAt > slowdownTTL {
		return 1
	}
	return d.slowdown
}

// vmSlowdown returns the slowdown without the part that a cold upstream causes itself, for
// which a call need not wait: it ends with the cold time, not with a slow spell of the VM.
func (d *Dispatcher) vmSlowdown(now clock.Milli) float64 {
	return d.currentSlowdown(now) / d.ownSlowdown(now)
}

// ownSlowdown returns the slowdown that a cold upstream causes itself, 1 for a warm one.
func (d *Dispatcher) ownSlowdown(now clock.Milli) float64 {
	if !d.coldLimit.isActive(now) {
		return 1
	}
	return max(1, min(maxColdSlowdown, d.coldSlowdown))
}
