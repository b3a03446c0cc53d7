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
	realSettle  = 110 * time.Second
	realMeasure = 20 * time.Second
)

type daemon struct {
	shell *gossip.Membership
	meter *budget.Meter
	done  chan struct{}
}

func (d *daemon) run(ctx context.Context) {
	defer close(d.done)
	_ = d.shell.Serve(ctx)
}

// measureReal runs real shells over loopback UDP in this process.
func measureReal(r *report) {
	for _, members := range []int{8, 32, 128} {
		if err := measureShells(r, members); err != nil {
			fmt.Printf("real members=%d error=%q\n", members, err)
			r.failed++
		}
	}
}

func measureShells(r *report, members int) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := heap()
	l := gossip.NewLocal()
	ds := make([]*daemon, members)
	for i := range ds {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		ds[i] = newDaemon(l, conn)
	}
	l.SetPeers(ds[0].shell.Self().ID, ds[1].shell.Self().ID, ds[2].shell.Self().ID)
	for _, d := range ds {
		go d.run(ctx)
	}
	r.value("real_cold_start_s", members, settle(ds).Seconds())
	memory := float64(heap()-before) / float64(members)
	cpu := processCPU()
	start := totals(ds)
	time.Sleep(realMeasure)
	end := totals(ds)
	used := (processCPU() - cpu).Seconds() / realMeasure.Seconds() / float64(members) * 100
	bytes := (end - start) / realMeasure.Seconds() / float64(members)
	r.value("real_bytes_per_s", members, bytes)
	r.value("real_cpu_percent", members, used)
	r.value("real_heap_kb", members, memory/1024)
	r.goal("real_bytes_per_s", members, bytes, budget.MaxBytesPerSecond)
	r.goal("real_cpu_percent", members, used, budget.MaxCPUPercent)
	cancel()
	for _, d := range ds {
		<-d.done
	}
	return nil
}

// settle waits until all daemons know each other.
func settle(ds []*daemon) time.Duration {
	start := time.Now()
	for time.Since(start) < realSettle {
		if !slices.ContainsFunc(ds, func(d *daemon) bool { return d.shell.Size() != len(ds) }) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	took := time.Since(start)
	// What was still queued is sent before the quiet time is measured.
	time.Sleep(10 * time.Second)
	return took
}

func newDaemon(l *gossip.Local, conn net.PacketConn) *daemon {
	clk := clock.NewReal()
	limit := budget.NewLimiter(clk.Now())
	d := &daemon{meter: budget.NewMeter(clk, limit), done: make(chan struct{})}
	d.shell = gossip.New(gossip.Settings{
		Fleet: "scale", Clock: clk, Conn: conn, Syncer: l, Seeds: l, Limiter: limit,
		Meter: d.meter, Log: zerolog.Nop(),
		Self: member.Fact{
			ID: conn.LocalAddr().String(), Incarnation: uint64(clk.Now()), Service: "service-001",
			Version: "v1.20.3", Centre: "dc00", Region: "region0", Slots: 6, Connections: 240,
		},
	})
	l.Add(conn.LocalAddr().String(), d.shell)
	return d
}

func totals(ds []*daemon) float64 {
	sum := 0.0
	for _, d := range ds {
		t := d.meter.TotalUsage()
		sum += float64(t.Sent + t.Received)
	}
	return sum
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
