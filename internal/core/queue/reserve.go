package queue

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/share"
)

// exceedsShare reports whether a call of the route would take a slot that the calls of other
// routes, which are expected, need more.
func (d *Dispatcher) exceedsShare(now clock.Milli, route string) bool {
	if 2*len(d.inProgress) < d.maxInProgress() {
		return false
	}
	running := make(map[string]int, len(d.serviceTimes))
	for _, run := range d.inProgress {
		running[run.route]++
	}
	demands := d.demand.Demands(now, func(route string) int { return running[route] }, d.baselineServiceTime)
	if len(demands) < 2 {
		return false
	}
	slots := float64(d.maxInProgress())
	return len(d.inProgress)+1+share.Reserve(slots, share.Divide(slots, demands), route) > d.maxInProgress()
}
