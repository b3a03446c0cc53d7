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
	regions  = 6
	trials   = 3
	leaveIn  = 3 * clock.Second
	deathIn  = 10 * clock.Second
	newsIn   = 7 * clock.Second
	cutOff   = "region5"
	perDay   = 3400.0 // configuration changes
	restarts = 1000.0 // members restarted or replaced a day
	dayLong  = 86400.0
)

// run is one virtual fleet.
type run struct {
	r       *report
	n       *simnet.Network
	members int
	cutFor  clock.Milli
}

// newRun builds a fleet whose members have full tables.
func newRun(r *report, members int, cutMinutes float64) *run {
	before := heap()
	n := simnet.New(uint64(members))
	n.AddFleet(members, regions)
	n.StartConverged()
	n.Run(10 * clock.Second)
	r.value("core_heap_kb", members, float64(heap()-before)/1024/float64(members))
	v := &run{r: r, n: n, members: members, cutFor: clock.Milli(cutMinutes) * clock.Minute}
	if members > 1000 {
		v.cutFor /= 6
	}
	return v
}

func (v *run) run() {
	r, n, members, start := v.r, v.n, v.members, time.Now()
	rate := quiet(r, n, members)
	// One goroutine runs the fleet, so its time is the CPU of all cores and
	// of the simulated network.
	r.value("core_cpu_percent", members, time.Since(start).Seconds()/60/float64(members)*100)
	perNews := news(r, n, members)
	perRestart := changes(r, n, members)
	// An ordinary day: the quiet rate, configuration news and restarts.
	day := rate + perNews*perDay/dayLong + perRestart*restarts/dayLong
	r.value("ordinary_day_bytes_per_s", members, day)
	r.goal("ordinary_day_bytes_per_s", members, day, budget.MaxBytesPerSecond)
	loss(r, n, members)
	storm(r, n, members)
	cut(r, n, members, v.cutFor)
	fmt.Printf("virtual members=%d wall_s=%.0f cut_s=%.0f\n", members, time.Since(start).Seconds(), v.cutFor/clock.Second)
}

func series() []float64 { return make([]float64, 0, trials) }

func reset(n *simnet.Network) {
	for _, d := range n.Nodes {
		d.ResetCounters()
	}
}

// perSecond returns the mean and the largest bytes of a member over a time.
func perSecond(n *simnet.Network, d clock.Milli) (mean, most float64) {
	for _, o := range n.Nodes {
		b := float64(o.SentBytes+o.ReceivedBytes) / float64(d/clock.Second)
		mean += b / float64(len(n.Nodes))
		most = max(most, b)
	}
	return mean, most
}

func quiet(r *report, n *simnet.Network, members int) float64 {
	reset(n)
	n.Run(clock.Minute)
	mean, most := perSecond(n, clock.Minute)
	r.value("quiet_bytes_per_s", members, mean)
	r.value("quiet_bytes_per_s_busiest", members, most)
	r.goal("quiet_bytes_per_s_busiest", members, most, budget.MaxBytesPerSecond)
	return mean
}

func knownBy(n *simnet.Network, d *simnet.Node, limit clock.Milli, ok func(member.Fact) bool) float64 {
	took, known := n.RunUntil(limit, 50, func() bool {
		return n.AllSatisfy(d, func(o *simnet.Node) bool { return o.HasFact(d.ID, ok) })
	})
	if !known {
		return math.Inf(1)
	}
	return float64(took)
}

// news measures one small item from its publication until all know it.
func news(r *report, n *simnet.Network, members int) float64 {
	packets, bytes, took := series(), series(), series()
	for i := range trials {
		reset(n)
		n.Nodes[(i*37+11)%members].Handle(member.Publish{Update: member.TopicUpdate{Topic: "revision", Version: uint64(i + 1), Body: []byte("12345678")}})
		t, ok := n.RunUntil(20*clock.Second, 50, func() bool {
			return n.AllSatisfy(nil, func(d *simnet.Node) bool { return d.Core.LatestUpdate("revision").Version == uint64(i+1) })
		})
		if !ok {
			t = clock.Milli(math.Inf(1))
		}
		n.Run(10*clock.Second - min(t, 10*clock.Second))
		mean, sent := base(n)
		quietMean, quietSent := quietBase(n)
		took = append(took, float64(t))
		packets = append(packets, sent-quietSent)
		bytes = append(bytes, max(0, mean-quietMean))
	}
	r.value("news_packets_per_member", members, quantile(packets, 0.5))
	r.value("news_bytes_per_member", members, quantile(bytes, 0.5))
	r.goal("news_known_ms_worst", members, quantile(took, 1), float64(newsIn))
	return quantile(bytes, 0.5)
}

// base returns bytes and packets per member since the last reset.
func base(n *simnet.Network) (bytes, packets float64) {
	for _, d := range n.Nodes {
		bytes += float64(d.SentBytes+d.ReceivedBytes) / float64(len(n.Nodes))
		packets += float64(d.Packets) / float64(len(n.Nodes))
	}
	return bytes, packets
}

// quietBase measures what a member uses in 10 s without changes.
func quietBase(n *simnet.Network) (bytes, packets float64) {
	reset(n)
	n.Run(10 * clock.Second)
	return base(n)
}

// changes measures a leave, a restart and a death at a time. The bytes of a
// restart include the quiet traffic of its seconds.
func changes(r *report, n *simnet.Network, members int) float64 {
	leave, death, join, bytes := series(), series(), series(), series()
	for i := range trials {
		d := n.Nodes[(i*53+7)%members]
		reset(n)
		d.StartLeaving()
		leave = append(leave, knownBy(n, d, 20*clock.Second, func(f member.Fact) bool { return f.Leaving }))
		d.Handle(member.FinishLeaving{})
		n.Run(2 * clock.Second)
		d.Crash()
		n.Run(2 * clock.Second)
		d.Start(n.Nodes[1].ID, n.Nodes[2].ID, n.Nodes[3].ID)
		inc := d.Core.Self().Incarnation
		join = append(join, knownBy(n, d, 60*clock.Second, func(f member.Fact) bool { return f.Incarnation == inc }))
		n.Run(5 * clock.Second)
		b, _ := base(n)
		bytes = append(bytes, b)
		d.Crash()
		death = append(death, knownBy(n, d, 60*clock.Second, func(f member.Fact) bool { return f.Status.DeadOrLeft() }))
		d.Start(n.Nodes[1].ID, n.Nodes[2].ID, n.Nodes[3].ID)
		n.Run(40 * clock.Second)
	}
	r.goal("leave_known_ms_worst", members, quantile(leave, 1), float64(leaveIn))
	r.goal("death_known_ms_worst", members, quantile(death, 1), float64(deathIn))
	r.value("join_known_ms_worst", members, quantile(join, 1))
	return quantile(bytes, 0.5)
}

// loss repeats the changes with 10% of packets lost.
func loss(r *report, n *simnet.Network, members int) {
	n.LossRate = 0.1
	reset(n)
	n.Run(clock.Minute)
	_, most := perSecond(n, clock.Minute)
	r.goal("loss10_bytes_per_s_busiest", members, most, budget.MaxBytesPerSecond)
	wrong := 0
	for _, d := range n.RunningNodes() {
		if d.Core.LiveCount() != members {
			wrong++
		}
	}
	r.goal("loss10_tables_with_live_member_missing", members, float64(wrong), 0)
	leave, death := series(), series()
	for i := range trials {
		d := n.Nodes[(i*71+5)%members]
		d.StartLeaving()
		leave = append(leave, knownBy(n, d, 20*clock.Second, func(f member.Fact) bool { return f.Leaving }))
		d.Crash()
		death = append(death, knownBy(n, d, 60*clock.Second, func(f member.Fact) bool { return f.Status.DeadOrLeft() }))
		d.Start(n.Nodes[1].ID, n.Nodes[2].ID, n.Nodes[3].ID)
		n.Run(30 * clock.Second)
	}
	n.LossRate = 0
	r.goal("loss10_leave_known_ms_worst", members, quantile(leave, 1), float64(leaveIn))
	r.goal("loss10_death_known_ms_worst", members, quantile(death, 1), float64(deathIn))
	n.Run(clock.Minute)
}
