// Package httpd runs an HTTP server under a supervisor and stops it gracefully.
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

// acceptedRequestGrace is how long Stop waits for the first request on connections
// that were accepted just before the listener closed.
const acceptedRequestGrace = 500 * clock.Millisecond

// Server is a supervised HTTP server. HTTP and Listener must be set before Serve
// is called.
type Server struct {
	HTTP     *http.Server
	Listener net.Listener
	// MaxConnections is the maximum number of concurrent connections.
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

// Stop closes the listener, completes all requests and shuts the server down.
// http.Server.Shutdown drops a request that the server is just reading, so Stop
// waits before Shutdown for the requests on newly accepted connections.
func (s *Server) Stop(ctx context.Context) error {
	s.closing.Store(true)
	_ = s.Listener.Close()
	time.Sleep(acceptedRequestGrace.Duration())
	return s.HTTP.Shutdown(ctx)
}
