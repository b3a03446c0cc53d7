package link

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// ProtocolVersion changes when daemons can no longer understand each other.
const ProtocolVersion = 1

const (
	handshakeTimeout = 3 * clock.Second
	// maxHandshakeTrip bounds the error of the first clock offset: a session
	// whose handshake took longer, for example because the peer was paused,
	// is given up.
	maxHandshakeTrip = 500 * clock.Millisecond
	// refusalWait is how long a refused peer may take to read the reason.
	refusalWait   = 500 * clock.Millisecond
	acceptBacklog = 1024
	// maxIdleStreams bounds the streams that a session keeps for reuse.
	maxIdleStreams = 256
)

// Identity is what a daemon says of itself in the handshake.
type Identity struct {
	Fleet       string
	Member      string
	Incarnation uint64
}

// Peer is what the other side said.
type Peer struct {
	Member      string
	Incarnation uint64
}

// Session is a connection between two daemons. It is safe for concurrent use.
type Session struct {
	mux    *yamux.Session
	peer   Peer
	offset *ClockOffset
	// open counts the accepted streams.
	open atomic.Int64

	mu   sync.Mutex
	idle [kinds][]*Stream
}

// kind separates streams by their use. A guard that serves calls on a stream
// does not understand control messages on it.
type kind int

const (
	callStream kind = iota
	controlStream
	kinds
)

// Peer returns the identity of the other side.
func (s *Session) Peer() Peer {
	return s.peer
}

// ClockOffset returns the estimate of the peer's clock.
func (s *Session) ClockOffset() *ClockOffset {
	return s.offset
}

// take returns an idle stream or a new one.
func (s *Session) take(k kind) (*Stream, error) {
	s.mu.Lock()
	if n := len(s.idle[k]); n > 0 {
		st := s.idle[k][n-1]
		s.idle[k] = s.idle[k][:n-1]
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

// ReleaseStream keeps a stream for reuse. Only a stream whose last exchange ended
// cleanly may be released; others are closed.
func (s *Session) ReleaseStream(st *Stream) {
	st.SetReadTimeout(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle[st.kind]) >= maxIdleStreams || s.mux.IsClosed() {
		st.Close()
		return
	}
	s.idle[st.kind] = append(s.idle[st.kind], st)
}

// Closed reports whether the session can't be used any more.
func (s *Session) Closed() bool {
	return s.mux.IsClosed()
}

// Close ends the session and all its streams.
func (s *Session) Close() {
	_ = s.mux.Close()
}

// Timing says how soon a silent peer is noticed.
type Timing struct {
	// KeepAliveInterval is the time between checks of a session.
	KeepAliveInterval clock.Milli
	// WriteTimeout is how long a check, or a write of pending frames, may take before
	// the session ends.
	WriteTimeout clock.Milli
	// DialTimeout bounds connecting and the handshake.
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

// dial connects to the daemon at addr and shakes hands.
func dial(ctx context.Context, addr string, self Identity, clk clock.Clock, t Timing) (*Session, error) {
	d := net.Dialer{Timeout: t.DialTimeout.Duration()}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(ErrClosed, err.Error())
	}
	mux, err := yamux.Client(&joinConn{Conn: conn}, muxConfig(t))
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(ErrHandshake, err.Error())
	}
	s := &Session{mux: mux, offset: NewClockOffset()}
	if err := s.greet(ctx, self, clk); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Session) greet(ctx context.Context, self Identity, clk clock.Clock) error {
	conn, err := s.mux.OpenStream()
	if err != nil {
		return errors.Wrap(ErrHandshake, err.Error())
	}
	st := newStream(conn, s)
	defer st.Close()
	stop := context.AfterFunc(ctx, st.Interrupt)
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout.Duration()))
	sent := clk.Now()
	if err := st.Send(helloFrame(self, clk, "")); err != nil {
		return errors.Wrap(ErrHandshake, err.Error())
	}
	hello, err := receiveHello(st)
	if err != nil {
		return err
	}
	now := clk.Now()
	if trip := now - sent; trip > maxHandshakeTrip {
		return errors.Wrapf(ErrHandshake, "peer answered after %.0f ms", float64(trip))
	}
	if hello.GetError() != "" {
		return errors.Wrapf(ErrHandshake, "peer says %q", hello.GetError())
	}
	s.accept(hello, now)
	return nil
}

// welcome answers the handshake of an accepted connection.
func welcome(conn net.Conn, self Identity, clk clock.Clock) (*Session, error) {
	timer := time.AfterFunc(handshakeTimeout.Duration(), func() { _ = conn.Close() })
	defer timer.Stop()
	mux, err := yamux.Server(&joinConn{Conn: conn}, muxConfig(defaultTiming))
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(ErrHandshake, err.Error())
	}
	s := &Session{mux: mux, offset: NewClockOffset()}
	if err := s.answer(self, clk); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Session) answer(self Identity, clk clock.Clock) error {
	conn, err := s.mux.AcceptStream()
	if err != nil {
		return errors.Wrap(ErrHandshake, err.Error())
	}
	st := newStream(conn, s)
	defer st.Close()
	hello, err := receiveHello(st)
	if err != nil {
		return err
	}
	// Read before the reply: the dialer's limit on the round trip then covers
	// a pause of this process.
	now := clk.Now()
	if refusal := refuse(hello, self); refusal != "" {
		_ = st.Send(helloFrame(self, clk, refusal))
		// Closing at once can discard the refusal before the peer has read it.
		st.SetReadTimeout(refusalWait)
		_, _ = st.Receive()
		return errors.Wrap(ErrHandshake, refusal)
	}
	if err := st.Send(helloFrame(self, clk, "")); err != nil {
		return errors.Wrap(ErrHandshake, err.Error())
	}
	s.accept(hello, now)
	return nil
}

func (s *Session) accept(h *wire.Hello, now clock.Milli) {
	s.peer = Peer{Member: h.GetMember(), Incarnation: h.GetIncarnation()}
	s.offset.Observe(now, clock.Milli(h.GetClock()))
}

func refuse(h *wire.Hello, self Identity) string {
	switch {
	case h.GetFleet() != self.Fleet:
		return "wrong fleet " + h.GetFleet()
	case h.GetProtocol() != ProtocolVersion:
		return "wrong protocol version"
	case h.GetMember() == "":
		return "member id missing"
	default:
		return ""
	}
}

func helloFrame(self Identity, clk clock.Clock, refusal string) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{
		Fleet:       self.Fleet,
		Member:      self.Member,
		Incarnation: self.Incarnation,
		Protocol:    ProtocolVersion,
		Clock:       float64(clk.Now()),
		Error:       refusal,
	}}}
}

func receiveHello(st *Stream) (*wire.Hello, error) {
	f, err := st.Receive()
	if err != nil {
		return nil, errors.Wrap(ErrHandshake, err.Error())
	}
	h := f.GetHello()
	if h == nil {
		return nil, errors.Wrap(ErrHandshake, "first frame is no hello")
	}
	return h, nil
}
