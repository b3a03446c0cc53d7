package admit

import (
	"math"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// needFade is the time in which the need of interactive calls halves
	// after a peak.
	needFade = clock.Second
	// spareSlots is what background work leaves free.
	spareSlots = 2
	// recentCalls is the number of calls of which the median is reported.
	recentCalls = 16
	// recentFor is how long a call counts as recent. A target that gets no
	// calls must not be reported as slow for ever.
	recentFor = clock.Second
)

// need follows the peaks of interactive calls in progress and waiting.
type need struct {
	peak float64
	at   clock.Milli
}

func (n *need) note(now clock.Milli, calls int) {
	n.peak = max(n.value(now), float64(calls))
	n.at = now
}

func (n *need) value(now clock.Milli) float64 {
	if n.peak == 0 {
		return 0
	}
	return n.peak * math.Exp2(-float64((now-n.at)/needFade))
}

// interactive counts the interactive calls, one of class c included.
func (a *Admitter) interactive(c call.Class) int {
	n := a.byClass[call.Interactive] + a.queue[call.Interactive].len()
	if c == call.Interactive {
		n++
	}
	return n
}

// fits reports whether a call of a class may start now. Transfers leave free
// what interactive calls needed at their recent peak, and at least one slot,
// as a call in progress is not interrupted. Background work is short, and
// leaves free some slots for the next interactive calls.
func (a *Admitter) fits(now clock.Milli, c call.Class) bool {
	n, capacity := len(a.active), a.capacity()
	if n >= capacity {
		return false
	}
	if c == call.Interactive || capacity == 1 {
		return true
	}
	if c == call.Background {
		return a.queue[call.Interactive].empty() && n+spareSlots < capacity
	}
	others := n - a.byClass[call.Interactive]
	reserve := max(1, int(math.Ceil(a.need.value(now))))
	return others < max(1, capacity-reserve)
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
		m = a.limit.Usual()
	}
	longer, n := 0, 0
	shortest := clock.Milli(math.MaxFloat64)
	for _, r := range a.active {
		if r.class == call.Transfer {
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
