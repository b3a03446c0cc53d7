package main

import (
	"fmt"
	"math"
	"strings"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/simnet"
)

// measureRestartStorm crashes a third of the members at once, restarts them after
// 1 s and measures the time until all members agree and the traffic until then.
func measureRestartStorm(r *report, n *simnet.Network, members int) {
	resetCounters(n)
	for i, node := range n.Nodes {
		if i%3 == 0 {
			node.Crash()
		}
	}
	n.Run(clock.Second)
	for i, node := range n.Nodes {
		if i%3 == 0 {
			node.Start(seedMembers(n, i)...)
		}
	}
	took, ok := n.RunUntil(15*clock.Minute, clock.Second, func() bool { return converged(n) })
	if !ok {
		took = clock.Milli(math.Inf(1))
	}
	r.addValue("storm_settled_s", members, float64(took/clock.Second))
	reportPeakWindows(r, "storm", n, members)
	b := busiestNode(n)
	fmt.Printf("storm_busiest members=%d bytes_sent=%d bytes_received=%d of_sync=%d relay=%v\n",
		members, b.SentBytes, b.ReceivedBytes, b.SyncBytes, b.Core.IsRelay())
}

// seedMembers returns the IDs of 16 members as seed peers for member i, as a
// daemon reads them from the log. Some of them are down.
func seedMembers(n *simnet.Network, i int) []string {
	out := make([]string, 0, 16)
	for k := range 16 {
		out = append(out, n.Nodes[(i*131+k*977+1)%len(n.Nodes)].ID)
	}
	return out
}

// reportPeakWindows reports each member's highest traffic in any 10 s. The values
// include members that just started; the goal is checked without the first 90 s
// after a member's start.
func reportPeakWindows(r *report, name string, n *simnet.Network, members int) {
	all, steady := make([]float64, 0, len(n.Nodes)), make([]float64, 0, len(n.Nodes))
	for _, node := range n.Nodes {
		all = append(all, float64(node.MaxWindowBytes)/10)
		steady = append(steady, float64(node.MaxSteadyWindowBytes)/10)
	}
	r.addValue(name+"_bytes_per_s_busiest_10s_p50", members, quantile(all, 0.5))
	r.addValue(name+"_bytes_per_s_busiest_10s_p99", members, quantile(all, 0.99))
	r.addValue(name+"_bytes_per_s_busiest_10s_any", members, quantile(all, 1))
	r.checkGoal(name+"_bytes_per_s_busiest_10s", members, quantile(steady, 1), budget.MaxBytesPerSecond)
}

// busiestNode returns the member with the highest traffic in any 10 s, without
// the first 90 s after its start.
func busiestNode(n *simnet.Network) *simnet.Node {
	busiest := n.Nodes[0]
	for _, node := range n.Nodes {
		if node.MaxSteadyWindowBytes > busiest.MaxSteadyWindowBytes {
			busiest = node
		}
	}
	return busiest
}

// converged reports whether all running members have the same table and list
// exactly the running members as alive.
func converged(n *simnet.Network) bool {
	root := n.RunningNodes()[0].Core.RootHash()
	for _, node := range n.RunningNodes() {
		if node.Core.RootHash() != root || node.Core.LiveCount() != len(n.RunningNodes()) {
			return false
		}
	}
	return true
}

// measurePartition cuts one region off while members restart on both sides, and
// measures the time and traffic to converge after the partition has healed.
func measurePartition(r *report, n *simnet.Network, members int, duration clock.Milli) {
	n.Partitioned = func(a, b *simnet.Node) bool { return (a.Region == cutRegion) != (b.Region == cutRegion) }
	restartCount := 0
	for i := 0; clock.Milli(i)*clock.Minute < duration; i++ {
		// Restarts in two of three minutes are 40 per hour, close to the 42 per
		// hour of 1,000 per day.
		if node := n.Nodes[(i*97+3)%members]; i%3 < 2 {
			node.Crash()
			node.Start(regionPeer(n, node))
			restartCount++
		}
		n.Run(clock.Minute)
	}
	completeTables := 0
	for _, node := range n.RunningNodes() {
		if node.Core.LiveCount() == members {
			completeTables++
		}
	}
	r.checkGoal("cut_tables_with_members_dropped", members, float64(len(n.RunningNodes())-completeTables), 0)
	n.Partitioned = func(*simnet.Node, *simnet.Node) bool { return false }
	resetCounters(n)
	took, ok := n.RunUntil(10*clock.Minute, clock.Second, func() bool { return converged(n) })
	if !ok {
		took = clock.Milli(math.Inf(1))
	}
	r.addValue("cut_changes", members, float64(restartCount))
	r.addValue("cut_rejoined_s", members, float64(took/clock.Second))
	reportPeakWindows(r, "cut", n, members)
}

// regionPeer returns the ID of another running member in the region of node, or
// the ID of node if there is none.
func regionPeer(n *simnet.Network, node *simnet.Node) string {
	for _, other := range n.Nodes {
		if other != node && other.Up && strings.EqualFold(other.Region, node.Region) {
			return other.ID
		}
	}
	return node.ID
}
