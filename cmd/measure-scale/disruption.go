package main

import (
	"fmt"
	"math"
	"strings"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/simnet"
)

// storm restarts a third of the members at once, without a farewell.
func storm(r *report, n *simnet.Network, members int) {
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
	took, ok := n.RunUntil(15*clock.Minute, clock.Second, func() bool { return agreed(n) })
	if !ok {
		took = clock.Milli(math.Inf(1))
	}
	r.value("storm_settled_s", members, float64(took/clock.Second))
	windows(r, "storm", n, members)
	b := busiest(n)
	fmt.Printf("storm_busiest members=%d bytes_sent=%d bytes_received=%d of_sync=%d relay=%v\n",
		members, b.SentBytes, b.ReceivedBytes, b.SyncBytes, b.Core.IsRelay())
}

// seeds returns 16 members that announced themselves in the log, some of
// which are down.
func seeds(n *simnet.Network, i int) []string {
	out := make([]string, 0, 16)
	for k := range 16 {
		out = append(out, n.Nodes[(i*131+k*977+1)%len(n.Nodes)].ID)
	}
	return out
}

// windows reports the largest use of the budget in any 10 s, over members
// that run for 90 s or more and over those that just started.
func windows(r *report, name string, n *simnet.Network, members int) {
	all, steady := make([]float64, 0, len(n.Nodes)), make([]float64, 0, len(n.Nodes))
	for _, d := range n.Nodes {
		all = append(all, float64(d.MaxWindowBytes)/10)
		steady = append(steady, float64(d.MaxSteadyWindowBytes)/10)
	}
	r.value(name+"_bytes_per_s_busiest_10s_p50", members, quantile(all, 0.5))
	r.value(name+"_bytes_per_s_busiest_10s_p99", members, quantile(all, 0.99))
	r.value(name+"_bytes_per_s_busiest_10s_any", members, quantile(all, 1))
	r.goal(name+"_bytes_per_s_busiest_10s", members, quantile(steady, 1), budget.MaxBytesPerSecond)
}

// busiest returns the member that used the budget most in 10 s.
func busiest(n *simnet.Network) *simnet.Node {
	most := n.Nodes[0]
	for _, d := range n.Nodes {
		if d.MaxSteadyWindowBytes > most.MaxSteadyWindowBytes {
			most = d
		}
	}
	return most
}

func agreed(n *simnet.Network) bool {
	root := n.RunningNodes()[0].Core.RootHash()
	for _, d := range n.RunningNodes() {
		if d.Core.RootHash() != root || d.Core.LiveCount() != len(n.RunningNodes()) {
			return false
		}
	}
	return true
}

// cut separates one region, with changes on both sides, and returns it.
func cut(r *report, n *simnet.Network, members int, span clock.Milli) {
	n.Partitioned = func(a, b *simnet.Node) bool { return (a.Region == cutOff) != (b.Region == cutOff) }
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
	for _, d := range n.RunningNodes() {
		if d.Core.LiveCount() == members {
			kept++
		}
	}
	r.goal("cut_tables_with_members_dropped", members, float64(len(n.RunningNodes())-kept), 0)
	n.Partitioned = func(*simnet.Node, *simnet.Node) bool { return false }
	reset(n)
	took, ok := n.RunUntil(10*clock.Minute, clock.Second, func() bool { return agreed(n) })
	if !ok {
		took = clock.Milli(math.Inf(1))
	}
	r.value("cut_changes", members, float64(changed))
	r.value("cut_rejoined_s", members, float64(took/clock.Second))
	windows(r, "cut", n, members)
}

// peerOf returns a member of the same region.
func peerOf(n *simnet.Network, d *simnet.Node) string {
	for _, o := range n.Nodes {
		if o != d && o.Up && strings.EqualFold(o.Region, d.Region) {
			return o.ID
		}
	}
	return d.ID
}
