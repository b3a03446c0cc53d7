package main

import (
	"fmt"
	"math"
	"strings"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/virt"
)

// storm restarts a third of the members at once, without a farewell.
func storm(r *report, n *virt.Net, members int) {
	reset(n)
	for i, d := range n.Nodes {
		if i%3 == 0 {
			d.Crash()
		}
	}
	n.Run(clock.Second)
	for i, d := range n.Nodes {
		if i%3 == 0 {
			d.Start(seeds(n, i)...)
		}
	}
	took, ok := n.Until(15*clock.Minute, clock.Second, func() bool { return agreed(n) })
	if !ok {
		took = clock.Milli(math.Inf(1))
	}
	r.value("storm_settled_s", members, float64(took/clock.Second))
	windows(r, "storm", n, members)
	b := busiest(n)
	fmt.Printf("storm_busiest members=%d bytes_sent=%d bytes_received=%d of_sync=%d relay=%v\n",
		members, b.Sent, b.Received, b.SyncBytes, b.Core.Relay())
}

// seeds returns 16 members that announced themselves in the log, some of
// which are down.
func seeds(n *virt.Net, i int) []string {
	out := make([]string, 0, 16)
	for k := range 16 {
		out = append(out, n.Nodes[(i*131+k*977+1)%len(n.Nodes)].ID)
	}
	return out
}

// windows reports the largest use of the budget in any 10 s, over members
// that run for 90 s or more and over those that just started.
func windows(r *report, name string, n *virt.Net, members int) {
	all, steady := make([]float64, 0, len(n.Nodes)), make([]float64, 0, len(n.Nodes))
	for _, d := range n.Nodes {
		all = append(all, float64(d.MaxWindow)/10)
		steady = append(steady, float64(d.MaxSteady)/10)
	}
	r.value(name+"_bytes_per_s_busiest_10s_p50", members, quantile(all, 0.5))
	r.value(name+"_bytes_per_s_busiest_10s_p99", members, quantile(all, 0.99))
	r.value(name+"_bytes_per_s_busiest_10s_any", members, quantile(all, 1))
	r.goal(name+"_bytes_per_s_busiest_10s", members, quantile(steady, 1), budget.BytesPerSecond)
}

// busiest returns the member that used the budget most in 10 s.
func busiest(n *virt.Net) *virt.Node {
	most := n.Nodes[0]
	for _, d := range n.Nodes {
		if d.MaxSteady > most.MaxSteady {
			most = d
		}
	}
	return most
}

func agreed(n *virt.Net) bool {
	root := n.Live()[0].Core.Root()
	for _, d := range n.Live() {
		if d.Core.Root() != root || d.Core.Live() != len(n.Live()) {
			return false
		}
	}
	return true
}

// cut separates one region, with changes on both sides, and returns it.
func cut(r *report, n *virt.Net, members int, span clock.Milli) {
	n.Cut = func(a, b *virt.Node) bool { return (a.Region == cutOff) != (b.Region == cutOff) }
	changed := 0
	for i := 0; clock.Milli(i)*clock.Minute < span; i++ {
		// 1,000 restarts a day are 42 in an hour.
		if d := n.Nodes[(i*97+3)%members]; i%3 < 2 {
			d.Crash()
			d.Start(peerOf(n, d))
			changed++
		}
		n.Run(clock.Minute)
	}
	kept := 0
	for _, d := range n.Live() {
		if d.Core.Live() == members {
			kept++
		}
	}
	r.goal("cut_tables_with_members_dropped", members, float64(len(n.Live())-kept), 0)
	n.Cut = func(*virt.Node, *virt.Node) bool { return false }
	reset(n)
	took, ok := n.Until(10*clock.Minute, clock.Second, func() bool { return agreed(n) })
	if !ok {
		took = clock.Milli(math.Inf(1))
	}
	r.value("cut_changes", members, float64(changed))
	r.value("cut_rejoined_s", members, float64(took/clock.Second))
	windows(r, "cut", n, members)
}

// peerOf returns a member of the same region.
func peerOf(n *virt.Net, d *virt.Node) string {
	for _, o := range n.Nodes {
		if o != d && o.Up && strings.EqualFold(o.Region, d.Region) {
			return o.ID
		}
	}
	return d.ID
}
