package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/simnet"
)

// newConvergedNetwork returns a network whose members have full tables and have
// run for 5 s.
func newConvergedNetwork(seed uint64, members, regions int) *simnet.Network {
	n := simnet.New(seed)
	n.AddFleet(members, regions)
	n.StartConverged()
	n.Run(5 * clock.Second)
	return n
}

func isDeadOrLeft(f member.Fact) bool { return f.Status.DeadOrLeft() }

// Guards against deaths and departures that take too long to reach all members.
func TestPropagationTime(t *testing.T) {
	cases := map[string]struct {
		loss    float64
		limit   clock.Milli
		change  func(n *simnet.Network, d *simnet.Node)
		matches func(f member.Fact) bool
	}{
		"death":             {0, 10 * clock.Second, func(_ *simnet.Network, d *simnet.Node) { d.Crash() }, isDeadOrLeft},
		"death with loss":   {0.1, 10 * clock.Second, func(_ *simnet.Network, d *simnet.Node) { d.Crash() }, isDeadOrLeft},
		"leaving":           {0, 3 * clock.Second, func(_ *simnet.Network, d *simnet.Node) { d.StartLeaving() }, func(f member.Fact) bool { return f.Leaving }},
		"leaving with loss": {0.1, 3 * clock.Second, func(_ *simnet.Network, d *simnet.Node) { d.StartLeaving() }, func(f member.Fact) bool { return f.Leaving }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				g := NewWithT(t)
				n := newConvergedNetwork(seed, 180, 3)
				n.LossRate = tc.loss
				d := n.Nodes[seed*7]
				tc.change(n, d)
				took, ok := n.RunUntil(tc.limit, 50, func() bool {
					return n.AllSatisfy(d, func(o *simnet.Node) bool { return o.HasFact(d.ID, tc.matches) })
				})
				g.Expect(ok).To(BeTrue(), "seed %d: not propagated after %v ms", seed, took)
			}
		})
	}
}

// Guards against a live member that is removed, or a dead one that is kept,
// under loss, reordering, duplication, pauses, restarts and partitions.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := NewWithT(t)
			n := newConvergedNetwork(seed, 90, 2)
			r := rand.New(rand.NewPCG(seed, 99))
			n.LossRate, n.DuplicateRate, n.DelayRate = 0.1*r.Float64(), 0.1, 0.1
			for range 20 {
				d := n.Nodes[r.IntN(len(n.Nodes))]
				switch r.IntN(4) {
				case 0:
					d.Crash()
				case 1:
					d.Start(n.Nodes[0].ID, n.Nodes[1].ID, n.Nodes[2].ID)
				case 2:
					if d.Up {
						d.Pause(clock.Milli(r.Float64()) * 20 * clock.Second)
					}
				default:
					region := fmt.Sprintf("region%d", r.IntN(2))
					n.Partitioned = func(a, b *simnet.Node) bool { return (a.Region == region) != (b.Region == region) }
					n.Run(clock.Milli(r.Float64()) * 20 * clock.Second)
					n.Partitioned = func(*simnet.Node, *simnet.Node) bool { return false }
				}
				n.Run(clock.Milli(r.Float64()) * 5 * clock.Second)
			}
			took, ok := n.RunUntil(3*clock.Minute, clock.Second, func() bool { return tableMismatch(n) == "" })
			g.Expect(ok).To(BeTrue(), "after %v ms: %s", took, tableMismatch(n))
		})
	}
}

// tableMismatch describes the first table entry that differs from the actual
// state of a node, or returns "".
func tableMismatch(n *simnet.Network) string {
	for _, d := range n.RunningNodes() {
		for _, o := range n.Nodes {
			f, found := d.Core.Lookup(o.ID)
			listed := found && !f.Status.DeadOrLeft()
			if listed != o.Up || o.Up && f.Incarnation != o.Core.Self().Incarnation {
				if o.Core == nil {
					return "not started"
				}
				return fmt.Sprintf("table of %s has %s as %v; up: %v, own fact: %v", d.ID, o.ID, f, o.Up, o.Core.Self())
			}
		}
	}
	return ""
}

// Guards against a pause that removes the paused member for long, or makes that
// member remove others.
func TestPause(t *testing.T) {
	for name, pause := range map[string]clock.Milli{"short": 800, "suspected": 3 * clock.Second, "long": 30 * clock.Second} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := newConvergedNetwork(5, 60, 1)
			d := n.Nodes[10]
			d.Pause(pause)
			n.Run(pause)
			took, ok := n.RunUntil(10*clock.Second, 100, func() bool { return tableMismatch(n) == "" })
			g.Expect(ok).To(BeTrue(), "%v: %s", took, tableMismatch(n))
			n.Run(20 * clock.Second)
			g.Expect(tableMismatch(n)).To(BeEmpty())
		})
	}
}

// Guards against a region that removes its peers while it is partitioned, and
// against tables that still differ afterwards.
func TestRegionPartition(t *testing.T) {
	g := NewWithT(t)
	n := newConvergedNetwork(3, 108, 3)
	n.Partitioned = func(a, b *simnet.Node) bool { return (a.Region == "region1") != (b.Region == "region1") }
	dead, left := n.Nodes[3], n.Nodes[4]
	dead.Crash()
	n.Run(clock.Minute)
	left.Handle(member.FinishLeaving{})
	left.Crash()
	n.Run(clock.Hour / 4)
	for _, d := range n.RunningNodes() {
		g.Expect(d.Core.LiveCount()).To(BeNumerically(">=", 106), d.ID)
	}
	n.Partitioned = func(*simnet.Node, *simnet.Node) bool { return false }
	took, ok := n.RunUntil(2*clock.Minute, clock.Second, func() bool { return tableMismatch(n) == "" })
	g.Expect(ok).To(BeTrue(), "%v: %s", took, tableMismatch(n))
}

// Guards against halves of one data centre that declared each other dead during
// a partition and do not merge after it.
func TestSplitCentreHeals(t *testing.T) {
	g := NewWithT(t)
	n := simnet.New(8)
	for range 20 {
		n.Add("dc", "region")
	}
	n.StartConverged()
	half := map[*simnet.Node]bool{}
	for _, d := range n.Nodes[:10] {
		half[d] = true
	}
	n.Partitioned = func(a, b *simnet.Node) bool { return half[a] != half[b] }
	n.Run(clock.Minute)
	g.Expect(n.Nodes[0].Core.LiveCount()).To(Equal(10))
	n.Partitioned = func(*simnet.Node, *simnet.Node) bool { return false }
	_, ok := n.RunUntil(2*clock.Minute, clock.Second, func() bool { return tableMismatch(n) == "" })
	g.Expect(ok).To(BeTrue(), tableMismatch(n))
}

// Guards against a fleet whose members all start at the same time and do not
// converge.
func TestJoinStorm(t *testing.T) {
	g := NewWithT(t)
	n := simnet.New(4)
	n.AddFleet(120, 2)
	for _, d := range n.Nodes {
		d.Start(n.Nodes[0].ID, n.Nodes[1].ID, n.Nodes[2].ID)
	}
	_, ok := n.RunUntil(2*clock.Minute, clock.Second, func() bool { return tableMismatch(n) == "" })
	g.Expect(ok).To(BeTrue(), tableMismatch(n))
}

// Guards against a topic update that does not reach every member.
func TestTopicUpdatePropagates(t *testing.T) {
	g := NewWithT(t)
	n := newConvergedNetwork(6, 180, 3)
	n.LossRate = 0.1
	n.Nodes[0].Handle(member.Publish{Update: member.TopicUpdate{Topic: "revision", Version: 7}})
	_, ok := n.RunUntil(7*clock.Second, 50, func() bool {
		return n.AllSatisfy(nil, func(d *simnet.Node) bool { return d.Core.LatestUpdate("revision").Version == 7 })
	})
	g.Expect(ok).To(BeTrue())
}
