package queue

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/share"
)

// shortageEnd is the time without a lack of slots after which a shortage has ended.
const shortageEnd = clock.Second

// exceedsShare reports whether a call of the route would take a slot that the calls of other
// routes, which are expected, need more. It is false while the slots suffice for all, and while
// less than half of them is in use.
func (d *Dispatcher) exceedsShare(now clock.Milli, route string) bool {
	if 2*len(d.inProgress) < d.maxInProgress() {
		return false
	}
	demands := d.demand.Demands(now, d.runningByRoute, d.baselineServiceTime)
	slots := float64(d.maxInProgress())
	if !share.IsShort(slots, demands) {
		return false
	}
	d.shortAt = now
	return len(d.inProgress)+1+share.Reserve(share.Divide(slots, demands), route) > d.maxInProgress()
}

// isStarved reports whether too few of the route's calls start, compared with others. A cold
// time is too short for that to matter.
func (d *Dispatcher) isStarved(now clock.Milli, route string) bool {
	return d.IsShort(now) && !d.coldLimit.isActive(now) && d.demand.IsStarved(now, route)
}

// IsShort reports whether the slots do not suffice for the calls that arrive.
func (d *Dispatcher) IsShort(now clock.Milli) bool {
	return d.shortAt > 0 && now-d.shortAt < shortageEnd
}
