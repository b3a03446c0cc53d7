package admit

import (
	"math"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// demandHalfLife is the time in which the mean interactive demand halves
	// while no interactive calls arrive.
	demandHalfLife = clock.Second
	// demandWeight is the weight of one arrival in the mean.
	demandWeight = 0.02
	// idleDemandThreshold is the mean number of interactive calls below which
	// the interactive load is negligible.
	idleDemandThreshold = 0.05
	// backgroundSpareSlots is the number of slots that must remain free when a
	// background call starts.
	backgroundSpareSlots = 2
	// backgroundSlotMargin is the number of slots that background calls leave
	// free in addition to the mean interactive demand.
	backgroundSlotMargin = 0.5
	// transferStdDevMargin is the number of slots that transfers leave free in
	// addition to the mean interactive demand, in standard deviations of
	// random arrivals.
	transferStdDevMargin = 1.0
	// latencyWindowCalls is the number of calls whose median latency is
	// reported.
	latencyWindowCalls = 8
	// latencyMaxAge is the age from which a latency is ignored, so that a
	// target without calls is not reported as slow indefinitely.
	latencyMaxAge = 2 * clock.Second
)

// demand estimates the number of interactive calls in progress and queued. Each
// arriving call adds the current number to the mean, which decays while no
// calls arrive.
type demand struct {
	mean      float64
	updatedAt clock.Milli
}

func (d *demand) observe(now clock.Milli, calls int) {
	d.mean = d.estimate(now)
	d.mean += demandWeight * (float64(calls) - d.mean)
	d.updatedAt = now
}

func (d *demand) estimate(now clock.Milli) float64 {
	if d.mean == 0 {
		return 0
	}
	return d.mean * math.Exp2(-float64((now-d.updatedAt)/demandHalfLife))
}

// interactiveCount counts the interactive calls in progress and queued.
func (a *Admitter) interactiveCount() int {
	return a.activeByClass[call.Interactive] + a.queues[call.Interactive].len()
}

// mayStart reports whether a call of a class may start now. Calls in progress
// are not interrupted, so transfers and background calls leave room for the
// mean interactive demand and a margin for its peaks.
func (a *Admitter) mayStart(now clock.Milli, c call.Class) bool {
	n, capacity := len(a.active), a.capacity()
	if n >= capacity {
		return false
	}
	if c == call.Interactive || capacity == 1 {
		return true
	}
	others := float64(n - a.activeByClass[call.Interactive] + 1)
	mean := a.interactiveDemand.estimate(now)
	if c == call.Background {
		return a.queues[call.Interactive].empty() && n+backgroundSpareSlots < capacity &&
			others+mean+backgroundSlotMargin <= float64(capacity)
	}
	return others+mean+transferStdDevMargin*math.Sqrt(mean) <= max(float64(capacity)-1, 1+mean)
}

// latencyWindow is a ring buffer of the latencies of the last calls.
type latencyWindow struct {
	recordedAt [latencyWindowCalls]clock.Milli
	latency    [latencyWindowCalls]clock.Milli
	next       int
	count      int
}

func (w *latencyWindow) add(now, latency clock.Milli) {
	w.recordedAt[w.next], w.latency[w.next] = now, latency
	w.next = (w.next + 1) % latencyWindowCalls
	w.count = min(latencyWindowCalls, w.count+1)
}

func (w *latencyWindow) median(now clock.Milli) clock.Milli {
	var buf [latencyWindowCalls]clock.Milli
	n := 0
	for i := range w.count {
		if now-w.recordedAt[i] < latencyMaxAge {
			buf[n] = w.latency[i]
			n++
		}
	}
	if n == 0 {
		return 0
	}
	slices.Sort(buf[:n])
	return buf[n/2]
}

// currentLatency returns the median latency of the recent calls, or the baseline
// if there are none. Interactive calls in progress count with their elapsed
// time, so that a sudden slowdown shows before the first slow call ends.
func (a *Admitter) currentLatency(now clock.Milli) clock.Milli {
	median := a.latencies.median(now)
	if median == 0 {
		median = a.limit.BaselineLatency()
	}
	longer, inProgress := 0, 0
	shortest := clock.Milli(math.MaxFloat64)
	for _, r := range a.active {
		if r.class != call.Interactive {
			continue
		}
		inProgress++
		if elapsed := now - r.startedAt; elapsed > median {
			longer++
			shortest = min(shortest, elapsed)
		}
	}
	if inProgress > 1 && longer*2 > inProgress {
		return max(median, shortest)
	}
	return median
}
