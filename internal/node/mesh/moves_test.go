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
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/health"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/canary"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	moveService = "s"
	// fewFailures are enough to take a version back.
	fewFailures = 4
)

// loopNet hands control messages to the daemons of a test.
type loopNet map[string]*tallier

func (n loopNet) Control(ctx context.Context, member string, _ wire.ControlKind, payload []byte) ([]byte, error) {
	return n[member].serve(ctx, link.Peer{}, payload)
}

// newTestTallier returns the parts of a daemon that count and judge, with an
// ordered move and links to all daemons.
func newTestTallier(net loopNet, id string, all []string) *tallier {
	table := peers.New(id)
	for _, other := range all {
		table.SetLinked(other, true)
	}
	m := &moves{
		self: id, clock: clock.NewReal(), log: zerolog.Nop(), table: table, push: func() {},
		services: make(map[string]*moveState),
	}
	move := order.Move{Service: moveService, Version: "v2", MaxDuration: 10 * clock.Second, Offset: 1, ReceivedAt: m.clock.Now()}
	m.ordered(&order.ActiveSet{Moves: map[string]order.Move{moveService: move}})
	u := newUpstream(m.clock, zerolog.Nop())
	u.update(func(now clock.Milli, k *health.Tracker) {
		k.Restore(health.Upstream{Instance: "i-" + id, Version: "v2", Slots: 4})
	})
	t := &tallier{
		self: id, since: 1, service: moveService, log: zerolog.Nop(), pool: net, live: table.LinkedIDs,
		upstream: u, moves: m, busy: make(map[string]chan struct{}),
	}
	net[id] = t
	return t
}

// fail lets one call fail at the upstream beside a daemon.
func (t *tallier) fail(id byte) {
	now := t.moves.clock.Now()
	ticket := admit.Request{ID: call.ID{id}, Route: "r", Deadline: now + clock.Second, MayQueue: true}
	t.upstream.Offer(now, ticket)
	t.upstream.Finish(now, ticket.ID, admit.Result{Failed: true})
}

// Guards against a bad version whose failures are spread over so many upstreams
// and daemons that none of them sees enough.
func TestFailuresOfAllUpstreamsCount(t *testing.T) {
	g := NewWithT(t)
	net := loopNet{}
	ids := []string{"a", "b", "c", "d", "e", "f"}
	for _, id := range ids {
		newTestTallier(net, id, ids)
	}
	for i, id := range ids {
		net[id].fail(byte(i))
		net[id].report(context.Background())
	}
	ended := func() int {
		n := 0
		for _, d := range net {
			d.moves.step(d.moves.clock.Now())
			if d.moves.services[moveService].move.Phase() == canary.RolledBack {
				n++
			}
		}
		return n
	}
	g.Eventually(ended).Should(BeNumerically(">", 0))
}

// Guards against shares that grow at each daemon by its own time.
func TestGrowthIsShared(t *testing.T) {
	g := NewWithT(t)
	net := loopNet{}
	ids := []string{"a", "b"}
	from, to := newTestTallier(net, "a", ids), newTestTallier(net, "b", ids)
	now := from.moves.clock.Now()
	before := to.moves.versions(moveService).share
	from.moves.services[moveService].move.MergeStep(2, now)
	to.moves.merge(now, from.moves.encode(now))
	g.Expect(to.moves.versions(moveService).share).To(BeNumerically(">", before))
	g.Expect(to.moves.versions(moveService).share).To(Equal(from.moves.versions(moveService).share))
}

// deafStore never answers.
type deafStore struct{ feed.Store }

func (deafStore) Newest(ctx context.Context, _ string) (feed.Batch, error) {
	<-ctx.Done()
	return feed.Batch{}, ctx.Err()
}

// namedTopics is a platform that only has topics.
type namedTopics struct{ Platform }

func (namedTopics) Topics() Topics { return Topics{Status: "status"} }

// Guards against a bad version that keeps its calls while the store is silent.
func TestJudgeWithoutStore(t *testing.T) {
	g := NewWithT(t)
	d := newTestTallier(loopNet{}, "a", []string{"a"})
	w := &statuses{moves: d.moves, platform: namedTopics{}, store: deafStore{}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- d.moves.Serve(ctx) }()
	go func() { ended <- w.Serve(ctx) }()
	time.Sleep(2 * stepInterval.Duration())
	for i := range fewFailures {
		d.fail(byte(i))
	}
	d.report(ctx)
	share := func() float64 { return d.moves.versions(moveService).share }
	g.Eventually(share, 4*stepInterval.Duration()).Should(BeZero())
	cancel()
	for range cap(ended) {
		g.Expect(errors.Is(<-ended, context.Canceled)).To(BeTrue())
	}
}
