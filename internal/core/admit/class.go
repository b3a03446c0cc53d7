package admit

import (
	"math"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// needFade is the time in which the need of interactive calls halves
	// while none arrive; needSmooth is the weight of one arrival.
	needFade   = clock.Second
	needSmooth = 0.02
	// idleNeed is the mean below which there are no interactive calls to
	// speak of.
	idleNeed = 0.05
	// spareSlots is what background work leaves free at its start, and
	// backgroundMargin what it leaves above the mean need.
	spareSlots       = 2
	backgroundMargin = 0.5
	// transferMargin is what transfers leave above the mean need, in
	// standard deviations of random arrivals.
	transferMargin = 1.0
	// recentCalls is the number of calls of which the median is reported.
	recentCalls = 8
	// recentFor is how long a call counts as recent. A target that gets no
	// calls must not be reported as slow for ever.
	recentFor = 2 * clock.Second
)

// need follows the interactive calls in progress and waiting: their mean,
// seen by each arriving call, fades while none arrive.
type need struct {
	mean float64
	at   clock.Milli
}

func (n *need) note(now clock.Milli, calls int) {
	n.mean = n.value(now)
	n.mean += needSmooth * (float64(calls) - n.mean)
	n.at = now
}

func (n *need) value(now clock.Milli) float64 {
	if n.mean == 0 {
		return 0
	}
	return n.mean * math.Exp2(-float64((now-n.at)/needFade))
}

// interactive counts the interactive calls in progress and waiting.
func (a *Admitter) interactive() int {
	return a.byClass[call.Interactive] + a.queue[call.Interactive].len()
}

// fits reports whether a call of a class may start now. Calls in progress are
// not interrupted, so transfers and background work leave free what
// interactive calls need on average and a margin for their peaks.
func (a *Admitter) fits(now clock.Milli, c call.Class) bool {
	n, capacity := len(a.active), a.capacity()
	if n >= capacity {
		return false
	}
	if c == call.Interactive || capacity == 1 {
		return true
	}
	others := float64(n - a.byClass[call.Interactive] + 1)
	mean := a.need.value(now)
	if c == call.Background {
		return a.queue[call.Interactive].empty() && n+spareSlots < capacity &&
			others+mean+backgroundMargin <= float64(capacity)
	}
	return others+mean+transferMargin*math.Sqrt(mean) <= max(float64(capacity)-1, 1+mean)
}

// recent holds the latency of the last calls.
type recent struct {
	at      [recentCalls]clock.Milli
	latency [recentCalls]clock.Milli
	next    int
	n       int
}

func (r *recent) add(now, latency clock.Milli) {
	r.at[r.next], r.latency[r.next] = now, latency
	r.next = (r.next + 1) % recentCalls
	r.n = min(recentCalls, r.n+1)
}

func (r *recent) median(now clock.Milli) clock.Milli {
	var buf [recentCalls]clock.Milli
	n := 0
	for i := range r.n {
		if now-r.at[i] < recentFor {
			buf[n] = r.latency[i]
			n++
		}
	}
	if n == 0 {
		return 0
	}
	slices.Sort(buf[:n])
	return buf[n/2]
}

// latency is the recent median service time. Calls in progress count with
// the time they have taken so far, so that a sudden slowdown shows before
// the first slow call ends.
func (a *Admitter) latency(now clock.Milli) clock.Milli {
	m := a.recent.median(now)
	if m == 0 {
		m = a.limit.BaselineLatency()
	}
	longer, n := 0, 0
	shortest := clock.Milli(math.MaxFloat64)
	for _, r := range a.active {
		if r.class != call.Interactive {
			continue
		}
		n++
		if t := now - r.started; t > m {
			longer++
			shortest = min(shortest, t)
		}
	}
	if n > 1 && longer*2 > n {
		return max(m, shortest)
	}
	return m
}
