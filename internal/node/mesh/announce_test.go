package mesh

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
)

// blockingStore blocks appends until release is closed.
type blockingStore struct {
	feed.Store
	release chan struct{}
}

func (s *blockingStore) Append(ctx context.Context, _ string, _ feed.Item, _ feed.Position) (feed.Position, error) {
	select {
	case <-s.release:
		return 1, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Guards against a heartbeat that ends an instance and is answered before the record
// is stored: after a restart the daemon would send calls to the instance again.
func TestChangeWaitsForStore(t *testing.T) {
	g := NewWithT(t)
	s := &blockingStore{release: make(chan struct{})}
	self := peers.Record{ID: "a", Incarnation: 1, Seq: 1, Instance: "u"}
	a := newAnnouncer(self, clock.NewReal(), zerolog.Nop(), s, "peers", peers.New("a"))
	ctx, cancel := context.WithCancel(context.Background())
	serveErr := make(chan error, 1)
	go func() { serveErr <- a.Serve(ctx) }()
	setLeaving := func(r *peers.Record) { r.Leaving = true }
	first := a.update(setLeaving)
	// An equal update must wait as well while the first one is not stored.
	again := a.update(setLeaving)
	g.Consistently(first, 50*time.Millisecond).ShouldNot(BeClosed())
	g.Consistently(again, 50*time.Millisecond).ShouldNot(BeClosed())
	close(s.release)
	g.Eventually(first, time.Second).Should(BeClosed())
	g.Eventually(again, time.Second).Should(BeClosed())
	g.Eventually(a.update(setLeaving), time.Second).Should(BeClosed())
	cancel()
	g.Expect(errors.Is(<-serveErr, context.Canceled)).To(BeTrue())
}

// countingStore counts the appends and reports the position in its era.
type countingStore struct {
	feed.Store
	era     atomic.Int64
	appends atomic.Int64
}

func (s *countingStore) Append(context.Context, string, feed.Item, feed.Position) (feed.Position, error) {
	return feed.NewPosition(s.era.Load(), s.appends.Add(1)), nil
}

// Guards against a daemon that others can't find because a restore of the store lost its
// record, and against one that writes it again without need.
func TestRecordIsWrittenAgainAfterRestore(t *testing.T) {
	g := NewWithT(t)
	s := &countingStore{}
	a := newAnnouncer(peers.Record{ID: "a", Incarnation: 1, Seq: 1}, clock.NewReal(), zerolog.Nop(), s, "peers", peers.New("a"))
	ctx, cancel := context.WithCancel(context.Background())
	serveErr := make(chan error, 1)
	go func() { serveErr <- a.Serve(ctx) }()
	g.Eventually(a.update(func(r *peers.Record) { r.Instance = "u" }), time.Second).Should(BeClosed())
	s.era.Store(1)
	for range 3 {
		a.handleEra(1)
	}
	g.Eventually(s.appends.Load, 2*maxRewriteDelay.Duration()).Should(Equal(int64(2)))
	g.Eventually(a.isStored, time.Second).Should(BeTrue())
	a.handleEra(1)
	g.Consistently(s.appends.Load, maxRewriteDelay.Duration()).Should(Equal(int64(2)))
	cancel()
	g.Expect(errors.Is(<-serveErr, context.Canceled)).To(BeTrue())
}
