package daemon

import (
	"context"
	"expvar"
	"net"
	"net/http"

	"github.com/justinas/alice"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

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
}

// Serve implements suture.Service.
func (h *httpServer) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = h.server.Close() })
	defer stop()
	err := h.server.Serve(netutil.LimitListener(h.listener, h.limit))
	if errors.Is(err, http.ErrServerClosed) {
		// A graceful stop closed the server; the supervisor must not restart it.
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func newPublicServer(cfg config.Config, handler http.Handler) *httpServer {
	return &httpServer{server: baseServer(cfg, handler), limit: cfg.Limits.Callers}
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
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready.ok.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	chain := alice.New(limitBody)
	return &httpServer{server: baseServer(cfg, chain.Then(mux)), limit: cfg.Limits.Callers}
}

// limitBody bounds the request bodies of the administration port.
func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, link.MaxFrameBytes)
		next.ServeHTTP(w, r)
	})
}
