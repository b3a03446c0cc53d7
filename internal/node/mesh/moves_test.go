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
	// rollbackFailures is a number of failed calls that leads to a rollback.
	rollbackFailures = 4
)

// loopbackNet delivers control messages directly to the reporters of a test.
type loopbackNet map[string]*statsReporter

func (n loopbackNet) Control(ctx context.Context, member string, _ wire.ControlKind, payload []byte) ([]byte, error) {
	return n[member].handleReport(ctx, link.Peer{}, payload)
}

// newTestReporter returns the reporter of a daemon with an ordered move and links to all
// daemons, and adds it to the net.
func newTestReporter(net loopbackNet, id string, all []string) *statsReporter {
	table := peers.New(id)
	for _, other := range all {
		table.SetLinked(other, true)
	}
	m := &moveTracker{
		self: id, clock: clock.NewReal(), log: zerolog.Nop(), table: table, notifyPeers: func() {}, records: &recordsView{complete: true}, requestRecords: func() {},
		byService: make(map[string]*moveState), onOrder: func(order.Move) {},
	}
	move := order.Move{Service: moveService, Version: "v2", MaxDuration: 10 * clock.Second, Position: 1, ReceivedAt: m.clock.Now()}
	m.applyOrders(&order.ActiveSet{Moves: map[string]order.Move{moveService: move}})
	u := newUpstream(m.clock, zerolog.Nop())
	u.update(func(now clock.Milli, t *health.Tracker) {
		t.Restore(health.UpstreamState{Instance: "i-" + id, Version: "v2", Slots: 4})
	})
	reporter := &statsReporter{
		self: id, incarnation: 1, service: moveService, log: zerolog.Nop(), pool: net, linkedIDs: table.LinkedIDs,
		upstream: u, moves: m, inFlight: make(map[string]chan struct{}),
	}
	m.onOrder = reporter.beginTrial
	net[id] = reporter
	return reporter
}

// failCall runs one call that fails at the upstream of a daemon.
func (s *statsReporter) failCall(id byte) {
	s.finishCall(id, admit.Result{Failed: true})
}

// finishCall runs one call with a result at the upstream of a daemon.
func (s *statsReporter) finishCall(id byte, result admit.Result) {
	now := s.moves.clock.Now()
	request := admit.Request{ID: call.ID{id}, Route: "r", Deadline: now + clock.Second, MayQueue: true}
	s.upstream.Offer(now, request)
	s.upstream.Finish(now, request.ID, result)
}

// Guards against a bad version that is not rolled back because its failures are spread
// over many upstreams, with too few at each one.
func TestFailuresOfAllUpstreamsCount(t *testing.T) {
	g := NewWithT(t)
	net := loopbackNet{}
	ids := []string{"a", "b", "c", "d", "e", "f"}
	for _, id := range ids {
		newTestReporter(net, id, ids)
	}
	for i, id := range ids {
		net[id].failCall(byte(i))
		net[id].report(context.Background())
	}
	rolledBack := func() int {
		n := 0
		for _, d := range net {
			d.moves.evaluate(d.moves.clock.Now())
			if d.moves.byService[moveService].move.Phase() == canary.RolledBack {
				n++
			}
		}
		return n
	}
	g.Eventually(rolledBack).Should(BeNumerically(">", 0))
}

// Guards against daemons that increase the share of a move independently of each other.
func TestShareIncreaseReachesPeers(t *testing.T) {
	g := NewWithT(t)
	net := loopbackNet{}
	ids := []string{"a", "b"}
	from, to := newTestReporter(net, "a", ids), newTestReporter(net, "b", ids)
	now := from.moves.clock.Now()
	before := to.moves.serviceSplit(moveService).share
	from.moves.byService[moveService].move.MergeStep(2, now)
	to.moves.merge(now, from.moves.encode(now), false)
	g.Expect(to.moves.serviceSplit(moveService).share).To(BeNumerically(">", before))
	g.Expect(to.moves.serviceSplit(moveService).share).To(Equal(from.moves.serviceSplit(moveService).share))
}

// hangingStore blocks reads until their context ends.
type hangingStore struct{ feed.Store }

func (hangingStore) Newest(ctx context.Context, _ string) (feed.Batch, error) {
	<-ctx.Done()
	return feed.Batch{}, ctx.Err()
}

// statusTopicPlatform implements only Topics of Platform.
type statusTopicPlatform struct{ Platform }

func (statusTopicPlatform) Topics() Topics { return Topics{Status: "status"} }

// Guards against a bad version that keeps its share while the store does not respond.
func TestJudgeWithoutStore(t *testing.T) {
	g := NewWithT(t)
	d := newTestReporter(loopbackNet{}, "a", []string{"a"})
	writer := &statusWriter{moves: d.moves, platform: statusTopicPlatform{}, store: hangingStore{}, mayRestore: func(clock.Milli) bool { return true }}
	ctx, cancel := context.WithCancel(context.Background())
	serveErrs := make(chan error, 2)
	go func() { serveErrs <- d.moves.Serve(ctx) }()
	go func() { serveErrs <- writer.Serve(ctx) }()
	time.Sleep(2 * evaluationInterval.Duration())
	for i := range rollbackFailures {
		d.failCall(byte(i))
	}
	d.report(ctx)
	share := func() float64 { return d.moves.serviceSplit(moveService).share }
	g.Eventually(share, 4*evaluationInterval.Duration()).Should(BeZero())
	cancel()
	for range cap(serveErrs) {
		g.Expect(errors.Is(<-serveErrs, context.Canceled)).To(BeTrue())
	}
}

// Guards against a version move that begins again, or whose final status stays lost, after
// its order was written again to a restored store.
func TestMoveGoesOnAfterRestore(t *testing.T) {
	g := NewWithT(t)
	m := newTestReporter(loopbackNet{}, "a", []string{"a"}).moves
	s := m.byService[moveService]
	s.move.SetFinalPhase(canary.RolledBack, "test")
	s.statusStored = true
	again := s.move.Order()
	again.Position, again.Repeats = feed.NewPosition(1, 1), true
	m.applyOrders(&order.ActiveSet{Moves: map[string]order.Move{moveService: again}})
	g.Expect(m.byService[moveService].move.Phase()).To(Equal(canary.RolledBack))
	g.Expect(m.movesToStore(m.clock.Now() + writeTurnDelay)).To(HaveLen(1))
	m.merge(m.clock.Now(), []*wire.MoveState{{Service: moveService, Offset: 1, Phase: uint32(canary.RolledBack) | statusStoredBit}}, false)
	g.Expect(m.byService[moveService].statusStored).To(BeFalse())
	again.Position, again.Repeats = feed.NewPosition(1, 2), false
	m.applyOrders(&order.ActiveSet{Moves: map[string]order.Move{moveService: again}})
	g.Expect(m.byService[moveService].move.Phase()).To(Equal(canary.Running))
}

// Guards against daemons that keep different phases of an ended move, because two judges ended
// it at the same time or in different parts of a divided fleet: the one in the store counts.
func TestStoredPhaseCounts(t *testing.T) {
	tests := map[string]func(from, to *moveTracker){
		"from the store": func(from, to *moveTracker) {
			s := from.byService[moveService]
			to.mergeStatus(to.clock.Now(), to.byService[moveService], s.move.Status())
		},
		"from a peer": func(from, to *moveTracker) {
			from.byService[moveService].statusStored = true
			to.merge(to.clock.Now(), from.encode(from.clock.Now()), false)
		},
	}
	for name, merge := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			net := loopbackNet{}
			from, to := newTestReporter(net, "a", []string{"a", "b"}).moves, newTestReporter(net, "b", []string{"a", "b"}).moves
			from.byService[moveService].move.SetFinalPhase(canary.Succeeded, "test")
			to.byService[moveService].move.SetFinalPhase(canary.RolledBack, "test")
			merge(from, to)
			g.Expect(to.byService[moveService].move.Phase()).To(Equal(canary.Succeeded))
			g.Expect(to.movesToStore(to.clock.Now() + writeTurnDelay)).To(BeEmpty())
			from.merge(from.clock.Now(), to.encode(to.clock.Now()), false)
			g.Expect(from.byService[moveService].move.Phase()).To(Equal(canary.Succeeded))
		})
	}
}

// Guards against a version that is rolled back again when it is ordered again, because the calls
// of its earlier trial count.
func TestCallsBeforeOrderDoNotCount(t *testing.T) {
	g := NewWithT(t)
	d := newTestReporter(loopbackNet{}, "a", []string{"a"})
	phaseAfterReport := func() canary.Phase {
		d.report(context.Background())
		d.moves.evaluate(d.moves.clock.Now())
		return d.moves.byService[moveService].move.Phase()
	}
	g.Expect(phaseAfterReport()).To(Equal(canary.Running))
	for i := range rollbackFailures {
		d.failCall(byte(i))
	}
	g.Expect(phaseAfterReport()).To(Equal(canary.RolledBack))
	again := d.moves.byService[moveService].move.Order()
	again.Position++
	d.moves.applyOrders(&order.ActiveSet{Moves: map[string]order.Move{moveService: again}})
	g.Expect(phaseAfterReport()).To(Equal(canary.Running))
	for i := range rollbackFailures {
		d.failCall(byte(rollbackFailures + i))
	}
	g.Expect(phaseAfterReport()).To(Equal(canary.RolledBack))
}
