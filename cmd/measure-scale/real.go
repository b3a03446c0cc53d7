package main

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/gossip"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

const (
	realConvergeTimeout = 110 * time.Second
	realMeasureDuration = 20 * time.Second
)

// daemon runs the membership of a daemon, without its entry and guard.
type daemon struct {
	membership *gossip.Membership
	meter      *budget.Meter
	done       chan struct{}
}

func (d *daemon) run(ctx context.Context) {
	defer close(d.done)
	_ = d.membership.Serve(ctx)
}

// measureReal runs fleets in this process that communicate over loopback UDP.
func measureReal(r *report) {
	for _, members := range []int{8, 32, 128} {
		if err := measureRealFleet(r, members); err != nil {
			fmt.Printf("real members=%d error=%q\n", members, err)
			r.failed++
		}
	}
}

func measureRealFleet(r *report, members int) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := heapBytes()
	l := gossip.NewLocal()
	daemons := make([]*daemon, members)
	for i := range daemons {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		daemons[i] = newDaemon(l, conn)
	}
	l.SetPeers(daemons[0].membership.Self().ID, daemons[1].membership.Self().ID, daemons[2].membership.Self().ID)
	for _, d := range daemons {
		go d.run(ctx)
	}
	r.addValue("real_cold_start_s", members, waitConverged(daemons).Seconds())
	memory := float64(heapBytes()-before) / float64(members)
	cpu := processCPU()
	start := totalBytes(daemons)
	time.Sleep(realMeasureDuration)
	end := totalBytes(daemons)
	cpuPercent := (processCPU() - cpu).Seconds() / realMeasureDuration.Seconds() / float64(members) * 100
	bytes := (end - start) / realMeasureDuration.Seconds() / float64(members)
	r.addValue("real_bytes_per_s", members, bytes)
	r.addValue("real_cpu_percent", members, cpuPercent)
	r.addValue("real_heap_kb", members, memory/1024)
	r.checkGoal("real_bytes_per_s", members, bytes, budget.MaxBytesPerSecond)
	r.checkGoal("real_cpu_percent", members, cpuPercent, budget.MaxCPUPercent)
	cancel()
	for _, d := range daemons {
		<-d.done
	}
	return nil
}

// waitConverged waits until every daemon lists all members, or until
// realConvergeTimeout, and returns the time it took.
func waitConverged(daemons []*daemon) time.Duration {
	start := time.Now()
	for time.Since(start) < realConvergeTimeout {
		if !slices.ContainsFunc(daemons, func(d *daemon) bool { return d.membership.Size() != len(daemons) }) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	took := time.Since(start)
	// Wait until queued messages are sent, so that they do not count as idle
	// traffic.
	time.Sleep(10 * time.Second)
	return took
}

func newDaemon(l *gossip.Local, conn net.PacketConn) *daemon {
	clk := clock.NewReal()
	limit := budget.NewLimiter(clk.Now())
	d := &daemon{meter: budget.NewMeter(clk, limit), done: make(chan struct{})}
	d.membership = gossip.New(gossip.Settings{
		Fleet: "scale", Clock: clk, Conn: conn, Syncer: l, Seeds: l, Limiter: limit,
		Meter: d.meter, Log: zerolog.Nop(),
		Self: member.Fact{
			ID: conn.LocalAddr().String(), Incarnation: uint64(clk.Now()), Service: "service-001",
			Version: "v1.20.3", Centre: "dc00", Region: "region0", Slots: 6, Connections: 240,
		},
	})
	l.Add(conn.LocalAddr().String(), d.membership)
	return d
}

// totalBytes returns the number of bytes that all daemons sent and received.
func totalBytes(daemons []*daemon) float64 {
	sum := 0.0
	for _, d := range daemons {
		t := d.meter.TotalUsage()
		sum += float64(t.Sent + t.Received)
	}
	return sum
}

// heapBytes returns the heap and stack memory in use after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// processCPU returns the user and system CPU time of this process, or 0 if it is
// unavailable.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
