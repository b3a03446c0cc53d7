package daemon

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/justinas/alice"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/auth"
	"gitlab.com/cranberrytack/cranberrytack/internal/admin/server"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/config"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
)

// peerServer runs the peer port under the supervisor.
type peerServer struct {
	server   *link.Server
	listener net.Listener
}

// Serve implements suture.Service.
func (p *peerServer) Serve(ctx context.Context) error {
	return p.server.Serve(ctx, p.listener)
}

// httpServer runs an HTTP server under the supervisor.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	limit    int
	closing  atomic.Bool
}

// Serve implements suture.Service.
func (h *httpServer) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = h.server.Close() })
	defer stop()
	err := h.server.Serve(netutil.LimitListener(h.listener, h.limit))
	if h.closing.Load() || errors.Is(err, http.ErrServerClosed) {
		// A graceful stop closed the server; the supervisor must not restart it.
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// acceptedWithin is how long a request may be under way on a connection that
// was accepted just before the listener closed.
const acceptedWithin = 500 * clock.Millisecond

// stop ends the server after all requests. The listener closes first:
// http.Server.Shutdown drops a request that it reads at the same moment, so
// the requests of connections that were just accepted must be read before.
func (h *httpServer) stop(ctx context.Context) error {
	h.closing.Store(true)
	_ = h.listener.Close()
	time.Sleep(acceptedWithin.Duration())
	return h.server.Shutdown(ctx)
}

func newPublicServer(cfg config.Config, handler http.Handler, ready *readiness) *httpServer {
	chain := alice.New(ready.closeWhenStopping)
	return &httpServer{server: baseServer(cfg, chain.Then(handler)), limit: cfg.Limits.Callers}
}

// closeWhenStopping asks callers to close their connection with the answer, so
// that few are idle when the server stops and a request could cross the close.
func (r *readiness) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !r.ok.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, req)
	})
}

func baseServer(cfg config.Config, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: cfg.Limits.HeaderTimeout.Duration(),
		IdleTimeout:       cfg.Limits.IdleTimeout.Duration(),
		MaxHeaderBytes:    cfg.Limits.HeaderBytes,
	}
}

func newAdminServer(cfg config.Config, d *Daemon) *httpServer {
	keeper := auth.New(d.conf.Config, d.clock, cfg.Admin.BootstrapHash)
	api := server.New(d.conf, keeper, d.clock,
		server.WithLogger(d.log),
		server.WithMembers(d),
		server.WithExplain(d.explain),
		server.WithMoves(d.mover),
		server.WithReady(d.ready.check))
	return &httpServer{server: baseServer(cfg, api.Handler()), limit: cfg.Limits.Callers}
}

// Members implements server.Members.
func (d *Daemon) Members() []server.Member {
	targets := d.fleet.Members()
	out := make([]server.Member, 0, len(targets))
	for _, t := range targets {
		m := server.Member{
			ID: t.ID, Centre: t.Centre, Service: t.Service, Version: t.Version,
			State: "live", Revision: d.conf.KnownRevision(t.ID),
		}
		if t.Leaving {
			m.State = "leaving"
		}
		if t.ID == d.self.ID {
			m.Revision = d.conf.Config().Revision
		}
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b server.Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}
