package queue

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// refusalReason returns why a call that can't start immediately is refused if it has
// other targets left.
func (d *Dispatcher) refusalReason(now clock.Milli, req admit.Request) call.Reason {
	switch {
	case !d.hasColdRoom(now, req):
		return call.ReasonCold
	case !d.statedLimit.hasToken(now):
		return call.ReasonRateLimit
	case d.isVMSlow(now):
		return call.ReasonSlowVM
	case len(d.inProgress) < d.maxInProgress() && d.exceedsShare(now, req.Route):
		return call.ReasonRouteShare
	default:
		return call.ReasonBusy
	}
}

// maxInProgress returns how many calls may run concurrently. Some slots stay free, as
// a nearly full upstream loses more by slowing down than further calls add.
func (d *Dispatcher) maxInProgress() int {
	return max(1, int(maxSlotUtilisation*float64(d.slots)))
}

func (d *Dispatcher) isVMSlow(now clock.Milli) bool {
	return d.vmSlowdown(now) >= call.SlowVMThreshold
}

// DelayedBySlowVM reports whether calls wait for the upstream's VM to become faster.
func (d *Dispatcher) DelayedBySlowVM(now clock.Milli) bool {
	return len(d.queue) > 0 && d.isVMSlow(now)
}

// SlowdownAge returns the age of the last reported slowdown.
func (d *Dispatcher) SlowdownAge(now clock.Milli) clock.Milli {
	return now - d.slowdownAt
}

// latestStart returns the latest instant at which a call offered now may start. A call that
// would end after its deadline may not, as it would only take room from others.
func (d *Dispatcher) latestStart(now clock.Milli, req admit.Request) clock.Milli {
	latest := max(now+deadlineWaitFraction*(req.Deadline-now), d.latestTimelyStart(now, req))
	latest = max(now+minQueueWait, min(latest, req.Deadline-d.likelyServiceTime(now, req.Route)))
	return d.latestColdStart(now, latest, req)
}

// latestTimelyStart returns the latest instant at which a call may start to end within its
// soft deadline in most cases, or zero if it has none.
func (d *Dispatcher) latestTimelyStart(now clock.Milli, req admit.Request) clock.Milli {
	if req.SoftDeadline == 0 {
		return 0
	}
	return req.SoftDeadline - serviceTimeMargin*d.likelyServiceTime(now, req.Route)
}

// likelyServiceTime returns the mean service time of a route without slow spells of the VM,
// but with the slowdown of a cold upstream.
func (d *Dispatcher) likelyServiceTime(now clock.Milli, route string) clock.Milli {
	return clock.Milli(d.ownSlowdown(now)) * d.baselineServiceTime(route)
}

// latestLimitedStart returns the latest instant at which a call may start if it waits for the
// stated rate limit: one that would be answered after its soft deadline takes the place of
// another one that would not.
func (d *Dispatcher) latestLimitedStart(now, latestStart clock.Milli, req admit.Request) clock.Milli {
	if req.SoftDeadline == 0 {
		return latestStart
	}
	serviceTime := clock.Milli(d.currentSlowdown(now)) * d.baselineServiceTime(req.Route)
	return min(latestStart, max(now+minQueueWait, req.SoftDeadline-serviceTime))
}

// isLimitedTooLong reports whether the stated rate limit delays a call beyond its latest
// start.
func (d *Dispatcher) isLimitedTooLong(now clock.Milli, ahead int, queued queuedCall) bool {
	wait := d.statedLimit.waitTime(now, ahead)
	return wait > 0 && now+wait > queued.latestLimitedStart
}

// lateStartReason returns the reason to refuse a call that is not expected to start by
// its latest start, and ReasonNone if it is.
func (d *Dispatcher) lateStartReason(now clock.Milli, ahead int, queued queuedCall) call.Reason {
	if d.coldLimit.isActive(now) {
		if now+d.coldWait(now, ahead) > queued.latestStart {
			return call.ReasonCold
		}
		return call.ReasonNone
	}
	if d.isLimitedTooLong(now, ahead, queued) {
		return call.ReasonRateLimit
	}
	if len(d.inProgress) < d.maxInProgress() && ahead == 0 {
		return call.ReasonNone
	}
	if now+d.expectedWait(ahead) > queued.latestStart {
		return call.ReasonQueueFull
	}
	return call.ReasonNone
}

// expectedWait returns the time until a slot is free for a call that has the first calls of
// the queue ahead of it.
func (d *Dispatcher) expectedWait(ahead int) clock.Milli {
	work := d.runningServiceTime()
	for _, queued := range d.queue[:ahead] {
		work += d.baselineServiceTime(queued.request.Route)
	}
	return work / clock.Milli(d.maxInProgress())
}

// runningServiceTime returns the mean service time of the routes of the running calls.
func (d *Dispatcher) runningServiceTime() clock.Milli {
	if len(d.inProgress) == 0 {
		return 0
	}
	var total clock.Milli
	for _, run := range d.inProgress {
		total += d.baselineServiceTime(run.route)
	}
	return total / clock.Milli(len(d.inProgress))
}

// refuseLate refuses a call that is not expected to start in time.
func (d *Dispatcher) refuseLate(now clock.Milli, req admit.Request, reason call.Reason) admit.Decision {
	decision := admit.Decision{ID: req.ID, Reason: reason}
	if reason == call.ReasonRateLimit {
		wait := d.rateLimitWait(now, reason)
		decision.RetryIn = d.returns.schedule(now, wait, d.statedLimit.callInterval(), req.Deadline)
	}
	return decision
}

// rateLimitWait returns the time until the stated rate limit admits one more call, zero for
// a refusal for another reason.
func (d *Dispatcher) rateLimitWait(now clock.Milli, reason call.Reason) clock.Milli {
	if reason != call.ReasonRateLimit {
		return 0
	}
	return min(maxCallInterval, d.statedLimit.waitTime(now, len(d.queue)))
}

// hasTokens reports whether the rate limits let a call start.
func (d *Dispatcher) hasTokens(now clock.Milli) bool {
	return d.coldLimit.hasToken(now) && d.statedLimit.hasToken(now)
}

// hasRoom reports whether the slots and the rate limits let a call start.
func (d *Dispatcher) hasRoom(now clock.Milli) bool {
	return len(d.inProgress) < d.maxInProgress() && d.hasTokens(now)
}

// canStart reports whether a call may start now. On a slow VM, only a short call that
// has no other target may.
func (d *Dispatcher) canStart(now clock.Milli, req admit.Request) bool {
	if !d.hasRoom(now) || !d.hasColdRoom(now, req) || d.exceedsShare(now, req.Route) {
		return false
	}
	if !d.isVMSlow(now) {
		return true
	}
	return req.MayQueue && clock.Milli(d.vmSlowdown(now)-1)*d.baselineServiceTime(req.Route) <= maxSlowVMDelay
}

// dispatchQueued admits queued calls that may start, in order, but those of starved routes
// first. One that may not, because its route has its share, does not hold up those behind it.
func (d *Dispatcher) dispatchQueued(now clock.Milli, decisions []admit.Decision) []admit.Decision {
	d.sortQueue(now)
	decisions = d.dispatchIf(now, decisions, func(r admit.Request) bool { return d.isStarved(now, r.Route) && d.hasRoom(now) && !d.isVMSlow(now) })
	return d.dispatchIf(now, decisions, func(r admit.Request) bool { return d.canStart(now, r) })
}

// dispatchIf admits the queued calls for which mayStart reports true when their turn comes.
func (d *Dispatcher) dispatchIf(now clock.Milli, decisions []admit.Decision, mayStart func(admit.Request) bool) []admit.Decision {
	kept := d.queue[:0]
	for _, queued := range d.queue {
		if mayStart(queued.request) {
			decisions = append(decisions, d.admit(now, queued.request))
			continue
		}
		kept = append(kept, queued)
	}
	d.queue = kept
	return decisions
}

// canAnswerOnSlowVM reports whether a call that waited for the VM to become faster can
// start now and still be answered by its deadline. It requires that less than half of
// maxInProgress is in use.
func (d *Dispatcher) canAnswerOnSlowVM(now clock.Milli, queued queuedCall) bool {
	return d.isVMSlow(now) && 2*len(d.inProgress) < d.maxInProgress() && d.hasTokens(now) &&
		now+clock.Milli(d.currentSlowdown(now))*d.baselineServiceTime(queued.request.Route) < queued.request.Deadline
}

// timeoutReason returns why a call has waited too long.
func (d *Dispatcher) timeoutReason(now clock.Milli, route string) call.Reason {
	if len(d.inProgress) < d.maxInProgress() && d.exceedsShare(now, route) {
		return call.ReasonRouteShare
	}
	return call.ReasonQueueTimeout
}

// expireQueued refuses the queued calls that can no longer start in time, also because a
// lower rate limit was stated or calls of higher priority have arrived. It admits those
// that have waited for a faster VM but can still be answered by the slow one.
func (d *Dispatcher) expireQueued(now clock.Milli, decisions []admit.Decision) []admit.Decision {
	kept := d.queue[:0]
	for _, queued := range d.queue {
		switch {
		case now >= queued.request.Deadline:
			decisions = append(decisions, admit.Decision{ID: queued.request.ID, Reason: call.ReasonDeadline})
		case now >= queued.latestStart && d.canAnswerOnSlowVM(now, queued):
			decisions = append(decisions, d.admit(now, queued.request))
		case d.isLimitedTooLong(now, len(kept), queued):
			decisions = append(decisions, d.refuseLate(now, queued.request, call.ReasonRateLimit))
		case now >= queued.latestStart:
			decisions = append(decisions, admit.Decision{ID: queued.request.ID, Reason: d.timeoutReason(now, queued.request.Route)})
		default:
			kept = append(kept, queued)
		}
	}
	d.queue = kept
	return decisions
}
