package eject_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/eject"
)

// Guards against a failing target that is not ejected, one that returns at full
// weight, and one that never returns.
func TestReturnIsGradual(t *testing.T) {
	g := NewWithT(t)
	var group eject.Group
	var target eject.TargetRecord
	group.SetSize(6)
	now := clock.Milli(0)
	for range 10 {
		now += 10
		group.Observe(now, &target, true)
	}
	g.Expect(group.Weight(now, &target)).To(BeZero())
	now += clock.Second
	weight := group.Weight(now, &target)
	g.Expect(weight).To(And(BeNumerically(">", 0), BeNumerically("<", 0.1)))
	for weight < 1 {
		group.Observe(now, &target, false)
		w := group.Weight(now, &target)
		g.Expect(w).To(Equal(2 * weight))
		weight = w
	}
	g.Expect(group.EjectedCount()).To(BeZero())
}

// Guards against ejecting targets because of a failure of the whole service.
func TestServiceWideFailureEjectsNoTarget(t *testing.T) {
	g := NewWithT(t)
	var group eject.Group
	targets := make([]eject.TargetRecord, 6)
	group.SetSize(len(targets))
	for i := range 600 {
		group.Observe(clock.Milli(i), &targets[i%6], i/6%2 == 0)
	}
	g.Expect(group.EjectedCount()).To(BeZero())
}

// Guards against more ejected targets than allowed, and a count of ejected
// targets that does not match their weights.
func TestEjectionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var group eject.Group
		targets := make([]eject.TargetRecord, rapid.IntRange(1, 12).Draw(t, "targets"))
		group.SetSize(len(targets))
		now := clock.Milli(0)
		for range rapid.IntRange(1, 400).Draw(t, "calls") {
			now += clock.Milli(rapid.Float64Range(0, 300).Draw(t, "gap"))
			i := rapid.IntRange(0, len(targets)-1).Draw(t, "target")
			group.Observe(now, &targets[i], i%2 == 0 || rapid.Bool().Draw(t, "failed"))
			ejected := 0
			for k := range targets {
				if group.Weight(now, &targets[k]) == 0 {
					ejected++
				}
			}
			if ejected > group.MaxEjected() || ejected != group.EjectedCount() {
				t.Fatalf("%d ejected, counted %d, limit %d", ejected, group.EjectedCount(), group.MaxEjected())
			}
		}
	})
}
