// Package pipe runs the pipelined HTTP/1.1 requests of a connection concurrently.
//
// A net/http server handles the requests of a connection one after the other, so a
// slow response delays all later ones. This package reads ahead on the connection and
// starts idempotent requests while earlier ones are still in progress. The server still
// parses every request and writes every response, in order; when it reaches a request
// that was started early, it writes the response recorded so far and then the rest.
//
// Only requests that may be repeated are started early, and only behind requests that
// may be repeated, because a connection may close before their response is due. A
// caller then sends them again.
package pipe

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// maxEarlyPerConn is the number of requests of a connection that were started
	// early and wait for their turn.
	maxEarlyPerConn = 8
	// maxEarly is the number of such requests of all connections.
	maxEarly = 256
	// maxQueuedPerConn is the number of requests of a connection that are read ahead.
	maxQueuedPerConn = 16
	// maxEarlyBodyBytes is the size of the largest request body that is read ahead.
	maxEarlyBodyBytes = 16 << 10
	// messageBytes is the cost of a request that is read ahead besides its head and body.
	messageBytes = 4 << 10
	// maxRecordedBytes is the size up to which a response is recorded before its turn.
	// The handler of a larger response waits.
	maxRecordedBytes = 32 << 10
)

// Pipeline starts pipelined requests early. It is safe for concurrent use.
type Pipeline struct {
	next       http.Handler
	repeatable func(*http.Request) bool
	stopping   func() bool
	room       Room
	// early counts the requests that were started early and whose response was not
	// written.
	early atomic.Int64

	mu sync.Mutex
	// conns has the open connections.
	conns map[*conn]bool
}

// Option changes a Pipeline.
type Option func(*Pipeline)

// WithRepeatable sets the function that reports whether a request may run more than
// once. It must not change the request. Without it, no request is started early.
func WithRepeatable(f func(*http.Request) bool) Option {
	return func(p *Pipeline) { p.repeatable = f }
}

// Room charges n bytes that are read ahead on the connection of ctx. The returned function
// gives them back. Without room it reports false.
type Room func(ctx context.Context, n int64) (give func(), ok bool)

// WithRoom sets what is charged for requests that are read ahead. Without room for a request,
// the server reads it and all later ones itself.
func WithRoom(room Room) Option {
	return func(p *Pipeline) { p.room = room }
}

// WithStopping sets the function that reports whether the server is stopping.
// Connections are then closed after the last response that was started.
func WithStopping(f func() bool) Option {
	return func(p *Pipeline) { p.stopping = f }
}

// New returns a pipeline.
func New(opts ...Option) *Pipeline {
	p := &Pipeline{
		repeatable: func(*http.Request) bool { return false },
		stopping:   func() bool { return false },
		room:       func(context.Context, int64) (func(), bool) { return func() {}, true },
		conns:      make(map[*conn]bool),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Unanswered returns the number of requests that were started early, or read completely
// behind another one, and whose response was not written. A server that stops waits until
// there is none.
func (p *Pipeline) Unanswered() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		n += c.unanswered()
	}
	return n
}

func (p *Pipeline) add(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *Pipeline) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// tryStart reports whether another request may be started early, and counts it.
func (p *Pipeline) tryStart() bool {
	if p.early.Add(1) > maxEarly {
		p.early.Add(-1)
		return false
	}
	return true
}

// Listener returns a listener whose connections are read ahead.
func (p *Pipeline) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, pipeline: p}
}

type listener struct {
	net.Listener
	pipeline *Pipeline
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := newConn(c, l.pipeline)
	l.pipeline.add(accepted)
	return accepted, nil
}

type connKey struct{}

// ConnContext is the http.Server.ConnContext of a server with a Listener. The context
// ends when the caller disconnects, also while further requests are buffered.
func (p *Pipeline) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*conn)
	if !ok {
		return ctx
	}
	return c.start(context.WithValue(ctx, connKey{}, c))
}

// Middleware returns the handler of the server. It passes requests to next, unless
// they were started early.
func (p *Pipeline) Middleware(next http.Handler) http.Handler {
	p.next = next
	return p
}

// ServeHTTP implements http.Handler.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		if p.stopping() {
			w.Header().Set("Connection", "close")
		}
		p.next.ServeHTTP(w, r)
		return
	}
	early := c.begin(r)
	defer c.end()
	closing := &closingWriter{ResponseWriter: w, conn: c}
	if early == nil {
		p.next.ServeHTTP(closing, r)
	} else {
		early.respond(closing)
	}
	closing.setClose()
}
