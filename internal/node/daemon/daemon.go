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

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/config"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/entry"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/guard"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
)

// ErrListen says that an address of the settings can't be used.
var ErrListen = errors.New("listen failed")

// Daemon is one running daemon.
type Daemon struct {
	cfg    config.Config
	log    zerolog.Logger
	clock  clock.Clock
	self   call.Target
	pool   *link.Pool
	guard  *guard.Guard
	entry  *entry.Entry
	peers  *peerServer
	public *httpServer
	admin  *httpServer
	ready  readiness
	roster *announcer
	rules  *rules
}

// New builds a daemon and opens its listeners.
func New(cfg config.Config, log zerolog.Logger) (*Daemon, error) {
	clk := clock.NewReal()
	d := &Daemon{cfg: cfg, log: log, clock: clk, self: target(cfg, clk.Now())}
	assert.SetLogger(log)
	id := link.Identity{Fleet: cfg.Node.Fleet, Member: d.self.ID, Incarnation: d.self.Incarnation}
	d.pool = link.NewPool(id, clk)
	d.rules = newRules(d.self)
	d.roster = newAnnouncer(applog.NewHTTP(cfg.Log.URL), d.self, clk, log)
	d.guard = guard.New(d.self, cfg.Listen.Upstream, clk, guard.WithLogger(log), guard.WithGate(d.rules.gate))
	d.entry = entry.New(d.self, clk, d.pool, d.roster, d.rules, entry.WithLogger(log))
	server := link.NewServer(id, clk, link.WithLogger(log), link.WithCalls(d.guard.Handle), link.WithMaxSessions(cfg.Limits.Peers))
	d.peers = &peerServer{server: server}
	d.public = newPublicServer(cfg, d.entry)
	d.admin = newAdminServer(cfg, d)
	return d, d.listen()
}

// target describes the daemon's own upstream.
func target(cfg config.Config, now clock.Milli) call.Target {
	return call.Target{
		ID:          cfg.Listen.Peer,
		Incarnation: uint64(now),
		Service:     cfg.Node.Service,
		Version:     cfg.Node.Version,
		Centre:      cfg.Node.Centre,
		Region:      cfg.Node.Region,
		Slots:       cfg.Node.Slots,
		Connections: cfg.Node.Connections,
	}
}

func (d *Daemon) listen() error {
	for _, l := range []struct {
		addr string
		set  func(net.Listener)
	}{
		{d.cfg.Listen.Peer, func(l net.Listener) { d.peers.listener = l }},
		{d.cfg.Listen.Entry, func(l net.Listener) { d.public.listener = l }},
		{d.cfg.Listen.Admin, func(l net.Listener) { d.admin.listener = l }},
	} {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return errors.Wrap(ErrListen, err.Error())
		}
		l.set(ln)
	}
	return nil
}

// Run serves until ctx ends and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	sup := suture.New("daemon", suture.Spec{
		EventHook: func(e suture.Event) { d.log.Warn().Str("detail", e.String()).Msg("supervisor") },
		Timeout:   time.Second,
	})
	for _, s := range []suture.Service{d.peers, d.public, d.admin, d.guard, d.roster} {
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
	if down := <-done; !errors.Is(down, context.Canceled) {
		d.log.Warn().Err(down).Msg("supervisor_ended")
	}
	d.pool.Close()
	return err
}
