package canary_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/canary"
)

// Guards against a subset so large that no upstream gets its later load, and against
// upstreams that are never selected.
func TestSubset(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	tests := map[string]struct {
		step int
		want int
	}{"trial": {0, 1}, "a quarter": {1, 2}, "still a quarter": {2, 2}, "all": {3, 8}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := canary.New(order.Move{Version: "v2", MaxDuration: maxDuration, ReceivedAt: orderedAt})
			m.MergeStep(tt.step, orderedAt)
			used := make(map[string]bool)
			for age := clock.Milli(0); age < 10*maxDuration; age += clock.Second {
				got := m.Subset(orderedAt+age, all)
				g.Expect(got).To(HaveLen(tt.want))
				g.Expect(m.Subset(orderedAt+age, all)).To(Equal(got))
				for _, id := range got {
					used[id] = true
				}
			}
			g.Expect(used).To(HaveLen(len(all)))
		})
	}
}
