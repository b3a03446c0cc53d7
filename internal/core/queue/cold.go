package queue

import (
	"cmp"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// coldSlackShare is the share of the tolerated slack of a cold upstream that may be saved
	// up. The rest is left for calls that arrive closer together than they were sent.
	coldSlackShare = 0.5
	// coldSavingTime is the time for which unused calls to a cold upstream are saved up. Its
	// VM may be slow for about that long.
	coldSavingTime = 500 * clock.Millisecond
	// coldSpareTime is the time after the end of the cold start in which a call that waits for
	// it gets its turn.
	coldSpareTime = 500 * clock.Millisecond
	// minMeasuredCalls is the number of answered calls of a route from which their mean
	// service time rules out further ones.
	minMeasuredCalls = 3
	// callsLeftInTime is the number of calls in time for which a late one leaves room.
	callsLeftInTime = 1
	// neededTimeFactor is the ratio of the time within which most calls of a route end to
	// their mean service time.
	neededTimeFactor = 1.2
	// patientTimeFactor is the ratio of the time that a call must have left after the cold
	// start, to wait for that, to the mean service time of its route.
	patientTimeFactor = 2
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

// neededTime returns the time that most calls of a route need, zero if too few of them have
// ended to tell. It is that of a VM that is not slow: a slow one refuses the call by itself, and
// another target may not be slow.
func (d *Dispatcher) neededTime(now clock.Milli, route string) clock.Milli {
	stats := d.routeStats[route]
	if stats == nil || stats.Calls-stats.Failed < minMeasuredCalls {
		return 0
	}
	slowdown := min(call.SlowVMThreshold, d.currentSlowdown(now))
	return neededTimeFactor * clock.Milli(slowdown) * d.serviceTimes[route]
}

// isLate reports whether a call that starts now is answered after its soft deadline.
func (d *Dispatcher) isLate(now clock.Milli, req admit.Request) bool {
	return req.SoftDeadline > 0 && now+d.neededTime(now, req.Route) > req.SoftDeadline
}

// passesQueue reports whether a call may start before the queued ones, which can't start now. At
// a cold upstream, only a call that is in time and at least as urgent as the first queued one
// may: the room that is left for calls in time must not wait for late ones.
func (d *Dispatcher) passesQueue(now clock.Milli, req admit.Request) bool {
	if len(d.queue) == 0 || !d.coldLimit.isActive(now) {
		return true
	}
	return req.Priority <= d.queue[0].request.Priority && !d.isLate(now, req)
}

// endsTooLate reports whether a cold upstream is not expected to end a call that starts now by
// its deadline. Callers repeat such calls, and each start uses a part of the cold rate that a
// call with more time left needs. A warm upstream starts them, as the expected time is a mean
// and slots may be free.
func (d *Dispatcher) endsTooLate(now clock.Milli, req admit.Request) bool {
	return d.coldLimit.isActive(now) && now+d.neededTime(now, req.Route) > req.Deadline
}

// latestColdStart returns the latest start of a call at a cold upstream. The room is short, so a
// call that would be answered after its soft deadline does not take the place of one that would
// not: it is refused, unless its deadline lets it wait until the upstream is warm.
func (d *Dispatcher) latestColdStart(now, latestStart clock.Milli, req admit.Request) clock.Milli {
	switch {
	case !d.coldLimit.isActive(now):
		return latestStart
	case d.outlastsCold(now, req):
		return max(latestStart, d.coldLimit.until+coldSpareTime)
	}
	latestStart = min(latestStart, req.Deadline-d.neededTime(now, req.Route))
	if req.SoftDeadline > 0 {
		latestStart = min(latestStart, max(now+minQueueWait, req.SoftDeadline-d.baselineServiceTime(req.Route)))
	}
	return latestStart
}

// hasColdRoom reports whether the cold rate lets a call start. One that would be answered after
// its soft deadline leaves a part of the room for calls that are in time.
func (d *Dispatcher) hasColdRoom(now clock.Milli, req admit.Request) bool {
	if !d.coldLimit.isActive(now) {
		return true
	}
	needed := 1.0
	if d.isLate(now, req) {
		needed += callsLeftInTime
	}
	return d.coldLimit.bucket.availableTokens(now) >= needed
}

// outlastsCold reports whether a call can wait until the cold upstream is warm and still be
// answered by its deadline.
func (d *Dispatcher) outlastsCold(now clock.Milli, req admit.Request) bool {
	if !d.coldLimit.isActive(now) {
		return false
	}
	serviceTime := d.baselineServiceTime(req.Route)
	return d.coldLimit.until+coldSpareTime+patientTimeFactor*serviceTime < req.Deadline
}

// coldTurn is the turn of a call among those of its priority that wait at a cold upstream. A
// lower one comes first.
type coldTurn int

const (
	// turnInTime is that of calls that can be answered by their soft deadline, and of all
	// calls at a warm upstream.
	turnInTime coldTurn = iota
	turnLate
	// turnPatient is that of calls that can wait until the upstream is warm. The newest is
	// first, as the older ones are late anyway.
	turnPatient
)

// coldTurn returns the turn of a call that arrives now.
func (d *Dispatcher) coldTurn(now clock.Milli, req admit.Request) coldTurn {
	switch {
	case !d.coldLimit.isActive(now):
		return turnInTime
	case d.outlastsCold(now, req):
		return turnPatient
	case d.isLate(now, req):
		return turnLate
	default:
		return turnInTime
	}
}

// compareTurns orders queued calls of the same priority by their turns, and patient ones among
// each other.
func compareTurns(a, b *queuedCall) int {
	if a.turn == turnPatient && b.turn == turnPatient {
		return cmp.Compare(b.seq, a.seq)
	}
	return cmp.Compare(a.turn, b.turn)
}

// coldWait returns the time until a call with the given number of calls ahead of it starts at a
// cold upstream. Once that is warm, the slots limit the starts.
func (d *Dispatcher) coldWait(now clock.Milli, ahead int) clock.Milli {
	warm := d.coldLimit.until - now + clock.Milli(float64(ahead)/float64(d.maxInProgress()))*d.expectedServiceTime()
	return min(d.coldLimit.waitTime(now, ahead), warm)
}
