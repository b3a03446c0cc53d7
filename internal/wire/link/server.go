package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// ControlHandler handles the control messages of one kind and returns the payload of
// the reply. An error is sent to the peer as text.
type ControlHandler func(ctx context.Context, from Peer, payload []byte) ([]byte, error)

// StreamHandler serves a stream whose first frame is neither a Hello nor a Control.
// The stream is closed when it returns.
type StreamHandler func(ctx context.Context, st *Stream, first *wire.Frame)

// DefaultMaxSessions bounds the sessions that a server holds at once. It allows one
// for each of up to 3,200 daemons, with room for reconnects.
const DefaultMaxSessions = 4096

// DefaultMaxStreams bounds the open streams of one session. An entry needs one per
// call in progress at the guard, whose upstream accepts about 240 connections.
const DefaultMaxStreams = 2048

// acceptRetryDelay is the wait before the next accept after a failed one.
const acceptRetryDelay = 50 * clock.Millisecond

// Server accepts sessions from other daemons.
type Server struct {
	self            Identity
	clock           clock.Clock
	log             zerolog.Logger
	streamHandler   StreamHandler
	controlHandlers map[wire.ControlKind]ControlHandler
	maxSessions     int
	maxStreams      int64
	peerHandler     func(Peer)
	// pool, if set, also uses the accepted sessions.
	pool *Pool

	mu sync.Mutex
	// sessions has a nil value for a connection during its handshake.
	sessions map[net.Conn]*Session
	// dialed has the sessions that the pool dialed.
	dialed map[*Session]bool
	closed bool
	wg     sync.WaitGroup
}

// ServerOption changes a Server.
type ServerOption func(*Server)

// WithStreamHandler sets the handler of call and fence streams. Without it, such
// streams are protocol errors.
func WithStreamHandler(h StreamHandler) ServerOption {
	return func(s *Server) { s.streamHandler = h }
}

// WithControlHandler sets the handler of one kind of control messages.
func WithControlHandler(kind wire.ControlKind, h ControlHandler) ServerOption {
	return func(s *Server) { s.controlHandlers[kind] = h }
}

// WithLogger sets the logger; the default discards all events.
func WithLogger(l zerolog.Logger) ServerOption {
	return func(s *Server) { s.log = l }
}

// WithMaxSessions replaces DefaultMaxSessions.
func WithMaxSessions(n int) ServerOption {
	return func(s *Server) { s.maxSessions = n }
}

// WithMaxStreams replaces DefaultMaxStreams.
func WithMaxStreams(n int) ServerOption {
	return func(s *Server) { s.maxStreams = int64(n) }
}

// WithPeerHandler sets a callback that receives the identity of each peer that opens
// a session.
func WithPeerHandler(f func(Peer)) ServerOption {
	return func(s *Server) { s.peerHandler = f }
}

// NewServer returns a server that identifies itself to peers as self.
func NewServer(self Identity, clk clock.Clock, opts ...ServerOption) *Server {
	s := &Server{
		self:            self,
		clock:           clk,
		log:             zerolog.Nop(),
		controlHandlers: make(map[wire.ControlKind]ControlHandler),
		maxSessions:     DefaultMaxSessions,
		maxStreams:      DefaultMaxStreams,
		peerHandler:     func(Peer) {},
		sessions:        make(map[net.Conn]*Session),
		dialed:          make(map[*Session]bool),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Serve accepts sessions until the listener closes or ctx ends, then closes
// all sessions and waits for their handlers.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer s.wg.Wait()
	defer s.closeAll()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(ErrClosed, err.Error())
			}
			// Existing sessions must survive a failed accept, for example because of
			// too many open files.
			s.log.Warn().Err(err).Msg("accept_failed")
			time.Sleep(acceptRetryDelay.Duration())
			continue
		}
		if !s.register(conn) {
			s.log.Warn().Str("peer", conn.RemoteAddr().String()).Int("limit", s.maxSessions).Msg("peer_refused")
			_ = conn.Close()
			continue
		}
		s.wg.Add(1)
		go s.serveSession(ctx, conn)
	}
}

func (s *Server) register(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= s.maxSessions {
		return false
	}
	s.sessions[conn] = nil
	return true
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for sess := range s.dialed {
		sess.Close()
	}
	for conn, sess := range s.sessions {
		if sess != nil {
			sess.Close()
		}
		_ = conn.Close()
	}
}

// serveSession performs the handshake on a connection and serves its streams.
func (s *Server) serveSession(ctx context.Context, conn net.Conn) {
	defer s.wg.Done()
	defer func() {
		s.mu.Lock()
		delete(s.sessions, conn)
		s.mu.Unlock()
	}()
	sess, err := acceptSession(conn, s.self, s.clock)
	if err != nil {
		s.log.Warn().Str("peer", conn.RemoteAddr().String()).Err(err).Msg("handshake_failed")
		return
	}
	defer sess.Close()
	s.mu.Lock()
	s.sessions[conn] = sess
	s.mu.Unlock()
	s.peerHandler(sess.Peer())
	if s.pool != nil {
		sess.closeWhenSilent(s.pool.timing.KeepAliveInterval + s.pool.timing.WriteTimeout)
		s.pool.adopt(sess)
	}
	s.serveStreams(ctx, sess)
}

// serveDialed serves the streams that the peer opens on a session that the pool dialed,
// until the session or the server ends.
func (s *Server) serveDialed(sess *Session) {
	defer sess.Close()
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.dialed[sess] = true
	s.wg.Add(1)
	s.mu.Unlock()
	defer s.wg.Done()
	defer func() {
		s.mu.Lock()
		delete(s.dialed, sess)
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.serveStreams(ctx, sess)
}

// serveStreams serves the streams of a session until it ends.
func (s *Server) serveStreams(ctx context.Context, sess *Session) {
	for {
		c, err := sess.mux.AcceptStream()
		if err != nil {
			return
		}
		if sess.acceptedStreams.Add(1) > s.maxStreams {
			s.log.Warn().Str("peer", sess.Peer().Member).Int64("limit", s.maxStreams).Msg("too_many_streams")
			return
		}
		s.wg.Add(1)
		go s.serveStream(ctx, newStream(c, sess))
	}
}

// serveStream handles the control messages of a stream until the peer closes it, or
// passes it to the stream handler.
func (s *Server) serveStream(ctx context.Context, st *Stream) {
	defer s.wg.Done()
	defer st.Session().acceptedStreams.Add(-1)
	defer st.Close()
	for {
		f, err := st.Receive()
		if err != nil {
			s.closeOnProtocolError(st, err)
			return
		}
		if c := f.GetControl(); c != nil {
			if s.handleControl(ctx, st, c) != nil {
				return
			}
			continue
		}
		if s.streamHandler == nil || f.GetHello() != nil {
			s.closeOnProtocolError(st, errors.Wrap(ErrMalformedFrame, "unexpected frame type"))
			return
		}
		s.streamHandler(ctx, st, f)
		return
	}
}

// closeOnProtocolError logs a protocol error and closes the session that it occurred
// on. Other errors only end the stream.
func (s *Server) closeOnProtocolError(st *Stream, err error) {
	if !errors.Is(err, ErrFrameTooLarge) && !errors.Is(err, ErrMalformedFrame) {
		return
	}
	s.log.Warn().Str("peer", st.Session().Peer().Member).Err(err).Msg("bad_frame")
	st.Session().Close()
}

func (s *Server) handleControl(ctx context.Context, st *Stream, c *wire.Control) error {
	reply := &wire.ControlReply{}
	h := s.controlHandlers[c.GetKind()]
	if h == nil {
		reply.Error = "no handler for " + c.GetKind().String()
	} else if payload, err := h(ctx, st.Session().Peer(), c.GetPayload()); err != nil {
		reply.Error = err.Error()
	} else {
		reply.Payload = payload
	}
	return st.Send(&wire.Frame{Body: &wire.Frame_ControlReply{ControlReply: reply}})
}
