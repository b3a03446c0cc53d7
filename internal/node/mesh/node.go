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
	"gitlab.com/cranberrytack/cranberrytack/internal/base/pipe"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/health"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
	"gitlab.com/cranberrytack/cranberrytack/internal/node/duty"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/charge"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/entry"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/guard"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
)

// fleetName identifies the fleet in handshakes, which reject daemons of other systems.
const fleetName = "mesh"

// restoreTimeout limits the read of the stored records at the start.
const restoreTimeout = 800 * clock.Millisecond

// Node is the daemon. Create it with New and run it once with Run.
type Node struct {
	settings        Settings
	platform        Platform
	store           feed.Store
	clock           clock.Clock
	log             zerolog.Logger
	self            call.Target
	pool            *link.Pool
	table           *peers.Table
	records         *recordsView
	registry        *order.Registry
	moves           *moveTracker
	crashes         *crashLog
	startLog        *startLog
	upstream        *upstream
	guard           *guard.Guard
	entry           *entry.Entry
	gate            *charge.Gate
	announcer       *announcer
	links           *links
	sync            *stateSync
	watch           *storeWatch
	reporter        *statsReporter
	statusWriter    *statusWriter
	orderFollower   *feed.Follower
	peerFollower    *feed.Follower
	health          *healthChecker
	peerServer      *link.SupervisedServer
	callerServer    *httpd.Server
	controlServer   *httpd.Server
	readinessServer *httpd.Server
	metricsServer   *httpd.Server
	meter           *meter.Meter
	lifecycle       lifecycle
	// usage and usageDuty are nil in a deployment without reports of usage.
	usage     *usageCounter
	usageDuty *duty.Runner
}

// New builds a daemon and opens its listeners. It reads the stored records first, and
// starts without them if the store does not respond within restoreTimeout.
func New(s Settings, p Platform, log zerolog.Logger) (*Node, error) {
	clk := clock.NewReal()
	assert.SetLogger(log)
	n := &Node{settings: s, platform: p, clock: clk, log: log, table: peers.New(s.Listen.Peer), records: &recordsView{}, meter: meter.New()}
	n.startLog = newStartLog(clk, log)
	n.store = &meteredStore{store: p.Store(), meter: n.meter}
	records, end := n.readStoredPeers()
	previous := records.lookup(s.Listen.Peer)
	n.self = call.Target{
		ID: s.Listen.Peer, Incarnation: max(uint64(clk.Now()), previous.Incarnation+1),
		Service: s.Service, Centre: s.Centre, Region: s.Region,
	}
	n.buildCallPath(previous)
	n.table.Merge(records...)
	n.peerFollower = feed.NewFollower(n.store, p.Topics().Peers, peerSink{table: n.table, log: log, onNew: n.logNewPeers}, log,
		feed.WithStart(end), feed.WithBatchDelay(peerBatchDelay), feed.WithIdleStart(),
		feed.WithReadHook(n.recordPeersRead))
	n.buildServices()
	return n, n.listen()
}

// storedRecords are the daemon records that the store had at the start.
type storedRecords []peers.Record

// lookup returns the record of a daemon, the zero record if there is none.
func (s storedRecords) lookup(id string) peers.Record {
	for _, r := range s {
		if r.ID == id {
			return r
		}
	}
	return peers.Record{}
}

// readStoredPeers reads the stored records of all daemons. It returns them and the position
// to follow the topic from.
func (n *Node) readStoredPeers() (records storedRecords, end feed.Position) {
	if n.settings.FirstStart {
		return nil, feed.PositionNone
	}
	ctx, cancel := context.WithTimeout(context.Background(), restoreTimeout.Duration())
	defer cancel()
	sentAt := n.clock.Now()
	b, err := n.store.Newest(ctx, n.platform.Topics().Peers)
	if err != nil {
		n.log.Warn().Err(err).Msg("start_without_store")
		return nil, feed.PositionNone
	}
	n.records.recordRead(sentAt)
	return decodePeers(b.Items, n.log), b.End
}

// recordPeersRead records a successful read of the other daemons' records some time ago.
func (n *Node) recordPeersRead(age clock.Milli) {
	n.records.recordRead(n.clock.Now() - age)
	n.watch.peersRead()
}

// buildCallPath creates the components that process calls: the upstream, the guard and the
// entry, with the state they depend on.
func (n *Node) buildCallPath(previous peers.Record) {
	s, p := n.settings, n.platform
	n.pool = link.NewPool(n.identity(), n.clock, link.WithTiming(linkTiming))
	n.registry = order.NewRegistry(p.DecodeDirective, n.clock, n.log)
	n.moves = &moveTracker{
		self: n.self.ID, clock: n.clock, log: n.log, table: n.table, records: n.records,
		byService: make(map[string]*moveState),
		onOrder:   func(ord order.Move) { n.reporter.beginTrial(ord) },
	}
	n.registry.Subscribe(n.moves.applyOrders)
	n.upstream = newUpstream(n.clock, n.log)
	n.upstream.service = n.ownService
	n.upstream.coldRateFactor = max(1, s.ColdOverage-coldOverageMargin)
	n.upstream.dispatcher.SetColdSlack(s.ColdSlack)
	n.upstream.onChange = n.announceUpstream
	n.upstream.onNotice = func() { n.startLog.reach(stepConfirmed) }
	n.restoreUpstream(previous)
	n.health = &healthChecker{
		clock: n.clock, log: n.log, platform: p, addr: s.UpstreamAddr, upstream: n.upstream, service: n.ownService,
		checkDone: make(chan struct{}),
	}
	n.crashes = newCrashLog(n)
	n.gate = charge.New(int64(callersMemoryShare*float64(s.MemoryBytes)), n.clock, n.log)
	n.guard = guard.New(n.self, s.UpstreamAddr, n.clock, append(n.usageHooks(previous),
		guard.WithLogger(n.log), guard.WithGate(n.gate), guard.WithAdmitter(n.upstream), guard.WithAdmissionCheck(n.checkAdmission),
		guard.WithNoticeHandler(n.upstream.handleNotice), guard.WithProtocol(p.UpstreamProtocol(n.upstream.instance, n.upstream.handleMisdirected)),
		guard.WithPreAdmissionHook(n.refreshSlowdown), guard.WithIdleTimeout(upstreamIdleTimeout), guard.WithRequestErrorHandler(n.handleRequestError),
		guard.WithSampleHandler(n.recordUpstream), guard.WithBreakHandler(n.crashes.handleBreak), guard.WithRefusalHandler(n.recordRefusal))...)
	n.entry = entry.New(n.self, n.clock, n.pool, n.table, &rules{registry: n.registry, moves: n.moves},
		entry.WithLogger(n.log), entry.WithGate(n.gate), entry.WithProtocol(p.CallerProtocol(n.callerRoutes)), entry.WithNoTargetReason(call.ReasonNoTarget),
		entry.WithPicker(newPicker), entry.WithRetrier(n.newRetrier), entry.WithProbeRate(0), entry.WithBodyLimits(maxBufferedBodyBytes, maxInlineBodyBytes),
		entry.WithSummaryHandler(n.recordCall), entry.WithQuarantine(n.crashes), entry.WithLatestDeadline(n.lifecycle.latestDeadline))
	self := peers.Record{
		ID: n.self.ID, Incarnation: n.self.Incarnation, Seq: 1,
		Centre: s.Centre, Region: s.Region, Service: s.Service,
	}
	n.announcer = newAnnouncer(self, n.clock, n.log, n.store, p.Topics().Peers, n.table)
}

// restoreUpstream restores the state of the upstream from the record of an earlier daemon
// at the same address. The state takes effect once a health check confirms the instance.
// That an instance leaves takes effect at once.
func (n *Node) restoreUpstream(previous peers.Record) {
	if previous.Instance == "" {
		return
	}
	u := health.UpstreamState{Instance: previous.Instance, StartedAt: previous.StartedAt, Version: previous.Version, Slots: previous.Slots, Leaving: previous.Leaving}
	n.upstream.restore(u)
}

func (n *Node) identity() link.Identity {
	return link.Identity{Fleet: fleetName, Member: n.self.ID, Incarnation: n.self.Incarnation}
}

// buildServices creates the components that run in the background.
func (n *Node) buildServices() {
	p := n.platform
	n.orderFollower = feed.NewFollower(n.store, p.Topics().Directives, n.registry, n.log, feed.WithIdleStart(),
		feed.WithReadWait(func() clock.Milli { return n.watch.readWait() }), feed.WithReadHook(func(age clock.Milli) { n.watch.recordRead(age) }))
	n.watch = newStoreWatch(n)
	n.sync = &stateSync{
		clock: n.clock, log: n.log, pool: n.pool, table: n.table, records: n.records, registry: n.registry, moves: n.moves, crashes: n.crashes,
		view: n.watch.view, ownRecord: n.announcer.ownRecord, pollOrders: n.orderFollower.Poll, storeFailing: n.orderFollower.Failing,
	}
	n.sync.puller.pull = n.sync.syncWith
	n.sync.transfer = newOrderTransfer(n.sync)
	n.sync.onPredecessor = n.restoreUpstream
	n.sync.onReply = func() { n.upstream.peerReplied.Store(true) }
	n.watch.notify = n.sync.syncWithEach
	n.watch.pullIfBehind = n.sync.pullIfBehind
	n.watch.sendNotice = (&noticeSender{sync: n.sync}).send
	n.announcer.onChange = func() { go (&recordPush{sync: n.sync}).run() }
	n.registry.Subscribe(func(*order.ActiveSet) { n.watch.ordersChanged() })
	n.registry.Subscribe(n.checkUpstream)
	n.moves.requestRecords = n.peerFollower.Refresh
	n.moves.notifyPeers = func() { n.sync.syncWithAll(context.Background()) }
	n.reporter = newStatsReporter(n)
	n.statusWriter = &statusWriter{moves: n.moves, platform: p, store: n.store, mayRestore: n.watch.mayRestore}
	n.links = newLinks(n.self.ID, n.clock, n.log, n.pool, n.table)
	n.links.onConnect = n.sync.syncWith
	n.peerServer = &link.SupervisedServer{Server: link.NewServer(n.identity(), n.clock,
		link.WithLogger(n.log), link.WithStreamHandler(n.guard.HandleStream), link.WithPeerHandler(n.links.handlePeer),
		link.WithControlHandler(controlShare, n.sync.handleRequest), link.WithControlHandler(controlTallies, n.reporter.handleReport),
		link.WithControlHandler(controlWatch, n.watch.handleNotice), link.WithControlHandler(controlOrders, n.sync.transfer.handleRequest),
		link.WithControlHandler(controlCrashes, n.crashes.handleReport))}
	if n.usage != nil {
		n.addUsageDuty()
		link.WithControlHandler(controlUsage, n.usage.handleQuery)(n.peerServer.Server)
	}
	link.ShareSessions(n.pool, n.peerServer.Server)
	pipeline := pipe.New(pipe.WithRepeatable(n.entry.MayRepeat), pipe.WithStopping(n.lifecycle.stopping.Load), pipe.WithRoom(n.gate.ReadAhead))
	n.callerServer = newServer(alice.New(pipeline.Middleware).Then(n.entry))
	n.callerServer.Pipeline, n.callerServer.Gate = pipeline, n.gate
	n.controlServer = newServer(p.ControlHandler(n))
	n.readinessServer = newServer(p.ReadinessHandler(n.checkReady))
	n.metricsServer = newServer(n.meter)
	n.addGauges()
}

// checkUpstream applies the cold rate after a change of the orders and requests a health check,
// whose path is part of them.
func (n *Node) checkUpstream(active *order.ActiveSet) {
	if active.Table != nil {
		n.startLog.reach(stepConfigured)
	}
	n.upstream.update(func(clock.Milli, *health.Tracker) {})
	n.upstream.requestCheck()
}

// logNewPeers logs records that were added to the table or updated there.
func (n *Node) logNewPeers(records []peers.Record) {
	for i := range records {
		r := &records[i]
		n.log.Info().Str("peer", r.ID).Str("service", r.Service).Str("centre", r.Centre).Str("version", r.Version).
			Str("upstream", r.Instance).Bool("leaving", r.Leaving).Bool("gone", r.Stopped).Msg("peer_announced")
	}
}

func (n *Node) listen() error {
	addrs := n.settings.Listen
	return httpd.Listen(
		httpd.Address{Addr: addrs.Peer, SetListener: func(l net.Listener) { n.peerServer.Listener = l }},
		httpd.Address{Addr: addrs.Callers, SetListener: func(l net.Listener) { n.callerServer.Listener = l }},
		httpd.Address{Addr: addrs.Control, SetListener: func(l net.Listener) { n.controlServer.Listener = l }},
		httpd.Address{Addr: addrs.Readiness, SetListener: func(l net.Listener) { n.readinessServer.Listener = l }},
		httpd.Address{Addr: addrs.Metrics, SetListener: func(l net.Listener) { n.metricsServer.Listener = l }},
	)
}

// Run serves until ctx ends and then stops gracefully. It returns ErrStopTimeout if the
// stop interrupted calls.
func (n *Node) Run(ctx context.Context) error {
	sup := suture.New("mesh", suture.Spec{
		EventHook: func(e suture.Event) { n.log.Warn().Str("detail", e.String()).Msg("supervisor") },
		Timeout:   time.Second,
	})
	for _, s := range []suture.Service{
		n.peerServer, n.callerServer, n.controlServer, n.readinessServer, n.metricsServer, n.guard, n.orderFollower, n.peerFollower, n.links, n.sync, n.watch, n.announcer, n.health, n.moves, n.reporter, n.statusWriter,
	} {
		sup.Add(s)
	}
	if n.usageDuty != nil {
		sup.Add(n.usageDuty)
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
	if supErr := <-done; !errors.Is(supErr, context.Canceled) {
		n.log.Warn().Err(supErr).Msg("supervisor_ended")
	}
	n.pool.Close()
	return err
}
