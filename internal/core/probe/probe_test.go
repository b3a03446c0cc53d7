package probe_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/probe"
)

// Guards against an upstream that serves more probes than its budget in any window.
func TestUpstreamBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(1, 20).Draw(t, "budget")
		u := probe.NewUpstreamBudget(budget)
		now := clock.Milli(1)
		var served []clock.Milli
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now += clock.Milli(rapid.Float64Range(0, 200).Draw(t, "gap"))
			if u.Allow(now) {
				served = append(served, now)
			}
		}
		for i, start := range served {
			n := 0
			for _, at := range served[i:] {
				if at < start+probe.Window {
					n++
				}
			}
			if n > budget {
				t.Fatalf("%d probes within a window, budget %d", n, budget)
			}
		}
	})
}

// Guards against a requester that sends more probes than its rate and burst allow.
func TestRequesterHoldsItsRate(t *testing.T) {
	g := NewWithT(t)
	r := probe.NewRequesterBudget(0, probe.RequesterRatePerSecond)
	g.Expect(r.Allow(0)).To(BeFalse())
	for now := clock.Milli(0); now < 10*clock.Second; now++ {
		r.Allow(now)
	}
	g.Expect(r.Sent()).To(BeNumerically("~", 10*probe.RequesterRatePerSecond, probe.Burst))
}
