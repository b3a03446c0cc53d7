package link

import (
	"math"
	"sync"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// minOffsetWindow is the minimum duration of a window. A minimum is dropped
	// after two windows, as clock drift makes it inaccurate.
	minOffsetWindow = 30 * clock.Second
	// minOffsetSamples is the minimum number of samples in a window, so that a
	// few frames read right after a pause can't replace a valid minimum.
	minOffsetSamples = 16
)

// ClockOffset estimates the difference between the local clock and a peer's. It
// keeps the minimum over two windows of the differences between the receive and
// send times of frames. The minimum has the shortest time in transit and excludes
// frames that were buffered while this process was paused. It is safe for
// concurrent use.
type ClockOffset struct {
	mu          sync.Mutex
	currentMin  float64
	previousMin float64
	windowStart clock.Milli
	samples     int
}

// NewClockOffset returns an estimate without samples.
func NewClockOffset() *ClockOffset {
	return &ClockOffset{currentMin: math.Inf(1), previousMin: math.Inf(1)}
}

// Observe records a frame that was sent at the instant sent of the peer's clock and
// received at the instant now of the local clock.
func (o *ClockOffset) Observe(now, sent clock.Milli) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.samples == 0 && math.IsInf(o.previousMin, 1) {
		o.windowStart = now
	}
	if o.samples >= minOffsetSamples && now-o.windowStart > minOffsetWindow {
		o.previousMin, o.currentMin = o.currentMin, math.Inf(1)
		o.windowStart, o.samples = now, 0
	}
	o.currentMin = math.Min(o.currentMin, float64(now-sent))
	o.samples++
}

// ToLocal converts an instant of the peer's clock to the local clock. Without a
// sample it returns the instant unchanged.
func (o *ClockOffset) ToLocal(t clock.Milli) clock.Milli {
	o.mu.Lock()
	defer o.mu.Unlock()
	offset := math.Min(o.currentMin, o.previousMin)
	if math.IsInf(offset, 1) {
		return t
	}
	return t + clock.Milli(offset)
}
