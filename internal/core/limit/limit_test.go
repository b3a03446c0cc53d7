package limit_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/limit"
)

func observeCalls(l *limit.Limiter, n int, latency clock.Milli, failed bool) {
	for range n {
		l.Observe(latency, failed)
	}
}

// Guards against a limit that does not fall when calls are slow or fail, or that
// does not recover afterwards.
func TestLimitFollowsSlowness(t *testing.T) {
	cases := map[string]struct {
		latency clock.Milli
		failed  bool
	}{"slow": {100, false}, "failing": {0.2, true}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := limit.New(6)
			observeCalls(l, 160, 10, false)
			g.Expect(l.Limit()).To(Equal(6))
			observeCalls(l, 160, c.latency, c.failed)
			g.Expect(l.Limit()).To(Equal(3))
			observeCalls(l, 160, 10, false)
			g.Expect(l.Limit()).To(Equal(6))
		})
	}
}

// Guards against a limit below one or above the number of slots, also when this
// number changes.
func TestLimitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		l := limit.New(slots)
		for range rapid.IntRange(1, 400).Draw(t, "calls") {
			if rapid.IntRange(0, 50).Draw(t, "change") == 0 {
				slots = rapid.IntRange(1, 20).Draw(t, "slots")
				l.SetSlots(slots)
			}
			l.Observe(clock.Milli(rapid.Float64Range(0, 200).Draw(t, "latency")), rapid.Bool().Draw(t, "failed"))
			if v := l.Limit(); v < 1 || v > slots {
				t.Fatalf("limit %d of %d slots", v, slots)
			}
		}
	})
}
