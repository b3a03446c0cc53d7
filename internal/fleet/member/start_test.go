package member_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/simnet"
)

func isLive(f member.Fact) bool { return !f.Status.DeadOrLeft() }

// Guards against members of a new fleet that form separate groups because each
// member gets as seeds only those that announced themselves before it. The limit
// of 10 s is that of other membership changes.
func TestNewFleetConverges(t *testing.T) {
	for seed := range uint64(100) {
		g := NewWithT(t)
		n := simnet.New(seed)
		n.AddFleet(11, 1)
		r := rand.New(rand.NewPCG(seed, 1))
		for i, d := range n.Nodes {
			var seeds []string
			for _, before := range n.Nodes[:i] {
				seeds = append(seeds, before.ID)
			}
			n.After(clock.Milli(r.Float64())*50, func() { d.Start(seeds...) })
		}
		took, ok := n.RunUntil(10*clock.Second, 50, func() bool {
			for _, d := range n.Nodes {
				for _, o := range n.Nodes {
					if !d.Up || o != d && !d.HasFact(o.ID, isLive) {
						return false
					}
				}
			}
			return true
		})
		g.Expect(ok).To(BeTrue(), "seed %d", seed)
		t.Logf("seed=%d took_ms=%.0f", seed, float64(took))
	}
}
