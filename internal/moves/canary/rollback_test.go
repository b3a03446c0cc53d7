package canary_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/canary"
)

// statsWithFailures returns statistics of one route with 300 ms per successful call.
func statsWithFailures(calls, failed uint64) []call.RouteStats {
	return []call.RouteStats{{Route: "r", Calls: calls, Failed: failed, TotalServiceTime: clock.Milli(calls-failed) * 300, Answered: histogram(calls-failed, 300)}}
}

// statsWithServiceTime returns statistics of one route without failures.
func statsWithServiceTime(calls uint64, each clock.Milli) []call.RouteStats {
	return []call.RouteStats{{Route: "r", Calls: calls, TotalServiceTime: clock.Milli(calls) * each, Answered: histogram(calls, each)}}
}

func histogram(calls uint64, each clock.Milli) call.LatencyHistogram {
	var h call.LatencyHistogram
	h[call.LatencyBucket(each)] = uint32(calls)
	return h
}

// Guards against a rollback of a good version because one of its upstreams fails or
// is slow.
func TestOneBadUpstream(t *testing.T) {
	tests := map[string]struct {
		// bad returns the statistics of a bad upstream after a number of calls.
		bad func(calls uint64) []call.RouteStats
	}{
		"fails": {func(calls uint64) []call.RouteStats { return statsWithFailures(calls, calls/2) }},
		"slow":  {func(calls uint64) []call.RouteStats { return statsWithServiceTime(calls, 3000) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := canary.New(order.Move{Version: "v2", MaxDuration: maxDuration, ReceivedAt: orderedAt})
			now := orderedAt
			observeCalls := func(from, to uint64, secondUpstream func(calls uint64) []call.RouteStats) {
				for i := from; i < to; i++ {
					now += tickInterval
					m.Observe(now, "old", 1, "v1", statsWithFailures(10*i, 0))
					m.Observe(now, "one", 1, "v2", tt.bad(i))
					m.Observe(now, "two", 1, "v2", secondUpstream(i))
					m.Evaluate(now)
				}
			}
			observeCalls(1, 40, func(calls uint64) []call.RouteStats { return statsWithFailures(calls, 0) })
			g.Expect(m.Phase()).To(Equal(canary.Running))
			observeCalls(40, 70, tt.bad)
			g.Expect(m.Phase()).To(Equal(canary.RolledBack))
		})
	}
}

// Guards against a rollback of a good version because of a route on which the old
// version failed as well, or on which it had no calls.
func TestRouteThatFailsAnyway(t *testing.T) {
	tests := map[string]struct {
		old []call.RouteStats
	}{
		"failed before": {[]call.RouteStats{{Route: "r", Calls: 50, TotalServiceTime: 15000}, {Route: "broken", Calls: 20, Failed: 20}}},
		"no calls":      {[]call.RouteStats{{Route: "r", Calls: 50, TotalServiceTime: 15000}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := canary.New(order.Move{Version: "v2", MaxDuration: maxDuration, ReceivedAt: orderedAt})
			for now := orderedAt; now < orderedAt+5*clock.Second; now += tickInterval {
				m.Observe(now, "old", 1, "v1", tt.old)
				calls := uint64((now - orderedAt) / tickInterval)
				m.Observe(now, "new", 1, "v2", []call.RouteStats{
					{Route: "r", Calls: 20 * calls, TotalServiceTime: clock.Milli(20*calls) * 300},
					{Route: "broken", Calls: calls, Failed: calls},
				})
				m.Evaluate(now)
			}
			g.Expect(m.Phase()).To(Equal(canary.Running))
		})
	}
}

// Guards against the loss of statistics when a guard restarts.
func TestRestartedGuard(t *testing.T) {
	g := NewWithT(t)
	m := canary.New(order.Move{Version: "v2", MaxDuration: maxDuration, ReceivedAt: orderedAt})
	m.Observe(orderedAt, "old", 1, "v1", statsWithFailures(100, 0))
	for incarnation := uint64(1); incarnation <= 3; incarnation++ {
		m.Observe(orderedAt, "new", incarnation, "v2", statsWithFailures(4, 2))
	}
	g.Expect(m.Evaluate(orderedAt)).To(BeTrue())
	g.Expect(m.Phase()).To(Equal(canary.RolledBack))
}

// Guards against a rollback of a good version because of a route with calls of a few
// milliseconds, whose mean service times differ by chance.
func TestShortCalls(t *testing.T) {
	g := NewWithT(t)
	m := canary.New(order.Move{Version: "v2", MaxDuration: maxDuration, ReceivedAt: orderedAt})
	m.Observe(orderedAt, "old", 1, "v1", []call.RouteStats{{Route: "r", Calls: 20, TotalServiceTime: 40, Answered: histogram(20, 2)}})
	m.Observe(orderedAt, "new", 1, "v2", []call.RouteStats{{Route: "r", Calls: 10, TotalServiceTime: 80, Answered: histogram(10, 8)}})
	g.Expect(m.Evaluate(orderedAt)).To(BeFalse())
	g.Expect(m.Phase()).To(Equal(canary.Running))
}

// Guards against counters that wrap around after a restart of the upstream, when it
// reports more calls but fewer failures than before.
func TestUpstreamRestart(t *testing.T) {
	g := NewWithT(t)
	m := canary.New(order.Move{Version: "v2", MaxDuration: maxDuration, ReceivedAt: orderedAt})
	m.Observe(orderedAt, "old", 1, "v1", statsWithFailures(100, 0))
	m.Observe(orderedAt, "new", 1, "v2", statsWithFailures(20, 1))
	m.Observe(orderedAt, "new", 1, "v2", statsWithFailures(21, 0))
	g.Expect(m.Evaluate(orderedAt)).To(BeFalse())
}
