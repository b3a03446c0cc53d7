package canary_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/canary"
)

// Guards against a trial so thin that no upstream is loaded as it will be, and
// against one that tries only some of the upstreams.
func TestSubset(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	tests := map[string]struct {
		step int
		want int
	}{"trial": {0, 1}, "a quarter": {1, 2}, "a half": {2, 4}, "all": {3, 8}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := canary.New(order.Move{Version: "v2", MaxDuration: within, ReceivedAt: ordered})
			m.MergeStep(tt.step, ordered)
			used := make(map[string]bool)
			for age := clock.Milli(0); age < 10*within; age += clock.Second {
				got := m.Subset(ordered+age, all)
				g.Expect(got).To(HaveLen(tt.want))
				g.Expect(m.Subset(ordered+age, all)).To(Equal(got))
				for _, id := range got {
					used[id] = true
				}
			}
			g.Expect(used).To(HaveLen(len(all)))
		})
	}
}
