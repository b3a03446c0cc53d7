package main

import (
	"fmt"
	"math"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/simnet"
)

const (
	regionCount = 6
	trialCount  = 3
	// The goals for the time until all members know of a change.
	maxLeaveDelay  = 3 * clock.Second
	maxDeathDelay  = 10 * clock.Second
	maxUpdateDelay = 7 * clock.Second
	// cutRegion is the region that measurePartition isolates.
	cutRegion           = "region5"
	configChangesPerDay = 3400.0
	restartsPerDay      = 1000.0 // members restarted or replaced
	secondsPerDay       = 86400.0
)

// fleetRun is the measurement of one simulated fleet.
type fleetRun struct {
	report            *report
	network           *simnet.Network
	members           int
	partitionDuration clock.Milli
}

// newFleetRun builds a fleet whose members start with complete member tables.
func newFleetRun(r *report, members int, partitionMinutes float64) *fleetRun {
	before := heapBytes()
	n := simnet.New(uint64(members))
	n.AddFleet(members, regionCount)
	n.StartConverged()
	n.Run(10 * clock.Second)
	r.addValue("core_heap_kb", members, float64(heapBytes()-before)/1024/float64(members))
	v := &fleetRun{report: r, network: n, members: members, partitionDuration: clock.Milli(partitionMinutes) * clock.Minute}
	if members > 1000 {
		v.partitionDuration /= 6
	}
	return v
}

func (v *fleetRun) run() {
	r, n, members, start := v.report, v.network, v.members, time.Now()
	quietRate := measureQuiet(r, n, members)
	// One goroutine simulates the whole fleet for a minute, so the elapsed time
	// is the CPU time of all members' cores and of the simulated network.
	r.addValue("core_cpu_percent", members, time.Since(start).Seconds()/60/float64(members)*100)
	bytesPerUpdate := measureUpdates(r, n, members)
	bytesPerRestart := measureMemberChanges(r, n, members)
	// An ordinary day has the quiet rate, configuration changes and restarts.
	dayRate := quietRate + bytesPerUpdate*configChangesPerDay/secondsPerDay + bytesPerRestart*restartsPerDay/secondsPerDay
	r.addValue("ordinary_day_bytes_per_s", members, dayRate)
	r.checkGoal("ordinary_day_bytes_per_s", members, dayRate, budget.MaxBytesPerSecond)
	measurePacketLoss(r, n, members)
	measureRestartStorm(r, n, members)
	measurePartition(r, n, members, v.partitionDuration)
	fmt.Printf("virtual members=%d wall_s=%.0f cut_s=%.0f\n", members, time.Since(start).Seconds(), v.partitionDuration/clock.Second)
}

func newSeries() []float64 { return make([]float64, 0, trialCount) }

func resetCounters(n *simnet.Network) {
	for _, node := range n.Nodes {
		node.ResetCounters()
	}
}

// bytesPerSecond returns the mean and the highest traffic of a member over
// period.
func bytesPerSecond(n *simnet.Network, period clock.Milli) (mean, highest float64) {
	for _, node := range n.Nodes {
		b := float64(node.SentBytes+node.ReceivedBytes) / float64(period/clock.Second)
		mean += b / float64(len(n.Nodes))
		highest = max(highest, b)
	}
	return mean, highest
}

// measureQuiet measures the traffic in a minute without changes.
func measureQuiet(r *report, n *simnet.Network, members int) float64 {
	resetCounters(n)
	n.Run(clock.Minute)
	mean, highest := bytesPerSecond(n, clock.Minute)
	r.addValue("quiet_bytes_per_s", members, mean)
	r.addValue("quiet_bytes_per_s_busiest", members, highest)
	r.checkGoal("quiet_bytes_per_s_busiest", members, highest, budget.MaxBytesPerSecond)
	return mean
}

// timeUntilKnown runs the network until every other member has a fact about node
// for which matches returns true. It returns the time in ms, or +Inf if limit
// passed first.
func timeUntilKnown(n *simnet.Network, node *simnet.Node, limit clock.Milli, matches func(member.Fact) bool) float64 {
	took, known := n.RunUntil(limit, 50, func() bool {
		return n.AllSatisfy(node, func(other *simnet.Node) bool { return other.HasFact(node.ID, matches) })
	})
	if !known {
		return math.Inf(1)
	}
	return float64(took)
}

// measureUpdates measures the time from the publication of a small topic update
// until all members have it, and returns the bytes per member that it costs.
func measureUpdates(r *report, n *simnet.Network, members int) float64 {
	packets, bytes, took := newSeries(), newSeries(), newSeries()
	for i := range trialCount {
		resetCounters(n)
		n.Nodes[(i*37+11)%members].Handle(member.Publish{Update: member.TopicUpdate{Topic: "revision", Version: uint64(i + 1), Body: []byte("12345678")}})
		t, ok := n.RunUntil(20*clock.Second, 50, func() bool {
			return n.AllSatisfy(nil, func(node *simnet.Node) bool { return node.Core.LatestUpdate("revision").Version == uint64(i+1) })
		})
		if !ok {
			t = clock.Milli(math.Inf(1))
		}
		n.Run(10*clock.Second - min(t, 10*clock.Second))
		mean, sent := usagePerMember(n)
		quietMean, quietSent := quietUsagePerMember(n)
		took = append(took, float64(t))
		packets = append(packets, sent-quietSent)
		bytes = append(bytes, max(0, mean-quietMean))
	}
	r.addValue("news_packets_per_member", members, quantile(packets, 0.5))
	r.addValue("news_bytes_per_member", members, quantile(bytes, 0.5))
	r.checkGoal("news_known_ms_worst", members, quantile(took, 1), float64(maxUpdateDelay))
	return quantile(bytes, 0.5)
}

// usagePerMember returns the mean bytes and packets per member since the counters
// were reset.
func usagePerMember(n *simnet.Network) (bytes, packets float64) {
	for _, node := range n.Nodes {
		bytes += float64(node.SentBytes+node.ReceivedBytes) / float64(len(n.Nodes))
		packets += float64(node.Packets) / float64(len(n.Nodes))
	}
	return bytes, packets
}

// quietUsagePerMember returns the mean bytes and packets per member in 10 s
// without changes.
func quietUsagePerMember(n *simnet.Network) (bytes, packets float64) {
	resetCounters(n)
	n.Run(10 * clock.Second)
	return usagePerMember(n)
}

// measureMemberChanges measures how long a leave, a restart and a death take to
// be known, one at a time. It returns the bytes per member of a restart, which
// include the quiet traffic of that time.
func measureMemberChanges(r *report, n *simnet.Network, members int) float64 {
	leave, death, join, bytes := newSeries(), newSeries(), newSeries(), newSeries()
	for i := range trialCount {
		node := n.Nodes[(i*53+7)%members]
		resetCounters(n)
		node.StartLeaving()
		leave = append(leave, timeUntilKnown(n, node, 20*clock.Second, func(f member.Fact) bool { return f.Leaving }))
		node.Handle(member.FinishLeaving{})
		n.Run(2 * clock.Second)
		node.Crash()
		n.Run(2 * clock.Second)
		node.Start(n.Nodes[1].ID, n.Nodes[2].ID, n.Nodes[3].ID)
		inc := node.Core.Self().Incarnation
		join = append(join, timeUntilKnown(n, node, 60*clock.Second, func(f member.Fact) bool { return f.Incarnation == inc }))
		n.Run(5 * clock.Second)
		b, _ := usagePerMember(n)
		bytes = append(bytes, b)
		node.Crash()
		death = append(death, timeUntilKnown(n, node, 60*clock.Second, func(f member.Fact) bool { return f.Status.DeadOrLeft() }))
		node.Start(n.Nodes[1].ID, n.Nodes[2].ID, n.Nodes[3].ID)
		n.Run(40 * clock.Second)
	}
	r.checkGoal("leave_known_ms_worst", members, quantile(leave, 1), float64(maxLeaveDelay))
	r.checkGoal("death_known_ms_worst", members, quantile(death, 1), float64(maxDeathDelay))
	r.addValue("join_known_ms_worst", members, quantile(join, 1))
	return quantile(bytes, 0.5)
}

// measurePacketLoss measures, with 10% of the packets lost, the traffic, the
// tables that lack a live member, and how long a leave and a death take to be
// known.
func measurePacketLoss(r *report, n *simnet.Network, members int) {
	n.LossRate = 0.1
	resetCounters(n)
	n.Run(clock.Minute)
	_, highest := bytesPerSecond(n, clock.Minute)
	r.checkGoal("loss10_bytes_per_s_busiest", members, highest, budget.MaxBytesPerSecond)
	incompleteTables := 0
	for _, node := range n.RunningNodes() {
		if node.Core.LiveCount() != members {
			incompleteTables++
		}
	}
	r.checkGoal("loss10_tables_with_live_member_missing", members, float64(incompleteTables), 0)
	leave, death := newSeries(), newSeries()
	for i := range trialCount {
		node := n.Nodes[(i*71+5)%members]
		node.StartLeaving()
		leave = append(leave, timeUntilKnown(n, node, 20*clock.Second, func(f member.Fact) bool { return f.Leaving }))
		node.Crash()
		death = append(death, timeUntilKnown(n, node, 60*clock.Second, func(f member.Fact) bool { return f.Status.DeadOrLeft() }))
		node.Start(n.Nodes[1].ID, n.Nodes[2].ID, n.Nodes[3].ID)
		n.Run(30 * clock.Second)
	}
	n.LossRate = 0
	r.checkGoal("loss10_leave_known_ms_worst", members, quantile(leave, 1), float64(maxLeaveDelay))
	r.checkGoal("loss10_death_known_ms_worst", members, quantile(death, 1), float64(maxDeathDelay))
	n.Run(clock.Minute)
}
