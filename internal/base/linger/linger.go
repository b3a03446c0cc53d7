// Package linger closes connections without losing what was written to them.
//
// A socket that is closed while the peer still sends is reset, and a reset makes the peer's
// kernel drop what it has received and not passed on yet. A caller that pipelines requests, or
// still uploads a body that was refused, thus loses responses that were written completely. The
// connections of this package end only their writing side first, and wait until the peer has
// closed its own.
package linger

import (
	"context"
	"net"
	"sync"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// peerTimeout is how long after the last write a peer may take to read what was written.
	peerTimeout = 5 * clock.Second
	// maxLingering limits the connections that wait for their peers, as each takes a
	// descriptor. At the limit, further ones are closed at once.
	maxLingering = 512
	// pollInterval is how often Wait checks for connections that still wait.
	pollInterval = 10 * clock.Millisecond
)

// Listener is a listener whose connections wait for their peers when they are closed.
type Listener struct {
	net.Listener

	mu sync.Mutex
	// lingering counts the connections that wait.
	lingering int
}

// NewListener returns a listener that accepts the connections of l.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l}
}

// Accept implements net.Listener. Connections other than TCP connections are closed at once when
// they are closed.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	return &Conn{Conn: nc, tcp: tcp, listener: l}, nil
}

// Wait waits until no connection waits for its peer, or until ctx ends. The end of the process
// resets those that still do, if their peers have sent more.
func (l *Listener) Wait(ctx context.Context) {
	for l.count() > 0 && clock.Sleep(ctx, pollInterval) {
	}
}

func (l *Listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lingering
}

// acquire counts a connection that waits, and reports false if there are too many.
func (l *Listener) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lingering >= maxLingering {
		return false
	}
	l.lingering++
	return true
}

func (l *Listener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering--
}

// expired is a deadline that ends reads and writes in progress.
var expired = time.Unix(1, 0)
