package canary_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/canary"
)

// tally counts the calls of one route.
func tally(calls, failed uint64) []call.RouteStats {
	return []call.RouteStats{{Route: "r", Calls: calls, Failed: failed, TotalServiceTime: clock.Milli(calls-failed) * 300}}
}

// spent counts calls of one route that took a number of milliseconds each.
func spent(calls uint64, each clock.Milli) []call.RouteStats {
	return []call.RouteStats{{Route: "r", Calls: calls, TotalServiceTime: clock.Milli(calls) * each}}
}

// Guards against a good version that is taken back as one of its upstreams is
// broken or slow.
func TestOneBadUpstream(t *testing.T) {
	tests := map[string]struct {
		// bad is what an upstream counts after a number of calls.
		bad func(calls uint64) []call.RouteStats
	}{
		"fails": {func(calls uint64) []call.RouteStats { return tally(calls, calls/2) }},
		"slow":  {func(calls uint64) []call.RouteStats { return spent(calls, 3000) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := canary.New(order.Move{Version: "v2", MaxDuration: within, ReceivedAt: ordered})
			now := ordered
			play := func(from, to uint64, second func(calls uint64) []call.RouteStats) {
				for i := from; i < to; i++ {
					now += tick
					m.Observe(now, "old", 1, "v1", tally(10*i, 0))
					m.Observe(now, "one", 1, "v2", tt.bad(i))
					m.Observe(now, "two", 1, "v2", second(i))
					m.Evaluate(now)
				}
			}
			play(1, 40, func(calls uint64) []call.RouteStats { return tally(calls, 0) })
			g.Expect(m.Phase()).To(Equal(canary.Running))
			play(40, 70, tt.bad)
			g.Expect(m.Phase()).To(Equal(canary.RolledBack))
		})
	}
}

// Guards against a good version that is taken back for a route on which the old
// version failed too, or on which it had no calls.
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
			m := canary.New(order.Move{Version: "v2", MaxDuration: within, ReceivedAt: ordered})
			for now := ordered; now < ordered+5*clock.Second; now += tick {
				m.Observe(now, "old", 1, "v1", tt.old)
				calls := uint64((now - ordered) / tick)
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

// Guards against evidence that is lost with a restarted guard.
func TestRestartedGuard(t *testing.T) {
	g := NewWithT(t)
	m := canary.New(order.Move{Version: "v2", MaxDuration: within, ReceivedAt: ordered})
	m.Observe(ordered, "old", 1, "v1", tally(100, 0))
	for incarnation := uint64(1); incarnation <= 3; incarnation++ {
		m.Observe(ordered, "new", incarnation, "v2", tally(4, 1))
	}
	g.Expect(m.Evaluate(ordered)).To(BeTrue())
	g.Expect(m.Phase()).To(Equal(canary.RolledBack))
}

// Guards against a good version that is taken back for a route whose calls are
// so short that their times are chance.
func TestShortCalls(t *testing.T) {
	g := NewWithT(t)
	m := canary.New(order.Move{Version: "v2", MaxDuration: within, ReceivedAt: ordered})
	m.Observe(ordered, "old", 1, "v1", []call.RouteStats{{Route: "r", Calls: 20, TotalServiceTime: 40}})
	m.Observe(ordered, "new", 1, "v2", []call.RouteStats{{Route: "r", Calls: 10, TotalServiceTime: 80}})
	g.Expect(m.Evaluate(ordered)).To(BeFalse())
	g.Expect(m.Phase()).To(Equal(canary.Running))
}

// Guards against counts that wrap around where an upstream began anew and has
// more calls, but fewer failures, than before.
func TestUpstreamBeganAnew(t *testing.T) {
	g := NewWithT(t)
	m := canary.New(order.Move{Version: "v2", MaxDuration: within, ReceivedAt: ordered})
	m.Observe(ordered, "old", 1, "v1", tally(100, 0))
	m.Observe(ordered, "new", 1, "v2", tally(20, 1))
	m.Observe(ordered, "new", 1, "v2", tally(21, 0))
	g.Expect(m.Evaluate(ordered)).To(BeFalse())
}
