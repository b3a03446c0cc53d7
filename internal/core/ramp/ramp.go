// Package ramp raises the load of an upstream that has just started.
package ramp

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// slow is the ratio to the best recent latency from which a call counts
	// against the ramp. Single calls of a warm upstream differ by a factor
	// of two.
	slow = 3.0
	// smooth is the weight of a new call in the recent latency.
	smooth = 0.3
	// settle is the number of calls whose latency makes a reference.
	settle = 3
	// shortest is the least number of calls in a round.
	shortest = 2
	// fresh is the number of calls in a row over new connections that, with
	// slow or failed calls among them, tells a restart.
	fresh = 3
)

// Ramp limits the calls of one upstream while it is cold. It is not safe for
// concurrent use.
type Ramp struct {
	slots   int
	allowed int
	cold    bool
	round   int
	bad     int
	seen    int
	recent  clock.Milli
	best    clock.Milli
	epoch   uint64
	fresh   int
	suspect bool
	starts  uint64
}

// New returns the ramp of an upstream of which nothing is known, which
// counts as cold.
func New(slots int) *Ramp {
	r := &Ramp{slots: max(1, slots)}
	r.Reset()
	return r
}

// Reset starts the ramp from one call.
func (r *Ramp) Reset() {
	r.cold, r.allowed = true, 1
	r.round, r.bad, r.seen, r.fresh = 0, 0, 0, 0
	r.recent, r.best, r.suspect = 0, 0, false
	r.starts++
}

// Limit returns how many calls may be in progress.
func (r *Ramp) Limit() int {
	return r.allowed
}

// Cold reports whether the upstream is still being ramped.
func (r *Ramp) Cold() bool {
	return r.cold
}

// ColdStarts counts the cold starts so far.
func (r *Ramp) ColdStarts() uint64 {
	return r.starts
}

// Sample is one call that ended, as the ramp sees it.
type Sample struct {
	Latency         clock.Milli
	BaselineLatency clock.Milli
	Failed          bool
	NewConnection   bool
	// Epoch is what the upstream reports of its start, zero for nothing.
	Epoch uint64
}

// Observe takes in the end of a call and reports whether it revealed a cold
// start.
func (r *Ramp) Observe(s Sample) bool {
	if r.restarted(s) {
		r.Reset()
		return true
	}
	if !r.cold {
		return false
	}
	r.round++
	if s.Failed || r.slow(s) {
		r.bad++
	}
	if !s.Failed {
		r.learn(s.Latency)
	}
	if r.round >= max(shortest, r.allowed) {
		r.judge()
	}
	return false
}

// slow reports whether a call was slow for this start: an upstream that is
// evenly slow while it warms up still takes more calls.
func (r *Ramp) slow(s Sample) bool {
	if r.seen < settle || (s.BaselineLatency > 0 && s.Latency < slow*s.BaselineLatency) {
		return false
	}
	return s.Latency > slow*r.best
}

// judge ends a round of calls. Half of them must be bad to lower the ramp,
// as single calls are slow by chance.
func (r *Ramp) judge() {
	failing := r.bad*2 >= r.round
	r.round, r.bad = 0, 0
	switch {
	case failing:
		r.allowed = max(1, r.allowed/2)
	case r.allowed == r.slots:
		r.cold = false
	default:
		r.allowed++
	}
}

func (r *Ramp) learn(latency clock.Milli) {
	if r.seen == 0 {
		r.recent = latency
	}
	r.seen++
	r.recent += smooth * (latency - r.recent)
	if r.best == 0 || r.recent < r.best {
		r.best = r.recent
	}
}

// restarted recognises a restart by the reported epoch, or by a run of new
// connections together with slow or failed calls.
func (r *Ramp) restarted(s Sample) bool {
	if s.Epoch != 0 {
		old := r.epoch
		r.epoch = s.Epoch
		if old != 0 && old != s.Epoch {
			return true
		}
	}
	if r.cold || !s.NewConnection {
		r.fresh, r.suspect = 0, false
		return false
	}
	r.fresh++
	if s.Failed || (s.BaselineLatency > 0 && s.Latency > slow*s.BaselineLatency) {
		r.suspect = true
	}
	return r.fresh >= fresh && r.suspect
}
