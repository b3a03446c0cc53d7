package clock

import (
	"sync"
	"time"
)

// Clock returns the current time. Implementations are safe for concurrent use.
type Clock interface {
	Now() Milli
}

// Real is the system clock. It advances with the monotonic clock from the time
// of its creation, so steps of the wall clock do not affect it.
type Real struct {
	start time.Time
	base  Milli
}

// NewReal returns a clock that starts at the current wall-clock time.
func NewReal() *Real {
	t := time.Now()
	return &Real{start: t, base: FromTime(t)}
}

// Now returns the current time.
func (r *Real) Now() Milli {
	return r.base + FromDuration(time.Since(r.start))
}

// Manual is a clock that only moves when a test or simulation sets it. It is
// safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now Milli
}

// NewManual returns a clock set to now.
func NewManual(now Milli) *Manual {
	return &Manual{now: now}
}

// Now returns the time to which the clock is set.
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

// Set sets the clock to now, which may be earlier than its current time.
func (m *Manual) Set(now Milli) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = now
}
