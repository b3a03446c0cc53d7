package queue

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// UpstreamState returns the current state of the upstream, without Target and
// Incarnation.
func (d *Dispatcher) UpstreamState(now clock.Milli) call.UpstreamState {
	state := call.UpstreamState{
		InProgress:   len(d.inProgress),
		Queued:       len(d.queue),
		Limit:        d.maxInProgress(),
		Slots:        d.slots,
		Latency:      d.meanServiceTime,
		Cold:         d.coldLimit.isActive(now),
		Slowdown:     d.currentSlowdown(now),
		Leaving:      d.draining,
		AdmitDelay:   min(maxCallInterval, d.statedLimit.waitTime(now, len(d.queue))),
		CallInterval: d.statedLimit.callInterval(),
	}
	if state.Cold {
		state.Limit = max(1, min(d.maxInProgress(), int(d.coldLimit.bucket.availableTokens(now))))
	}
	return state
}

// RouteStats returns the statistics of each route since the last Reset, in no
// particular order.
func (d *Dispatcher) RouteStats(now clock.Milli) []call.RouteStats {
	for _, stats := range d.routeStats {
		stats.Running = call.LatencyHistogram{}
	}
	for _, run := range d.inProgress {
		d.statsOf(run.route).Running.Observe(run.serviceTime(now - run.startedAt))
	}
	out := make([]call.RouteStats, 0, len(d.routeStats))
	for _, stats := range d.routeStats {
		out = append(out, *stats)
	}
	return out
}

func (d *Dispatcher) statsOf(route string) *call.RouteStats {
	stats := d.routeStats[route]
	if stats == nil {
		stats = &call.RouteStats{Route: route}
		d.routeStats[route] = stats
	}
	return stats
}
