package link

import (
	"math"
	"sync"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// offsetWindow is how long a minimum is trusted before clock drift makes
	// it too old.
	offsetWindow = 30 * clock.Second
	// offsetSamples keeps a window open until it holds enough samples, so
	// that the frames read right after a pause can't replace it.
	offsetSamples = 16
)

// ClockOffset estimates the difference between the local clock and a peer's. It
// keeps the least difference seen over two windows: the least contains the
// least time in transit and no time that a frame spent in a buffer while this
// process was paused. It is safe for concurrent use.
type ClockOffset struct {
	mu       sync.Mutex
	current  float64
	previous float64
	opened   clock.Milli
	samples  int
}

// NewClockOffset returns an estimate without samples.
func NewClockOffset() *ClockOffset {
	return &ClockOffset{current: math.Inf(1), previous: math.Inf(1)}
}

// Observe takes in a frame that the peer sent at its instant sent and that
// arrived at the local instant now.
func (o *ClockOffset) Observe(now, sent clock.Milli) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.samples == 0 && math.IsInf(o.previous, 1) {
		o.opened = now
	}
	if o.samples >= offsetSamples && now-o.opened > offsetWindow {
		o.previous, o.current = o.current, math.Inf(1)
		o.opened, o.samples = now, 0
	}
	o.current = math.Min(o.current, float64(now-sent))
	o.samples++
}

// ToLocal converts an instant of the peer's clock to the local clock. Without a
// sample it returns the instant unchanged.
func (o *ClockOffset) ToLocal(t clock.Milli) clock.Milli {
	o.mu.Lock()
	defer o.mu.Unlock()
	least := math.Min(o.current, o.previous)
	if math.IsInf(least, 1) {
		return t
	}
	return t + clock.Milli(least)
}
