package eject_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/eject"
)

// Guards against a failing target that stays in, one that returns at full
// weight, and one that never returns.
func TestReturnIsGradual(t *testing.T) {
	g := NewWithT(t)
	var group eject.Group
	var m eject.TargetRecord
	group.SetSize(6)
	now := clock.Milli(0)
	for range 10 {
		now += 10
		group.Observe(now, &m, true)
	}
	g.Expect(group.Weight(now, &m)).To(BeZero())
	now += clock.Second
	last := group.Weight(now, &m)
	g.Expect(last).To(And(BeNumerically(">", 0), BeNumerically("<", 0.1)))
	for last < 1 {
		group.Observe(now, &m, false)
		w := group.Weight(now, &m)
		g.Expect(w).To(Equal(2 * last))
		last = w
	}
	g.Expect(group.EjectedCount()).To(BeZero())
}

// Guards against ejecting targets for a fault that the whole service has.
func TestCommonFaultEjectsNobody(t *testing.T) {
	g := NewWithT(t)
	var group eject.Group
	members := make([]eject.TargetRecord, 6)
	group.SetSize(len(members))
	for i := range 600 {
		group.Observe(clock.Milli(i), &members[i%6], i/6%2 == 0)
	}
	g.Expect(group.EjectedCount()).To(BeZero())
}

// Guards against more ejected targets than the bound, and a count that does
// not match the members.
func TestEjectionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var group eject.Group
		members := make([]eject.TargetRecord, rapid.IntRange(1, 12).Draw(t, "targets"))
		group.SetSize(len(members))
		now := clock.Milli(0)
		for range rapid.IntRange(1, 400).Draw(t, "calls") {
			now += clock.Milli(rapid.Float64Range(0, 300).Draw(t, "gap"))
			i := rapid.IntRange(0, len(members)-1).Draw(t, "target")
			group.Observe(now, &members[i], i%2 == 0 || rapid.Bool().Draw(t, "failed"))
			out := 0
			for k := range members {
				if group.Weight(now, &members[k]) == 0 {
					out++
				}
			}
			if out > group.MaxEjected() || out != group.EjectedCount() {
				t.Fatalf("%d out, counted %d, limit %d", out, group.EjectedCount(), group.MaxEjected())
			}
		}
	})
}
