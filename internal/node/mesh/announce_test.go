package mesh

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
)

// slowStore takes records only once it is released.
type slowStore struct {
	feed.Store
	release chan struct{}
}

func (s *slowStore) Append(ctx context.Context, _ string, _ feed.Item, _ int64) (int64, error) {
	select {
	case <-s.release:
		return 1, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Guards against a heartbeat that ends an instance and is answered before the
// store has it: a daemon that restarts then sends calls to it again.
func TestChangeWaitsForStore(t *testing.T) {
	g := NewWithT(t)
	s := &slowStore{release: make(chan struct{})}
	self := peers.Record{ID: "a", Incarnation: 1, Seq: 1, Instance: "u"}
	a := newAnnouncer(self, clock.NewReal(), zerolog.Nop(), s, "peers", peers.New("a"))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Serve(ctx) }()
	leave := func(r *peers.Record) { r.Leaving = true }
	first := a.change(leave)
	// The change of the upstream has announced it already.
	again := a.change(leave)
	g.Consistently(first, 50*time.Millisecond).ShouldNot(BeClosed())
	g.Consistently(again, 50*time.Millisecond).ShouldNot(BeClosed())
	close(s.release)
	g.Eventually(first, time.Second).Should(BeClosed())
	g.Eventually(again, time.Second).Should(BeClosed())
	g.Eventually(a.change(leave), time.Second).Should(BeClosed())
	cancel()
	g.Expect(errors.Is(<-ended, context.Canceled)).To(BeTrue())
}
