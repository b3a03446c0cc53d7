package share_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/share"
)

// Guards against a route that starves, that takes what more urgent ones need, or that leaves
// slots to routes without need.
func TestDivide(t *testing.T) {
	urgent := share.Demand{Route: "urgent", Priority: 0, Load: 3}
	tests := map[string]struct {
		demands []share.Demand
		want    map[string]float64
	}{
		"enough":               {[]share.Demand{urgent, {Route: "b", Priority: 1, Load: 1}}, map[string]float64{"urgent": 3, "b": 1}},
		"less urgent is cut":   {[]share.Demand{urgent, {Route: "b", Priority: 1, Load: 5}}, map[string]float64{"urgent": 3, "b": 1}},
		"keeps a quarter":      {[]share.Demand{{Route: "urgent", Load: 12}, {Route: "b", Priority: 1, Load: 4}}, map[string]float64{"urgent": 3.75, "b": 0.25}},
		"equals share evenly":  {[]share.Demand{{Route: "a", Load: 6}, {Route: "b", Load: 10}}, map[string]float64{"a": 2, "b": 2}},
		"small need is served": {[]share.Demand{{Route: "a", Load: 1}, {Route: "b", Load: 10}}, map[string]float64{"a": 1, "b": 3}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for _, p := range share.Divide(4, tt.demands) {
				g.Expect(p.Slots).To(BeNumerically("~", tt.want[p.Route], 0.001), p.Route)
			}
		})
	}
}

// Guards against a reserve for a burst that has ended.
func TestDemandEndsAfterBurst(t *testing.T) {
	g := NewWithT(t)
	var table share.Table
	for ms := clock.Milli(0); ms < clock.Second; ms += 10 {
		table.Observe(ms, "burst", 0)
	}
	loadAt := func(now clock.Milli) float64 {
		demands := table.Demands(now, nil, func(string) clock.Milli { return 50 })
		if len(demands) == 0 {
			return 0
		}
		return demands[0].Load
	}
	g.Expect(loadAt(clock.Second)).To(BeNumerically("~", 5, 1))
	g.Expect(loadAt(2 * clock.Second)).To(BeNumerically("<", 0.5))
	g.Expect(loadAt(6 * clock.Second)).To(BeZero())
}
