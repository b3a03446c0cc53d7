package follow_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/follow"
	"gitlab.com/cranberrytack/cranberrytack/internal/fakes/logsrv"
)

// fleet is a log with the daemons that follow it.
type fleet struct {
	t    *testing.T
	log  *logsrv.Server
	url  string
	mu   sync.Mutex
	list []*follow.Follower
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, log: logsrv.New()}
	srv := httptest.NewServer(f.log.Handler())
	t.Cleanup(srv.Close)
	f.url = srv.URL
	for range n {
		f.add(f.url, true)
	}
	return f
}

func quick(o *follow.Options) {
	o.PollInterval, o.ExchangeInterval, o.PeerTimeout = 30*time.Millisecond, 30*time.Millisecond, 200*time.Millisecond
	o.RecordsPerSnapshot, o.SnapshotMaxDelay = 8, 600*time.Millisecond
}

// add starts a daemon; without peers it has the log alone.
func (f *fleet) add(url string, withPeers bool) *follow.Follower {
	f.mu.Lock()
	defer f.mu.Unlock()
	log := applog.NewClient(url, applog.WithTimeouts(150*time.Millisecond, 150*time.Millisecond))
	name := fmt.Sprintf("m%d", len(f.list))
	self := len(f.list)
	peers := func() []follow.Peer {
		f.mu.Lock()
		defer f.mu.Unlock()
		var out []follow.Peer
		for i, to := range f.list {
			if withPeers && i != self {
				out = append(out, &follow.LocalPeer{Name: fmt.Sprintf("m%d", i), Follower: to})
			}
		}
		return out
	}
	d := follow.New(log, peers, quick, func(o *follow.Options) {
		o.Member = name
		o.Rand = rand.New(rand.NewPCG(1, uint64(self)))
	})
	f.list = append(f.list, d)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = d.Serve(ctx); close(done) }()
	f.t.Cleanup(func() { cancel(); <-done; log.Close() })
	return d
}

func (f *fleet) ready() *fleet {
	g := NewWithT(f.t)
	for _, d := range f.list {
		g.Eventually(func() bool { return d.Health().Ready }, soon, "5ms").Should(BeTrue())
	}
	return f
}

func out(id, centre string, base int64) applog.Record {
	body := fmt.Sprintf("document = \"exception\"\nid = \"out-%s\"\neffect = \"centre_out\"\n"+
		"reason = \"The power supply is replaced on Tuesday night.\"\nscope.centre = %q", centre, centre)
	return applog.Record{ID: id, Kind: applog.KindChange, BaseRevision: base, Author: "crew/ana", Body: []byte(body)}
}

func publish(t *testing.T, d *follow.Follower, r applog.Record, within time.Duration) (fold.Outcome, error) {
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	return d.Publish(ctx, r)
}

func (f *fleet) fill(d *follow.Follower, n int) {
	g := NewWithT(f.t)
	for i := range n {
		_, err := publish(f.t, d, out(fmt.Sprintf("fill%d", i), fmt.Sprintf("c%d", i), d.Config().Revision), soon)
		g.Expect(err).NotTo(HaveOccurred())
	}
}
