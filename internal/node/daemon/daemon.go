// Package daemon builds a daemon from its settings and runs it under a
// supervisor tree.
package daemon

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/report"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/config"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/httpd"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/follow"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/gossip"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/centre"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/entry"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/guard"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// Daemon runs the entry and the guard of one upstream, with the services that
// they need.
type Daemon struct {
	cfg         config.Config
	log         zerolog.Logger
	clock       clock.Clock
	self        call.Target
	pool        *link.Pool
	guard       *guard.Guard
	entry       *entry.Entry
	peerServer  *link.SupervisedServer
	entryServer *httpd.Server
	adminServer *httpd.Server
	ready       readiness
	fleet       *fleet
	seeds       *seeds
	meter       *budget.Meter
	conf        *follow.Follower
	moves       *moveController
	explainer   *explainer
}

// New builds a daemon and opens its listeners. Run starts serving on them.
func New(cfg config.Config, log zerolog.Logger) (*Daemon, error) {
	realClock := clock.NewReal()
	d := &Daemon{cfg: cfg, log: log, clock: realClock, self: targetFromConfig(cfg, realClock.Now())}
	assert.SetLogger(log)
	id := link.Identity{Fleet: cfg.Node.Fleet, Member: d.self.ID, Incarnation: d.self.Incarnation}
	d.pool = link.NewPool(id, realClock)
	logClient := applog.NewClient(cfg.Log.URL)
	limiter := budget.NewLimiter(realClock.Now())
	d.meter = budget.NewMeter(realClock, limiter)
	d.seeds = &seeds{self: d.self.ID, log: logClient, clock: realClock, contactedAt: make(map[string]clock.Milli)}
	var err error
	d.fleet, err = newFleet(d.self, gossip.Settings{
		Fleet: cfg.Node.Fleet, Clock: realClock, Log: log, Meter: d.meter, Limiter: limiter,
		Syncer: syncer{pool: d.pool}, Seeds: d.seeds,
	})
	if err != nil {
		return nil, err
	}
	d.conf = follow.New(logClient, d.configPeers, func(o *follow.Options) {
		o.Member, o.Clock, o.Logger = d.self.ID, realClock, log
	})
	d.seeds.fleet, d.seeds.conf = d.fleet, d.conf
	d.explainer = &explainer{daemon: d, store: report.NewStore(realClock.Now(), report.Options{})}
	d.buildCallPath()
	d.peerServer = &link.SupervisedServer{Server: link.NewServer(id, realClock, d.handlers()...)}
	d.entryServer = newEntryServer(cfg, d.entry, &d.ready)
	d.adminServer = newAdminServer(cfg, d)
	return d, d.listen()
}

// buildCallPath creates the guard, the entry, and the controller of the moves.
func (d *Daemon) buildCallPath() {
	rules := newRules(d.self, d.conf.Config)
	stats := newCallStats(d.self, d.clock.Now())
	d.guard = guard.New(d.self, d.cfg.Listen.UpstreamAddr, d.clock,
		guard.WithLogger(d.log), guard.WithAdmissionCheck(rules.checkAdmission), guard.WithDispatchHook(rules.assertDispatch),
		guard.WithSampleHandler(func(s guard.Sample) { stats.recordCall(d.clock.Now(), s, d.guard.UpstreamState().Cold) }))
	d.entry = entry.New(d.self, d.clock, d.pool, d.fleet, rules, entry.WithLogger(d.log), entry.WithPolicy(d.conf.Config), entry.WithSummaryHandler(d.explainer.recordDecision))
	d.moves = &moveController{
		self: d.self, clock: d.clock, log: d.log, control: d.control(), conf: d.conf, fleet: d.fleet,
		guard: d.guard, callStats: stats, rules: rules, store: d.explainer.store,
		sendSlots:  make(chan struct{}, maxConcurrentSends),
		centreCore: centre.New(centre.WithRampDuration(d.cfg.Moves.Ramp)), shiftCore: shift.New(d.self.ID),
		liveMembers: make(map[string]bool), statuses: make(map[string]*wire.StatusReply), history: newHistory(), loads: newServiceLoads(),
	}
	d.conf.Subscribe(d.moves.configure)
}

// handlers returns the options of the peer server, among them the handlers of
// streams and control messages.
func (d *Daemon) handlers() []link.ServerOption {
	return []link.ServerOption{
		link.WithLogger(d.log),
		link.WithMaxSessions(d.cfg.Limits.MaxPeers),
		link.WithStreamHandler(d.guard.HandleStream),
		link.WithControlHandler(wire.ControlKind_CONTROL_KIND_PROBE, d.guard.Probe),
		link.WithControlHandler(wire.ControlKind_CONTROL_KIND_SYNC, d.fleet.handleSync),
		controlHandler(d.meter, wire.ControlKind_CONTROL_KIND_REVISIONS, d.handleConfigExchange),
		controlHandler(d.meter, wire.ControlKind_CONTROL_KIND_REPORT, d.explainer.handleQuery),
		controlHandler(d.meter, wire.ControlKind_CONTROL_KIND_STATUS, d.moves.handleStatus),
		controlHandler(d.meter, wire.ControlKind_CONTROL_KIND_EVIDENCE, d.moves.handleEvidence),
	}
}

func (d *Daemon) control() control {
	return control{pool: d.pool, meter: d.meter}
}

func (d *Daemon) handleConfigExchange(_ context.Context, m *wire.ConfExchange) (*wire.ConfReply, error) {
	return d.conf.HandleExchange(m)
}

// configPeers returns the members with which configuration is exchanged.
func (d *Daemon) configPeers() []follow.Peer {
	members := d.fleet.Members()
	out := make([]follow.Peer, 0, len(members))
	for _, t := range members {
		if t.ID != d.self.ID {
			out = append(out, peer{control: d.control(), id: t.ID})
		}
	}
	return out
}

// targetFromConfig returns the daemon's own target. The start time is its
// incarnation.
func targetFromConfig(cfg config.Config, now clock.Milli) call.Target {
	return call.Target{
		ID:             cfg.Listen.PeerAddr,
		Incarnation:    uint64(now),
		Service:        cfg.Node.Service,
		Version:        cfg.Node.Version,
		Centre:         cfg.Node.Centre,
		Region:         cfg.Node.Region,
		Slots:          cfg.Node.Slots,
		MaxConnections: cfg.Node.Connections,
	}
}

func (d *Daemon) listen() error {
	addrs := d.cfg.Listen
	return httpd.Listen(
		httpd.Address{Addr: addrs.PeerAddr, SetListener: func(l net.Listener) { d.peerServer.Listener = l }},
		httpd.Address{Addr: addrs.EntryAddr, SetListener: func(l net.Listener) { d.entryServer.Listener = l }},
		httpd.Address{Addr: addrs.AdminAddr, SetListener: func(l net.Listener) { d.adminServer.Listener = l }},
	)
}

// Run serves until ctx ends and then stops gracefully. It returns an error that
// wraps ErrStopTimeout if the stop interrupted calls.
func (d *Daemon) Run(ctx context.Context) error {
	sup := suture.New("daemon", suture.Spec{
		EventHook: func(e suture.Event) { d.log.Warn().Str("detail", e.String()).Msg("supervisor") },
		Timeout:   time.Second,
	})
	for _, s := range []suture.Service{d.peerServer, d.entryServer, d.adminServer, d.guard, d.fleet, d.seeds, d.conf, d.moves} {
		sup.Add(s)
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := sup.ServeBackground(runCtx)
	d.ready.set(true)
	d.log.Info().Str("member", d.self.ID).Str("service", d.self.Service).Str("centre", d.self.Centre).
		Int("pid", os.Getpid()).Msg("daemon_started")
	select {
	case <-ctx.Done():
	case err := <-done:
		return errors.Wrap(err, "supervisor ended")
	}
	err := d.stop()
	cancel()
	if supErr := <-done; !errors.Is(supErr, context.Canceled) {
		d.log.Warn().Err(supErr).Msg("supervisor_ended")
	}
	d.pool.Close()
	return err
}
