package pick_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
)

func division(entries []string, nodes []pick.Node, size int) map[string][]string {
	all := pick.AssignSubsets(entries, nodes, size)
	got := map[string][]string{}
	for i, e := range entries {
		got[e] = all[i]
	}
	return got
}

func names(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return list
}

func nodes(n, connections int) []pick.Node {
	list := make([]pick.Node, n)
	for i, id := range names("t", n) {
		list[i] = pick.Node{ID: id, MaxConnections: connections}
	}
	return list
}

// Guards against uneven subsets and against more entries at a target than
// its connections, at the planned size of one large service.
func TestSubsetsAreEvenAndBounded(t *testing.T) {
	cases := map[string]struct{ entries, targets, connections, size int }{
		"large service":    {3200, 200, 220, 12},
		"few connections":  {3200, 200, 220, 16},
		"size of the page": {512, 40, 240, 12},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got := division(names("e", c.entries), nodes(c.targets, c.connections), c.size)
			load := map[string]int{}
			short := 0
			for _, ids := range got {
				g.Expect(len(ids)).To(BeNumerically("<=", c.size))
				if len(ids) < min(c.size, c.connections*c.targets/c.entries) {
					short++
				}
				for _, id := range ids {
					load[id]++
				}
			}
			mean := float64(min(c.entries*c.size, c.connections*c.targets)) / float64(c.targets)
			for id, n := range load {
				g.Expect(n).To(BeNumerically("<=", c.connections), id)
				g.Expect(float64(n)).To(And(BeNumerically("<=", 1.1*mean+1), BeNumerically(">=", 0.8*mean)), id)
			}
			g.Expect(load).To(HaveLen(c.targets))
			g.Expect(short).To(BeNumerically("<=", c.entries/100))
		})
	}
}

// Guards against a division that changes at many entries when one target
// leaves: about its own share of the pairs may move.
func TestSubsetsChangeLittle(t *testing.T) {
	g := NewWithT(t)
	entries, all := names("e", 256), nodes(50, 240)
	before := division(entries, all, 10)
	after := division(entries, slices.Delete(slices.Clone(all), 7, 8), 10)
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
