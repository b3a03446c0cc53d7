// Command measure-config measures how long an accepted revision takes to be
// in force at every daemon, with in-process daemons and the stand-in log.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"sort"
	"time"

	"github.com/jessevdk/go-flags"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/follow"
	"gitlab.com/cranberrytack/cranberrytack/internal/fakes/logsrv"
)

type options struct {
	Daemons int           `long:"daemons" default:"100" description:"daemons in this process"`
	Changes int           `long:"changes" default:"10" description:"changes in each case"`
	Delay   time.Duration `long:"delay" default:"1500us" description:"time of a message between daemons, one way and back"`
	SlowMS  float64       `long:"slow-ms" default:"1000" description:"delay of the slow log"`
	Seed    uint64        `long:"seed" default:"1" description:"seed of the random choices"`
}

const (
	goal    = 7 * time.Second
	aim     = 2 * time.Second
	patient = 30 * time.Second
)

type bench struct {
	o       options
	log     *logsrv.Server
	daemons []*follow.Follower
	locals  []*follow.LocalPeer
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if !run(o) {
		os.Exit(1)
	}
}

// run reports whether every revision was in force everywhere within the goal.
func run(o options) bool {
	b := &bench{o: o, log: logsrv.New()}
	srv := httptest.NewServer(b.log.Handler())
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.start(ctx, srv.URL)
	fmt.Printf("daemons=%d changes=%d delay_ms=%.1f seed=%d\n", o.Daemons, o.Changes, float64(o.Delay)/1e6, o.Seed)
	ok := b.measure(ctx, "up", logsrv.Faults{}, false)
	ok = b.measure(ctx, "slow", logsrv.Faults{SlowMS: o.SlowMS}, false) && ok
	return b.measure(ctx, "down_after_acceptance", logsrv.Faults{}, true) && ok
}

func (b *bench) start(ctx context.Context, url string) {
	for i := range b.o.Daemons {
		name := fmt.Sprintf("m%d", i)
		peers := make([]follow.Peer, 0, b.o.Daemons-1)
		d := follow.New(applog.NewClient(url), func() []follow.Peer { return peers }, func(o *follow.Options) {
			o.Member = name
			o.Rand = rand.New(rand.NewPCG(b.o.Seed, uint64(i)))
		})
		b.daemons = append(b.daemons, d)
		// All peers are known before any daemon runs.
		defer func() {
			for j, to := range b.daemons {
				if j != i {
					l := &follow.LocalPeer{Name: fmt.Sprintf("m%d", j), Delay: b.o.Delay, Follower: to}
					peers = append(peers, l)
					b.locals = append(b.locals, l)
				}
			}
			go func() { _ = d.Serve(ctx) }()
		}()
	}
}

// measure publishes changes at changing daemons and prints the times from the
// acceptance, and from the request, until the revision is in force everywhere.
func (b *bench) measure(ctx context.Context, name string, faults logsrv.Faults, downAfter bool) bool {
	b.log.SetFaults(logsrv.Faults{})
	b.settle(0)
	accepted := make([]time.Duration, 0, b.o.Changes)
	requested := make([]time.Duration, 0, b.o.Changes)
	failed := 0
	began, before := time.Now(), b.bytes()
	for i := range b.o.Changes {
		b.log.SetFaults(faults)
		d := b.daemons[i*7%len(b.daemons)]
		start := time.Now()
		cctx, cancel := context.WithTimeout(ctx, patient)
		o, err := d.Publish(cctx, change(name, i, d.Config().Revision))
		cancel()
		at := time.Now()
		if downAfter {
			b.log.SetFaults(logsrv.Faults{Down: true})
		}
		if err != nil || o.Status != fold.StatusAccepted || !b.settle(o.Offset) {
			failed++
			continue
		}
		accepted = append(accepted, time.Since(at))
		requested = append(requested, time.Since(start))
	}
	worst := report(name, "from_acceptance", accepted)
	report(name, "from_request", requested)
	rate := float64(b.bytes()-before) / time.Since(began).Seconds() / float64(len(b.daemons))
	fmt.Printf("case=%s changes_per_s=%.2f exchange_bytes_per_daemon_s=%.0f\n",
		name, float64(b.o.Changes)/time.Since(began).Seconds(), rate)
	fmt.Printf("case=%s failed=%d goal_ms=%d aim_ms=%d within_goal=%t within_aim=%t\n",
		name, failed, goal.Milliseconds(), aim.Milliseconds(), failed == 0 && worst <= goal, failed == 0 && worst <= aim)
	return failed == 0 && worst <= goal
}

// bytes returns the bytes of all exchanges, each counted once.
func (b *bench) bytes() int64 {
	var sum int64
	for _, l := range b.locals {
		sum += l.BytesExchanged.Load()
	}
	return sum
}

// settle waits until a revision is in force everywhere.
func (b *bench) settle(revision int64) bool {
	deadline := time.Now().Add(patient)
	for _, d := range b.daemons {
		for d.Config().Revision < revision || !d.Health().Ready {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(time.Millisecond)
		}
	}
	return true
}

func report(name, what string, times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	worst := times[len(times)-1]
	fmt.Printf("case=%s %s_median_ms=%.1f %s_worst_ms=%.1f\n", name,
		what, float64(times[len(times)/2])/1e6, what, float64(worst)/1e6)
	return worst
}

func change(name string, i int, base int64) applog.Record {
	body := fmt.Sprintf("document = \"exception\"\nid = \"%s-%d\"\neffect = \"shed_background\"\n"+
		"reason = \"Measures the time until it is in force.\"\nscope.service = \"%s-%d\"", name, i, name, i)
	return applog.Record{ID: fmt.Sprintf("%s-%d", name, i), Kind: applog.KindChange, BaseRevision: base, Author: "measure", Body: []byte(body)}
}
