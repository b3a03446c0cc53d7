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

// fleet is a fake log service and the daemons that follow it.
type fleet struct {
	t         *testing.T
	log       *logsrv.Server
	url       string
	mu        sync.Mutex
	followers []*follow.Follower
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

// fastOptions sets short intervals and a small number of records per snapshot.
func fastOptions(o *follow.Options) {
	o.PollInterval, o.ExchangeInterval, o.PeerTimeout = 30*time.Millisecond, 30*time.Millisecond, 200*time.Millisecond
	o.RecordsPerSnapshot, o.SnapshotMaxDelay = 8, 600*time.Millisecond
}

// add starts a daemon that follows the log at url, and exchanges records with the
// others if withPeers is set.
func (f *fleet) add(url string, withPeers bool) *follow.Follower {
	f.mu.Lock()
	defer f.mu.Unlock()
	log := applog.NewClient(url, applog.WithTimeouts(150*time.Millisecond, 150*time.Millisecond))
	name := fmt.Sprintf("m%d", len(f.followers))
	index := len(f.followers)
	peers := func() []follow.Peer {
		f.mu.Lock()
		defer f.mu.Unlock()
		var out []follow.Peer
		for i, follower := range f.followers {
			if withPeers && i != index {
				out = append(out, &follow.LocalPeer{Name: fmt.Sprintf("m%d", i), Follower: follower})
			}
		}
		return out
	}
	d := follow.New(log, peers, fastOptions, func(o *follow.Options) {
		o.Member = name
		o.Rand = rand.New(rand.NewPCG(1, uint64(index)))
	})
	f.followers = append(f.followers, d)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = d.Serve(ctx); close(done) }()
	f.t.Cleanup(func() { cancel(); <-done; log.Close() })
	return d
}

func (f *fleet) awaitReady() *fleet {
	g := NewWithT(f.t)
	for _, d := range f.followers {
		g.Eventually(func() bool { return d.Health().Ready }, testTimeout, "5ms").Should(BeTrue())
	}
	return f
}

// newChange returns the record of a change that takes a data centre out of service.
func newChange(id, centre string, base int64) applog.Record {
	body := fmt.Sprintf("document = \"exception\"\nid = \"out-%s\"\neffect = \"centre_out\"\n"+
		"reason = \"The power supply is replaced on Tuesday night.\"\nscope.centre = %q", centre, centre)
	return applog.Record{ID: id, Kind: applog.KindChange, BaseRevision: base, Author: "crew/ana", Body: []byte(body)}
}

func publish(t *testing.T, d *follow.Follower, r applog.Record, timeout time.Duration) (fold.Outcome, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return d.Publish(ctx, r)
}

func (f *fleet) publishChanges(d *follow.Follower, n int) {
	g := NewWithT(f.t)
	for i := range n {
		_, err := publish(f.t, d, newChange(fmt.Sprintf("fill%d", i), fmt.Sprintf("c%d", i), d.Config().Revision), testTimeout)
		g.Expect(err).NotTo(HaveOccurred())
	}
}
