package clock

import (
	"sync"
	"time"
)

// Clock reads the time. Implementations may be used concurrently.
type Clock interface {
	Now() Milli
}

// Real reads the machine's clock. It follows the monotonic clock from the
// moment it was made, so steps of the wall clock do not move it.
type Real struct {
	start time.Time
	base  Milli
}

// NewReal returns a clock that starts at the current wall-clock time.
func NewReal() *Real {
	t := time.Now()
	return &Real{start: t, base: FromTime(t)}
}

// Now returns the current instant.
func (r *Real) Now() Milli {
	return r.base + FromDuration(time.Since(r.start))
}

// Manual is a clock that tests and simulations set by hand.
type Manual struct {
	mu  sync.Mutex
	now Milli
}

// NewManual returns a clock that stands at now.
func NewManual(now Milli) *Manual {
	return &Manual{now: now}
}

// Now returns the instant that was last set.
func (m *Manual) Now() Milli {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d Milli) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
}

// Set moves the clock to now.
func (m *Manual) Set(now Milli) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = now
}
