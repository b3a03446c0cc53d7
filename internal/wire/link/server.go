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

// ControlHandler answers the control messages of one kind.
type ControlHandler func(ctx context.Context, from Peer, payload []byte) ([]byte, error)

// StreamHandler serves a stream from its first frame on, which is neither a
// Hello nor a Control. It returns when the stream is done.
type StreamHandler func(ctx context.Context, st *Stream, first *wire.Frame)

// DefaultMaxSessions bounds the sessions that a server accepts. Each of the
// 3,200 daemons planned for may hold one, with room for reconnects.
const DefaultMaxSessions = 4096

// DefaultMaxStreams bounds the streams of one session. An entry needs one per
// call in progress at the guard, whose upstream accepts some 240 connections.
const DefaultMaxStreams = 2048

// acceptPause is the wait after a failed accept.
const acceptPause = 50 * clock.Millisecond

// Server accepts sessions from other daemons.
type Server struct {
	self        Identity
	clock       clock.Clock
	log         zerolog.Logger
	calls       StreamHandler
	control     map[wire.ControlKind]ControlHandler
	maxSessions int
	maxStreams  int64
	met         func(Peer)

	mu       sync.Mutex
	sessions map[net.Conn]*Session
	wg       sync.WaitGroup
}

// ServerOption changes a Server.
type ServerOption func(*Server)

// WithStreamHandler sets the handler of call and fence streams.
func WithStreamHandler(h StreamHandler) ServerOption {
	return func(s *Server) { s.calls = h }
}

// WithControlHandler sets the handler of one kind of control messages.
func WithControlHandler(kind wire.ControlKind, h ControlHandler) ServerOption {
	return func(s *Server) { s.control[kind] = h }
}

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) ServerOption {
	return func(s *Server) { s.log = l }
}

// WithMaxSessions bounds the sessions held at once.
func WithMaxSessions(n int) ServerOption {
	return func(s *Server) { s.maxSessions = n }
}

// WithMaxStreams bounds the streams that one session has open at once.
func WithMaxStreams(n int) ServerOption {
	return func(s *Server) { s.maxStreams = int64(n) }
}

// WithPeerHandler sets the receiver of the identity of each peer that opens a session.
func WithPeerHandler(f func(Peer)) ServerOption {
	return func(s *Server) { s.met = f }
}

// NewServer returns a server.
func NewServer(self Identity, clk clock.Clock, opts ...ServerOption) *Server {
	s := &Server{
		self:        self,
		clock:       clk,
		log:         zerolog.Nop(),
		control:     make(map[wire.ControlKind]ControlHandler),
		maxSessions: DefaultMaxSessions,
		maxStreams:  DefaultMaxStreams,
		met:         func(Peer) {},
		sessions:    make(map[net.Conn]*Session),
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
			// For example too many open files: the sessions in use must go on.
			s.log.Warn().Err(err).Msg("accept_failed")
			time.Sleep(acceptPause.Duration())
			continue
		}
		if !s.register(conn) {
			s.log.Warn().Str("peer", conn.RemoteAddr().String()).Int("limit", s.maxSessions).Msg("peer_refused")
			_ = conn.Close()
			continue
		}
		s.wg.Add(1)
		go s.run(ctx, conn)
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
	for conn, sess := range s.sessions {
		if sess != nil {
			sess.Close()
		}
		_ = conn.Close()
	}
}

// run serves one session.
func (s *Server) run(ctx context.Context, conn net.Conn) {
	defer s.wg.Done()
	defer func() {
		s.mu.Lock()
		delete(s.sessions, conn)
		s.mu.Unlock()
	}()
	sess, err := welcome(conn, s.self, s.clock)
	if err != nil {
		s.log.Warn().Str("peer", conn.RemoteAddr().String()).Err(err).Msg("handshake_failed")
		return
	}
	defer sess.Close()
	s.mu.Lock()
	s.sessions[conn] = sess
	s.mu.Unlock()
	s.met(sess.Peer())
	for {
		c, err := sess.mux.AcceptStream()
		if err != nil {
			return
		}
		if sess.open.Add(1) > s.maxStreams {
			s.log.Warn().Str("peer", sess.Peer().Member).Int64("limit", s.maxStreams).Msg("too_many_streams")
			return
		}
		s.wg.Add(1)
		go s.loop(ctx, newStream(c, sess))
	}
}

// loop serves one stream until the peer closes it.
func (s *Server) loop(ctx context.Context, st *Stream) {
	defer s.wg.Done()
	defer st.Session().open.Add(-1)
	defer st.Close()
	for {
		f, err := st.Receive()
		if err != nil {
			s.report(st, err)
			return
		}
		if c := f.GetControl(); c != nil {
			if s.answer(ctx, st, c) != nil {
				return
			}
			continue
		}
		if s.calls == nil || f.GetHello() != nil {
			s.report(st, errors.Wrap(ErrMalformedFrame, "unexpected first frame"))
			return
		}
		s.calls(ctx, st, f)
		return
	}
}

// report logs a protocol error and ends the session it came from. The end of
// a stream is no error.
func (s *Server) report(st *Stream, err error) {
	if !errors.Is(err, ErrFrameTooLarge) && !errors.Is(err, ErrMalformedFrame) {
		return
	}
	s.log.Warn().Str("peer", st.Session().Peer().Member).Err(err).Msg("bad_frame")
	st.Session().Close()
}

func (s *Server) answer(ctx context.Context, st *Stream, c *wire.Control) error {
	reply := &wire.ControlReply{}
	h := s.control[c.GetKind()]
	if h == nil {
		reply.Error = "no handler for " + c.GetKind().String()
	} else if payload, err := h(ctx, st.Session().Peer(), c.GetPayload()); err != nil {
		reply.Error = err.Error()
	} else {
		reply.Payload = payload
	}
	return st.Send(&wire.Frame{Body: &wire.Frame_ControlReply{ControlReply: reply}})
}
