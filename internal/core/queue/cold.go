package queue

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
)

const (
	// coldSlackShare is the share of the tolerated slack of a cold upstream that may be saved
	// up. The rest is left for calls that arrive closer together than they were sent.
	coldSlackShare = 0.75
	// coldSavingTime is the time for which unused calls to a cold upstream are saved up. Its
	// VM may be slow for about that long.
	coldSavingTime = 250 * clock.Millisecond
	// minMeasuredCalls is the number of answered calls of a route from which their mean
	// service time rules out further ones.
	minMeasuredCalls = 3
)

// SetColdSlack sets the number of calls beyond the cold rate that are tolerated in one second.
// Up to a part of it, calls that could not start for a moment start right after.
func (d *Dispatcher) SetColdSlack(calls float64) {
	d.coldLimit.slack = calls
}

// savedCalls returns the capacity of the token bucket at a rate per second.
func (l *coldLimiter) savedCalls(perSecond float64) float64 {
	saved := perSecond * float64(coldSavingTime/clock.Second)
	return max(coldBurst, min(coldSlackShare*l.slack, saved))
}

// expectedDuration returns how long a call that starts now runs, and false if too few calls of
// its route have ended to tell.
func (d *Dispatcher) expectedDuration(now clock.Milli, route string) (clock.Milli, bool) {
	stats := d.routeStats[route]
	if stats == nil || stats.Calls-stats.Failed < minMeasuredCalls {
		return 0, false
	}
	return clock.Milli(d.currentSlowdown(now)) * d.serviceTimes[route], true
}

// endsTooLate reports whether a call that starts now is not expected to end by its deadline.
// It answers the load of callers who repeat while the upstreams are cold: each start uses up a
// part of the cold rate that a call with more time left needs. A warm upstream starts such a
// call, as the expected time is a mean and its room may be free.
func (d *Dispatcher) endsTooLate(now clock.Milli, req admit.Request) bool {
	if !d.coldLimit.isActive(now) {
		return false
	}
	duration, ok := d.expectedDuration(now, req.Route)
	return ok && now+duration > req.Deadline
}

// latestColdStart limits the latest start of a call at a cold upstream to the one from which it
// is expected to end by its deadline.
func (d *Dispatcher) latestColdStart(now, latestStart clock.Milli, req admit.Request) clock.Milli {
	if !d.coldLimit.isActive(now) {
		return latestStart
	}
	duration, _ := d.expectedDuration(now, req.Route)
	return min(latestStart, req.Deadline-duration)
}
