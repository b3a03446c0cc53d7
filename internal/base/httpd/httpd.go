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
	"gitlab.com/cranberrytack/cranberrytack/internal/base/linger"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/pipe"
)

// acceptedRequestGrace is how long Stop waits for the first request on connections
// that were accepted just before the listener closed.
const acceptedRequestGrace = 500 * clock.Millisecond

// pipelinePollInterval is how often Stop checks for unanswered pipelined requests.
const pipelinePollInterval = 10 * clock.Millisecond

// Gate charges connections for what they cost.
type Gate interface {
	Listener(l net.Listener) net.Listener
	ConnContext(ctx context.Context, nc net.Conn) context.Context
}

// Server is a supervised HTTP server. HTTP and Listener must be set before Serve
// is called.
type Server struct {
	HTTP     *http.Server
	Listener net.Listener
	// MaxConnections is the maximum number of concurrent connections.
	MaxConnections int
	// Pipeline, if set, runs pipelined requests concurrently. The handler of HTTP must
	// be one that its Middleware returned.
	Pipeline *pipe.Pipeline
	// Gate, if set, sees each connection.
	Gate    Gate
	closing atomic.Bool
	// lingering has the connections that wait for their callers to close, once Serve was called.
	lingering atomic.Pointer[linger.Listener]
}

// Serve implements suture.Service.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.HTTP.Close() })
	defer stop()
	lingering := linger.NewListener(s.Listener)
	s.lingering.Store(lingering)
	listener := netutil.LimitListener(lingering, s.MaxConnections)
	err := s.HTTP.Serve(s.wrap(listener))
	if s.closing.Load() || errors.Is(err, http.ErrServerClosed) {
		// A graceful stop closed the server; the supervisor must not restart it.
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// wrap adds the gate and the pipeline to the listener and to the contexts of connections.
func (s *Server) wrap(l net.Listener) net.Listener {
	if s.Gate != nil {
		l = s.Gate.Listener(l)
	}
	if s.Pipeline != nil {
		l = s.Pipeline.Listener(l)
	}
	s.HTTP.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if s.Gate != nil {
			ctx = s.Gate.ConnContext(ctx, nc)
		}
		if s.Pipeline != nil {
			ctx = s.Pipeline.ConnContext(ctx, nc)
		}
		return ctx
	}
	return l
}

// Stop closes the listener, completes all requests, shuts the server down and waits until the
// callers have read the responses, at most until the end of ctx.
// http.Server.Shutdown drops a request that the server is just reading, so Stop
// waits before Shutdown for the requests on newly accepted connections.
func (s *Server) Stop(ctx context.Context) error {
	s.closing.Store(true)
	_ = s.Listener.Close()
	time.Sleep(acceptedRequestGrace.Duration())
	if s.Pipeline != nil {
		s.awaitPipeline(ctx)
	}
	err := s.HTTP.Shutdown(ctx)
	if lingering := s.lingering.Load(); lingering != nil {
		lingering.Wait(ctx)
	}
	return err
}

// awaitPipeline waits until all requests that were started early have been answered.
// Shutdown takes a connection between two responses for an idle one.
func (s *Server) awaitPipeline(ctx context.Context) {
	for s.Pipeline.Unanswered() > 0 && clock.Sleep(ctx, pipelinePollInterval) {
	}
}
