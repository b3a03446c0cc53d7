package pick_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
)

func assignByEntry(entries []string, targets []pick.SubsetTarget, size int) map[string][]string {
	all := pick.AssignSubsets(entries, targets, size)
	subsets := map[string][]string{}
	for i, e := range entries {
		subsets[e] = all[i]
	}
	return subsets
}

func numberedIDs(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return list
}

func newSubsetTargets(n, maxConnections int) []pick.SubsetTarget {
	list := make([]pick.SubsetTarget, n)
	for i, id := range numberedIDs("t", n) {
		list[i] = pick.SubsetTarget{ID: id, MaxConnections: maxConnections}
	}
	return list
}

// Guards against uneven subsets and against more entries at a target than its
// MaxConnections, at the planned size of one large service.
func TestSubsetsAreEvenAndBounded(t *testing.T) {
	cases := map[string]struct{ entries, targets, maxConnections, size int }{
		"large service":   {3200, 200, 220, 12},
		"few connections": {3200, 200, 220, 16},
		"documented size": {512, 40, 240, 12},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			subsets := assignByEntry(numberedIDs("e", c.entries), newSubsetTargets(c.targets, c.maxConnections), c.size)
			load := map[string]int{}
			undersized := 0
			for _, ids := range subsets {
				g.Expect(len(ids)).To(BeNumerically("<=", c.size))
				if len(ids) < min(c.size, c.maxConnections*c.targets/c.entries) {
					undersized++
				}
				for _, id := range ids {
					load[id]++
				}
			}
			mean := float64(min(c.entries*c.size, c.maxConnections*c.targets)) / float64(c.targets)
			for id, n := range load {
				g.Expect(n).To(BeNumerically("<=", c.maxConnections), id)
				g.Expect(float64(n)).To(And(BeNumerically("<=", 1.1*mean+1), BeNumerically(">=", 0.8*mean)), id)
			}
			g.Expect(load).To(HaveLen(c.targets))
			g.Expect(undersized).To(BeNumerically("<=", c.entries/100))
		})
	}
}

// Guards against reassigning many pairs when one target leaves: the lost pairs must
// stay below three times the number of pairs of one target.
func TestSubsetsChangeLittle(t *testing.T) {
	g := NewWithT(t)
	entries, all := numberedIDs("e", 256), newSubsetTargets(50, 240)
	before := assignByEntry(entries, all, 10)
	after := assignByEntry(entries, slices.Delete(slices.Clone(all), 7, 8), 10)
	moved := 0
	for _, e := range entries {
		for _, id := range before[e] {
			if !slices.Contains(after[e], id) {
				moved++
			}
		}
	}
	g.Expect(float64(moved) / (256 * 10)).To(BeNumerically("<", 3.0/50))
	g.Expect(pick.Subset("e3", entries, all, 10)).To(Equal(before["e3"]))
}
