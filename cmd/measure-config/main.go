// Command measure-config measures how long an accepted revision takes to be
// in force at every daemon, with in-process daemons and a fake log service.
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
	maxPropagation    = 7 * time.Second
	targetPropagation = 2 * time.Second
	settleTimeout     = 30 * time.Second
)

type benchmark struct {
	options options
	log     *logsrv.Server
	daemons []*follow.Follower
	peers   []*follow.LocalPeer
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

// run reports whether every revision was in force at every daemon within
// maxPropagation.
func run(o options) bool {
	b := &benchmark{options: o, log: logsrv.New()}
	srv := httptest.NewServer(b.log.Handler())
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.startDaemons(ctx, srv.URL)
	fmt.Printf("daemons=%d changes=%d delay_ms=%.1f seed=%d\n", o.Daemons, o.Changes, float64(o.Delay)/1e6, o.Seed)
	ok := b.measureCase(ctx, "up", logsrv.Faults{}, false)
	ok = b.measureCase(ctx, "slow", logsrv.Faults{SlowMS: o.SlowMS}, false) && ok
	return b.measureCase(ctx, "down_after_acceptance", logsrv.Faults{}, true) && ok
}

func (b *benchmark) startDaemons(ctx context.Context, url string) {
	for i := range b.options.Daemons {
		name := fmt.Sprintf("m%d", i)
		peers := make([]follow.Peer, 0, b.options.Daemons-1)
		d := follow.New(applog.NewClient(url), func() []follow.Peer { return peers }, func(o *follow.Options) {
			o.Member = name
			o.Rand = rand.New(rand.NewPCG(b.options.Seed, uint64(i)))
		})
		b.daemons = append(b.daemons, d)
		// Deferred, so that all daemons exist before the first one runs.
		defer func() {
			for j, to := range b.daemons {
				if j != i {
					l := &follow.LocalPeer{Name: fmt.Sprintf("m%d", j), Delay: b.options.Delay, Follower: to}
					peers = append(peers, l)
					b.peers = append(b.peers, l)
				}
			}
			go func() { _ = d.Serve(ctx) }()
		}()
	}
}

// measureCase publishes each change through a different daemon and prints the
// times from acceptance and from request until the revision is in force at every
// daemon. With downAfter, the log fails as soon as a change is accepted. It
// reports whether every change was in force within maxPropagation.
func (b *benchmark) measureCase(ctx context.Context, name string, faults logsrv.Faults, downAfter bool) bool {
	b.log.SetFaults(logsrv.Faults{})
	b.waitInForce(0)
	accepted := make([]time.Duration, 0, b.options.Changes)
	requested := make([]time.Duration, 0, b.options.Changes)
	failed := 0
	startedAt, bytesBefore := time.Now(), b.bytesExchanged()
	for i := range b.options.Changes {
		b.log.SetFaults(faults)
		d := b.daemons[i*7%len(b.daemons)]
		start := time.Now()
		cctx, cancel := context.WithTimeout(ctx, settleTimeout)
		o, err := d.Publish(cctx, newChange(name, i, d.Config().Revision))
		cancel()
		acceptedAt := time.Now()
		if downAfter {
			b.log.SetFaults(logsrv.Faults{Down: true})
		}
		if err != nil || o.Status != fold.StatusAccepted || !b.waitInForce(o.Offset) {
			failed++
			continue
		}
		accepted = append(accepted, time.Since(acceptedAt))
		requested = append(requested, time.Since(start))
	}
	worst := printTimes(name, "from_acceptance", accepted)
	printTimes(name, "from_request", requested)
	bytesPerSecond := float64(b.bytesExchanged()-bytesBefore) / time.Since(startedAt).Seconds() / float64(len(b.daemons))
	fmt.Printf("case=%s changes_per_s=%.2f exchange_bytes_per_daemon_s=%.0f\n",
		name, float64(b.options.Changes)/time.Since(startedAt).Seconds(), bytesPerSecond)
	fmt.Printf("case=%s failed=%d goal_ms=%d aim_ms=%d within_goal=%t within_aim=%t\n",
		name, failed, maxPropagation.Milliseconds(), targetPropagation.Milliseconds(), failed == 0 && worst <= maxPropagation, failed == 0 && worst <= targetPropagation)
	return failed == 0 && worst <= maxPropagation
}

// bytesExchanged returns the total bytes of all exchanges between daemons, each
// exchange counted once.
func (b *benchmark) bytesExchanged() int64 {
	var sum int64
	for _, l := range b.peers {
		sum += l.BytesExchanged.Load()
	}
	return sum
}

// waitInForce waits until a revision is in force at every daemon. It returns
// false after settleTimeout.
func (b *benchmark) waitInForce(revision int64) bool {
	deadline := time.Now().Add(settleTimeout)
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

// printTimes prints the median and the longest of times, and returns the latter.
func printTimes(name, what string, times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	worst := times[len(times)-1]
	fmt.Printf("case=%s %s_median_ms=%.1f %s_worst_ms=%.1f\n", name,
		what, float64(times[len(times)/2])/1e6, what, float64(worst)/1e6)
	return worst
}

func newChange(name string, i int, base int64) applog.Record {
	body := fmt.Sprintf("document = \"exception\"\nid = \"%s-%d\"\neffect = \"shed_background\"\n"+
		"reason = \"Measures the time until it is in force.\"\nscope.service = \"%s-%d\"", name, i, name, i)
	return applog.Record{ID: fmt.Sprintf("%s-%d", name, i), Kind: applog.KindChange, BaseRevision: base, Author: "measure", Body: []byte(body)}
}
