// Package httpd runs an HTTP server under a supervisor and stops it without
// losing a request.
package httpd

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// acceptedWithin is how long a request may be under way on a connection that
// was accepted just before the listener closed.
const acceptedWithin = 500 * clock.Millisecond

// Server is one HTTP server. Listener must be set before Serve is called.
type Server struct {
	HTTP     *http.Server
	Listener net.Listener
	// MaxConnections bounds the connections that are open at once.
	MaxConnections int
	closing        atomic.Bool
}

// Serve implements suture.Service.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.HTTP.Close() })
	defer stop()
	err := s.HTTP.Serve(netutil.LimitListener(s.Listener, s.MaxConnections))
	if s.closing.Load() || errors.Is(err, http.ErrServerClosed) {
		// A graceful stop closed the server; the supervisor must not restart it.
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// Stop ends the server after all requests. The listener closes first:
// http.Server.Shutdown drops a request that it reads at the same moment, so
// the requests of connections that were just accepted must be read before.
func (s *Server) Stop(ctx context.Context) error {
	s.closing.Store(true)
	_ = s.Listener.Close()
	time.Sleep(acceptedWithin.Duration())
	return s.HTTP.Shutdown(ctx)
}
