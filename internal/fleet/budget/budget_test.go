package budget_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// Guards against a sender that exceeds the budget in a window of 10 s although it
// calls Allow before each packet.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limiter := budget.NewLimiter(0)
		type use struct {
			at    clock.Milli
			bytes int
		}
		var uses []use
		now := clock.Milli(0)
		for range 300 {
			now += clock.Milli(rapid.Float64Range(0, 300).Draw(rt, "wait"))
			bytes := rapid.IntRange(1, 1200).Draw(rt, "bytes")
			priority := member.Priority(rapid.IntRange(0, 3).Draw(rt, "priority"))
			if limiter.Allow(now, bytes, priority) {
				limiter.Charge(now, bytes, 0)
				uses = append(uses, use{now, bytes})
			}
			sum := 0
			for _, u := range uses {
				if now-u.at < 10*clock.Second {
					sum += u.bytes
				}
			}
			if sum > 10*budget.MaxBytesPerSecond {
				rt.Fatalf("%d bytes in 10 s", sum)
			}
		}
	})
}

// Guards against low-priority packets that use the tokens reserved for higher
// priorities, and against buckets that do not refill.
func TestOrder(t *testing.T) {
	cases := map[string]struct {
		used    int
		cpu     clock.Milli
		allowed []member.Priority
	}{
		"idle":          {0, 0, []member.Priority{member.Vital, member.Urgent, member.Ordinary, member.Bulk}},
		"half":          {3500, 0, []member.Priority{member.Vital, member.Urgent, member.Ordinary}},
		"low":           {5000, 0, []member.Priority{member.Vital, member.Urgent}},
		"overdrawn":     {6500, 0, []member.Priority{member.Vital}},
		"far overdrawn": {15000, 0, nil},
		"out of CPU":    {0, 100, nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			limiter := budget.NewLimiter(0)
			limiter.Charge(0, tc.used, tc.cpu)
			var got []member.Priority
			for priority := member.Vital; priority <= member.Bulk; priority++ {
				if limiter.Allow(0, 100, priority) {
					got = append(got, priority)
				}
			}
			g.Expect(got).To(Equal(tc.allowed))
			g.Expect(limiter.Allow(20*clock.Second, 100, member.Bulk)).To(BeTrue(), "the buckets refill")
		})
	}
}

// Guards against traffic that is counted for the wrong kind or not at all.
func TestMeter(t *testing.T) {
	g := NewWithT(t)
	m := budget.NewMeter(clock.NewManual(0), budget.NewLimiter(0))
	m.AddSent(budget.Probe, 10)
	m.AddReceived(budget.Sync, 20)
	m.AddCPU(budget.Sync, time.Now().Add(-time.Second))
	g.Expect(m.Usage(budget.Probe).Sent).To(Equal(int64(10)))
	g.Expect(m.Usage(budget.Sync).Received).To(Equal(int64(20)))
	g.Expect(m.TotalUsage().CPU).To(BeNumerically(">=", 1000))
}
