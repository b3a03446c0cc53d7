package link

import (
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// ProtocolVersion changes with incompatible changes of the protocol. Daemons with
// different versions refuse each other.
const ProtocolVersion = 1

const (
	handshakeTimeout = 3 * clock.Second
	// maxHandshakeRoundTrip bounds the error of the first clock offset. A
	// session whose handshake took longer, for example because the peer was
	// paused, is closed.
	maxHandshakeRoundTrip = 500 * clock.Millisecond
	// refusalReadTimeout is how long a refused peer may take to read the reason.
	refusalReadTimeout = 500 * clock.Millisecond
	acceptBacklog      = 1024
	// maxIdleStreams bounds the streams that a session keeps for reuse.
	maxIdleStreams = 256
)

// Identity is the identity that a daemon sends in the handshake.
type Identity struct {
	Fleet       string
	Member      string
	Incarnation uint64
}

// Peer is the identity that the other daemon sent in the handshake.
type Peer struct {
	Member      string
	Incarnation uint64
}

// Session is a multiplexed connection between two daemons. It is safe for concurrent
// use.
type Session struct {
	mux    *yamux.Session
	conn   *coalescingConn
	peer   Peer
	offset *ClockOffset
	// acceptedStreams is the number of open streams that the peer opened.
	acceptedStreams atomic.Int64

	mu          sync.Mutex
	idleStreams [numStreamKinds][]*Stream

	openMu sync.Mutex
	// open has the streams that are not closed.
	open map[*Stream]struct{}
}

// newSession returns a session over conn, which newMux multiplexes.
func newSession(conn net.Conn, newMux func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error), t Timing) (*Session, error) {
	s := &Session{offset: NewClockOffset(), open: make(map[*Stream]struct{})}
	s.conn = &coalescingConn{Conn: conn, onClose: s.interruptStreams}
	mux, err := newMux(s.conn, muxConfig(t))
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(ErrHandshake, err.Error())
	}
	s.mux = mux
	return s, nil
}

// interruptStreams ends the reads and writes of all streams. The multiplexer closes the
// connection first when a session ends, and the streams only after its last read; until
// then, each stream that waits for data would spin.
func (s *Session) interruptStreams() {
	s.openMu.Lock()
	defer s.openMu.Unlock()
	for st := range s.open {
		st.Interrupt()
	}
}

func (s *Session) addStream(st *Stream) {
	s.openMu.Lock()
	defer s.openMu.Unlock()
	s.open[st] = struct{}{}
	if s.mux.IsClosed() {
		st.Interrupt()
	}
}

func (s *Session) removeStream(st *Stream) {
	s.openMu.Lock()
	defer s.openMu.Unlock()
	delete(s.open, st)
}

// streamKind is the use of a stream. Idle streams are kept apart by it, as a guard
// that serves calls on a stream does not accept control messages on it.
type streamKind int

const (
	callStream streamKind = iota
	controlStream
	numStreamKinds
)

// Peer returns the identity of the other daemon.
func (s *Session) Peer() Peer {
	return s.peer
}

// ClockOffset returns the estimated difference between the local and the peer's clock.
func (s *Session) ClockOffset() *ClockOffset {
	return s.offset
}

// acquireStream returns an idle stream of the kind, or opens one.
func (s *Session) acquireStream(k streamKind) (*Stream, error) {
	s.mu.Lock()
	if n := len(s.idleStreams[k]); n > 0 {
		st := s.idleStreams[k][n-1]
		s.idleStreams[k] = s.idleStreams[k][:n-1]
		s.mu.Unlock()
		return st, nil
	}
	s.mu.Unlock()
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, errors.Wrap(ErrClosed, err.Error())
	}
	st := newStream(conn, s)
	st.kind = k
	return st, nil
}

// ReleaseStream returns a stream to the session for reuse. A stream whose last
// exchange failed must be closed instead.
func (s *Session) ReleaseStream(st *Stream) {
	st.SetReadTimeout(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idleStreams[st.kind]) >= maxIdleStreams || s.mux.IsClosed() {
		st.Close()
		return
	}
	st.releasedAt = time.Now()
	s.idleStreams[st.kind] = append(s.idleStreams[st.kind], st)
}

// closeIdleStreams closes the streams that were released before t. Each idle stream
// takes memory at both ends.
func (s *Session) closeIdleStreams(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, idle := range s.idleStreams {
		// The longest idle ones are first.
		n := 0
		for n < len(idle) && idle[n].releasedAt.Before(t) {
			idle[n].Close()
			n++
		}
		s.idleStreams[k] = slices.Delete(idle, 0, n)
	}
}

// closeWhenSilent closes the session when the peer, which sends keep-alive probes, sends
// nothing for d.
func (s *Session) closeWhenSilent(d clock.Milli) {
	s.conn.maxSilence.Store(int64(d.Duration()))
	// The read in progress has no deadline.
	_ = s.conn.SetReadDeadline(time.Now().Add(d.Duration()))
}

// Closed reports whether the session has ended, at either side.
func (s *Session) Closed() bool {
	return s.mux.IsClosed()
}

// Close closes the session and all its streams.
func (s *Session) Close() {
	_ = s.mux.Close()
}

// Timing determines how soon an unresponsive peer is detected.
type Timing struct {
	// KeepAliveInterval is the time between keep-alive probes of a session.
	KeepAliveInterval clock.Milli
	// WriteTimeout is how long a keep-alive probe, or a write of pending frames, may
	// take before the session is closed.
	WriteTimeout clock.Milli
	// DialTimeout bounds the time to connect and shake hands.
	DialTimeout clock.Milli
}

var defaultTiming = Timing{KeepAliveInterval: 10 * clock.Second, WriteTimeout: 5 * clock.Second, DialTimeout: handshakeTimeout}

func muxConfig(t Timing) *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.KeepAliveInterval = t.KeepAliveInterval.Duration()
	c.ConnectionWriteTimeout = t.WriteTimeout.Duration()
	c.StreamOpenTimeout = handshakeTimeout.Duration()
	c.StreamCloseTimeout = clock.Minute.Duration()
	c.LogOutput = io.Discard
	return c
}

// dial connects to the daemon at addr and performs the client side of the handshake.
func dial(ctx context.Context, addr string, self Identity, clk clock.Clock, t Timing) (*Session, error) {
	d := net.Dialer{Timeout: t.DialTimeout.Duration()}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(ErrClosed, err.Error())
	}
	s, err := newSession(conn, yamux.Client, t)
	if err != nil {
		return nil, err
	}
	if err := s.clientHandshake(ctx, self, clk); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// acceptSession performs the server side of the handshake on an accepted connection.
func acceptSession(conn net.Conn, self Identity, clk clock.Clock) (*Session, error) {
	timer := time.AfterFunc(handshakeTimeout.Duration(), func() { _ = conn.Close() })
	defer timer.Stop()
	s, err := newSession(conn, yamux.Server, defaultTiming)
	if err != nil {
		return nil, err
	}
	if err := s.serverHandshake(self, clk); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}
