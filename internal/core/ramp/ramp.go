// Package ramp raises the concurrency of an upstream step by step after it has
// started.
package ramp

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// slowRatio is the ratio to the best recent latency, and to the baseline,
	// above which a call counts as slow. The latencies of single calls to a
	// warm upstream differ by a factor of two.
	slowRatio = 3.0
	// latencyWeight is the weight of a new call in the recent latency.
	latencyWeight = 0.3
	// minReferenceCalls is the number of successful calls from which on the
	// best recent latency serves as a reference.
	minReferenceCalls = 3
	// minRoundCalls is the minimum number of calls in a round, after which the
	// limit is adjusted.
	minRoundCalls = 2
	// minRestartConnections is the number of consecutive calls over new
	// connections that indicates a restart if one of them is slow or failed.
	minRestartConnections = 3
)

// Ramp limits the calls of one upstream while it is cold. It is not safe for
// concurrent use.
type Ramp struct {
	slots          int
	limit          int
	cold           bool
	roundCalls     int
	roundBadCalls  int
	latencySamples int
	recentLatency  clock.Milli
	bestLatency    clock.Milli
	epoch          uint64
	// newConnections counts the consecutive calls over new connections, and
	// slowOrFailed reports whether one of them was slow or failed.
	newConnections int
	slowOrFailed   bool
	coldStarts     uint64
}

// New returns the ramp of an upstream whose state is unknown and which therefore
// counts as cold.
func New(slots int) *Ramp {
	r := &Ramp{slots: max(1, slots)}
	r.Reset()
	return r
}

// Reset starts a new ramp, at a limit of one call.
func (r *Ramp) Reset() {
	r.cold, r.limit = true, 1
	r.roundCalls, r.roundBadCalls, r.latencySamples, r.newConnections = 0, 0, 0, 0
	r.recentLatency, r.bestLatency, r.slowOrFailed = 0, 0, false
	r.coldStarts++
}

// Limit returns the number of calls that may be in progress.
func (r *Ramp) Limit() int {
	return r.limit
}

// Cold reports whether the upstream is still being ramped.
func (r *Ramp) Cold() bool {
	return r.cold
}

// ColdStarts returns the number of cold starts so far, including the first.
func (r *Ramp) ColdStarts() uint64 {
	return r.coldStarts
}

// Sample is the result of one call.
type Sample struct {
	Latency         clock.Milli
	BaselineLatency clock.Milli
	Failed          bool
	NewConnection   bool
	// Epoch is the restart counter that the upstream reported, zero if none.
	Epoch uint64
}

// Observe records the result of a call and reports whether it revealed a restart,
// which resets the ramp.
func (r *Ramp) Observe(s Sample) bool {
	if r.detectRestart(s) {
		r.Reset()
		return true
	}
	if !r.cold {
		return false
	}
	r.roundCalls++
	if s.Failed || r.isSlow(s) {
		r.roundBadCalls++
	}
	if !s.Failed {
		r.recordLatency(s.Latency)
	}
	if r.roundCalls >= max(minRoundCalls, r.limit) {
		r.endRound()
	}
	return false
}

// isSlow reports whether a call was slow compared with the best recent latency
// since the start and, if known, with the baseline. An upstream that is evenly slow
// while it warms up can still serve more calls.
func (r *Ramp) isSlow(s Sample) bool {
	if r.latencySamples < minReferenceCalls || (s.BaselineLatency > 0 && s.Latency < slowRatio*s.BaselineLatency) {
		return false
	}
	return s.Latency > slowRatio*r.bestLatency
}

// endRound adjusts the limit after a round of calls. It lowers the limit only if
// at least half of them were bad, as single calls are slow by chance.
func (r *Ramp) endRound() {
	mostlyBad := r.roundBadCalls*2 >= r.roundCalls
	r.roundCalls, r.roundBadCalls = 0, 0
	switch {
	case mostlyBad:
		r.limit = max(1, r.limit/2)
	case r.limit == r.slots:
		r.cold = false
	default:
		r.limit++
	}
}

func (r *Ramp) recordLatency(latency clock.Milli) {
	if r.latencySamples == 0 {
		r.recentLatency = latency
	}
	r.latencySamples++
	r.recentLatency += latencyWeight * (latency - r.recentLatency)
	if r.bestLatency == 0 || r.recentLatency < r.bestLatency {
		r.bestLatency = r.recentLatency
	}
}

// detectRestart reports whether the upstream has restarted: its epoch changed, or
// consecutive calls used new connections and one of them was slow or failed. While
// the upstream is cold, only the epoch counts.
func (r *Ramp) detectRestart(s Sample) bool {
	if s.Epoch != 0 {
		previous := r.epoch
		r.epoch = s.Epoch
		if previous != 0 && previous != s.Epoch {
			return true
		}
	}
	if r.cold || !s.NewConnection {
		r.newConnections, r.slowOrFailed = 0, false
		return false
	}
	r.newConnections++
	if s.Failed || (s.BaselineLatency > 0 && s.Latency > slowRatio*s.BaselineLatency) {
		r.slowOrFailed = true
	}
	return r.newConnections >= minRestartConnections && r.slowOrFailed
}
