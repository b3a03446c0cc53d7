package mesh

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/justinas/alice"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/httpd"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/meter"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/health"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/entry"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/guard"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
)

// fleetName keeps daemons of other systems away.
const fleetName = "mesh"

// restoreTimeout bounds the wait for what the store has of an earlier daemon at
// the same address.
const restoreTimeout = 800 * clock.Millisecond

// Node is one running daemon.
type Node struct {
	settings Settings
	platform Platform
	store    feed.Store
	clock    clock.Clock
	log      zerolog.Logger
	self     call.Target
	pool     *link.Pool
	table    *peers.Table
	book     *order.Registry
	moves    *moves
	upstream *upstream
	guard    *guard.Guard
	entry    *entry.Entry
	announce *announcer
	links    *links
	share    *sharer
	tallies  *tallier
	statuses *statuses
	orders   *feed.Follower
	members  *feed.Follower
	health   *healthChecker
	peer     *link.SupervisedServer
	callers  *httpd.Server
	control  *httpd.Server
	probes   *httpd.Server
	metrics  *httpd.Server
	meter    *meter.Meter
	state    state
}

// New builds a daemon and opens its listeners. It waits a short time for the
// store.
func New(s Settings, p Platform, log zerolog.Logger) (*Node, error) {
	clk := clock.NewReal()
	assert.SetLogger(log)
	n := &Node{settings: s, platform: p, clock: clk, log: log, table: peers.New(s.Listen.Peer), meter: meter.New()}
	n.store = &meteredStore{store: p.Store(), meter: n.meter}
	stored, from := n.restore()
	own := stored.own(s.Listen.Peer)
	n.self = call.Target{
		ID: s.Listen.Peer, Incarnation: max(uint64(clk.Now()), own.Incarnation+1),
		Service: s.Service, Centre: s.Centre, Region: s.Region,
	}
	n.build(own)
	n.table.Merge(stored...)
	n.members = feed.NewFollower(n.store, p.Topics().Peers, peerSink{table: n.table, log: log, found: n.found}, log,
		feed.WithStartOffset(from), feed.WithBatchDelay(memberBatchPause))
	n.serve()
	return n, n.listen()
}

// stored are the records that the store had at the start.
type stored []peers.Record

func (s stored) own(id string) peers.Record {
	for _, r := range s {
		if r.ID == id {
			return r
		}
	}
	return peers.Record{}
}

// restore reads what the store has of all daemons, and where to go on from.
func (n *Node) restore() (out stored, from int64) {
	ctx, cancel := context.WithTimeout(context.Background(), restoreTimeout.Duration())
	defer cancel()
	b, err := n.store.Newest(ctx, n.platform.Topics().Peers)
	if err != nil {
		n.log.Warn().Err(err).Msg("start_without_store")
		return nil, feed.OffsetUnread
	}
	return decodePeers(b.Items, n.log), b.NextOffset
}

// build makes the parts that calls pass.
func (n *Node) build(own peers.Record) {
	s, p := n.settings, n.platform
	n.pool = link.NewPool(n.identity(), n.clock, link.WithTiming(linkTiming))
	n.book = order.NewRegistry(p.DecodeDirective, n.clock, n.log)
	n.moves = &moves{
		self: n.self.ID, clock: n.clock, log: n.log, table: n.table,
		services: make(map[string]*moveState),
	}
	n.book.Subscribe(n.moves.ordered)
	n.upstream = newUpstream(n.clock, n.log)
	n.upstream.service = n.ownService
	n.upstream.coldPart = max(1, s.ColdOverage-coldMargin)
	n.upstream.changed = n.upstreamChanged
	n.restoreUpstream(own)
	n.health = &healthChecker{
		clock: n.clock, log: n.log, platform: p, addr: s.Upstream, upstream: n.upstream, service: n.ownService,
		answered: make(chan struct{}),
	}
	n.guard = guard.New(n.self, s.Upstream, n.clock,
		guard.WithLogger(n.log), guard.WithAdmitter(n.upstream), guard.WithAdmissionCheck(n.gate),
		guard.WithProtocol(p.UpstreamProtocol(n.upstream.instance, n.upstream.misdirected)),
		guard.WithPreAdmissionHook(n.refreshPace), guard.WithIdleTimeout(upstreamIdle), guard.WithDialErrorHandler(n.upstreamFailed),
		guard.WithSampleHandler(n.recordUpstream), guard.WithRefusalHandler(n.recordRefusal))
	n.entry = entry.New(n.self, n.clock, n.pool, n.table, &rules{book: n.book, moves: n.moves},
		entry.WithLogger(n.log), entry.WithProtocol(p.CallerProtocol(n.routes)), entry.WithNoTargetReason(call.ReasonNoTarget),
		entry.WithPicker(newPicker), entry.WithRetrier(newRetrier), entry.WithProbeRate(0), entry.WithBodyLimits(heldBytes, inlineBytes),
		entry.WithSummaryHandler(n.recordCall))
	record := peers.Record{
		ID: n.self.ID, Incarnation: n.self.Incarnation, Seq: 1,
		Centre: s.Centre, Region: s.Region, Service: s.Service,
	}
	n.announce = newAnnouncer(record, n.clock, n.log, n.store, p.Topics().Peers, n.table)
}

// restoreUpstream takes over what an earlier daemon knew of the upstream. It is
// used only after a health check confirmed the instance.
func (n *Node) restoreUpstream(own peers.Record) {
	if own.Instance == "" {
		return
	}
	u := health.Upstream{Instance: own.Instance, StartedAt: own.StartedAt, Version: own.Version, Slots: own.Slots, Leaving: own.Leaving}
	n.upstream.keeper.Restore(u)
}

func (n *Node) identity() link.Identity {
	return link.Identity{Fleet: fleetName, Member: n.self.ID, Incarnation: n.self.Incarnation}
}

// serve makes the parts that run in the background.
func (n *Node) serve() {
	p := n.platform
	n.orders = feed.NewFollower(n.store, p.Topics().Directives, n.book, n.log, feed.WithReadWait(n.ordersWait))
	n.share = &sharer{
		clock: n.clock, log: n.log, pool: n.pool, table: n.table, book: n.book, moves: n.moves,
		orders: n.orders, self: n.announce.record,
	}
	n.moves.push = func() { n.share.push(context.Background()) }
	n.tallies = newTallier(n)
	n.statuses = &statuses{moves: n.moves, platform: p, store: n.store}
	n.links = newLinks(n.self.ID, n.clock, n.log, n.pool, n.table)
	n.links.opened = n.share.compare
	n.peer = &link.SupervisedServer{Server: link.NewServer(n.identity(), n.clock,
		link.WithLogger(n.log), link.WithStreamHandler(n.guard.HandleStream), link.WithPeerHandler(n.links.meet),
		link.WithControlHandler(controlShare, n.share.serve), link.WithControlHandler(controlTallies, n.tallies.serve))}
	n.callers = newServer(alice.New(httpd.CloseWhen(n.state.stopping.Load)).Then(n.entry))
	n.control = newServer(p.ControlHandler(n))
	n.probes = newServer(p.ReadinessHandler(n.ready))
	n.metrics = newServer(n.meter)
	n.addGauges()
}

// found logs daemons that became known.
func (n *Node) found(records []peers.Record) {
	for i := range records {
		r := &records[i]
		n.log.Info().Str("peer", r.ID).Str("service", r.Service).Str("centre", r.Centre).Str("version", r.Version).
			Str("upstream", r.Instance).Bool("leaving", r.Leaving).Bool("gone", r.Gone).Msg("peer_announced")
	}
}

func (n *Node) listen() error {
	on := n.settings.Listen
	return httpd.Listen(
		httpd.Address{Addr: on.Peer, SetListener: func(l net.Listener) { n.peer.Listener = l }},
		httpd.Address{Addr: on.Callers, SetListener: func(l net.Listener) { n.callers.Listener = l }},
		httpd.Address{Addr: on.Control, SetListener: func(l net.Listener) { n.control.Listener = l }},
		httpd.Address{Addr: on.Ready, SetListener: func(l net.Listener) { n.probes.Listener = l }},
		httpd.Address{Addr: on.Metrics, SetListener: func(l net.Listener) { n.metrics.Listener = l }},
	)
}

// Run serves until ctx ends and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	sup := suture.New("mesh", suture.Spec{
		EventHook: func(e suture.Event) { n.log.Warn().Str("detail", e.String()).Msg("supervisor") },
		Timeout:   time.Second,
	})
	for _, s := range []suture.Service{
		n.peer, n.callers, n.control, n.probes, n.metrics, n.guard, n.orders, n.members, n.links, n.share, n.announce, n.health, n.moves, n.tallies, n.statuses,
	} {
		sup.Add(s)
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := sup.ServeBackground(runCtx)
	n.log.Info().Str("name", n.settings.Name).Str("member", n.self.ID).Str("service", n.self.Service).
		Str("centre", n.self.Centre).Uint64("incarnation", n.self.Incarnation).Int("pid", os.Getpid()).Msg("daemon_started")
	select {
	case <-ctx.Done():
	case err := <-done:
		return errors.Wrap(err, "supervisor ended")
	}
	err := n.stop()
	cancel()
	if down := <-done; !errors.Is(down, context.Canceled) {
		n.log.Warn().Err(down).Msg("supervisor_ended")
	}
	n.pool.Close()
	return err
}
