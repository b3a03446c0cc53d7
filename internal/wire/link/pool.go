package link

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// Pool keeps one session per peer address. It is safe for concurrent use.
type Pool struct {
	self   Identity
	clock  clock.Clock
	timing Timing
	dials  singleflight.Group
	// serveSession, if set, serves the streams that peers open on dialed sessions.
	serveSession func(*Session)

	mu       sync.RWMutex
	sessions map[string]*Session
	closed   bool
}

// PoolOption changes a Pool.
type PoolOption func(*Pool)

// WithTiming sets the time-outs of sessions and the interval of their keep-alives.
func WithTiming(t Timing) PoolOption {
	return func(p *Pool) { p.timing = t }
}

// ShareSessions makes the pool and the server use each other's sessions, so that two
// daemons need one connection between them. It must be called before either is used. The
// id of a daemon must be its address.
func ShareSessions(p *Pool, s *Server) {
	p.serveSession = s.serveDialed
	s.pool = p
}

// adopt adds a session that a peer opened, unless there is an open one.
func (p *Pool) adopt(s *Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.preferLocked(s)
	}
}

// preferLocked returns the session to use for the peer of s: an open one to the same or a
// later incarnation, else s. If two daemons dial each other at the same time, both
// sessions stay open, as the peer may use the other one. The caller holds the lock.
func (p *Pool) preferLocked(s *Session) *Session {
	addr := s.Peer().Member
	old := p.sessions[addr]
	if old != nil && !old.Closed() && old.Peer().Incarnation >= s.Peer().Incarnation {
		return old
	}
	p.sessions[addr] = s
	return s
}

// NewPool returns an empty pool that identifies itself to peers as self.
func NewPool(self Identity, clk clock.Clock, opts ...PoolOption) *Pool {
	p := &Pool{self: self, clock: clk, timing: defaultTiming, sessions: make(map[string]*Session)}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Connect opens a session to the daemon at addr if there is none, and returns the
// identity of that daemon.
func (p *Pool) Connect(ctx context.Context, addr string) (Peer, error) {
	s, err := p.getSession(ctx, addr)
	if err != nil {
		return Peer{}, err
	}
	return s.Peer(), nil
}

// HasSession reports whether a session to the daemon at addr is open.
func (p *Pool) HasSession(addr string) bool {
	return p.existingSession(addr) != nil
}

// AcquireStream returns a stream for calls to the daemon at addr, over the existing
// session or a new one.
func (p *Pool) AcquireStream(ctx context.Context, addr string) (*Stream, error) {
	return p.acquireStream(ctx, addr, callStream)
}

func (p *Pool) acquireStream(ctx context.Context, addr string, k streamKind) (*Stream, error) {
	s, err := p.getSession(ctx, addr)
	if err != nil {
		return nil, err
	}
	st, err := s.acquireStream(k)
	if err == nil {
		return st, nil
	}
	p.DropSession(addr, s)
	s, err = p.getSession(ctx, addr)
	if err != nil {
		return nil, err
	}
	return s.acquireStream(k)
}

// Control sends a control message to the daemon at addr and returns the payload of
// the reply. An error in the reply is returned as an error.
func (p *Pool) Control(ctx context.Context, addr string, kind wire.ControlKind, payload []byte) ([]byte, error) {
	st, err := p.acquireStream(ctx, addr, controlStream)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, st.Interrupt)
	reply, err := exchangeControl(st, &wire.Control{Kind: kind, Payload: payload})
	if !stop() || err != nil {
		st.Close()
	} else {
		st.Session().ReleaseStream(st)
	}
	if err != nil {
		return nil, err
	}
	if reply.GetError() != "" {
		return nil, errors.Errorf("peer %s refused control message: %s", addr, reply.GetError())
	}
	return reply.GetPayload(), nil
}

func exchangeControl(st *Stream, c *wire.Control) (*wire.ControlReply, error) {
	if err := st.Send(&wire.Frame{Body: &wire.Frame_Control{Control: c}}); err != nil {
		return nil, err
	}
	f, err := st.Receive()
	if err != nil {
		return nil, err
	}
	r := f.GetControlReply()
	if r == nil {
		return nil, errors.Wrap(ErrMalformedFrame, "expected a control reply")
	}
	return r, nil
}

// DropSession closes a session and removes it from the pool, unless another one has
// replaced it there.
func (p *Pool) DropSession(addr string, s *Session) {
	p.mu.Lock()
	if p.sessions[addr] == s {
		delete(p.sessions, addr)
	}
	p.mu.Unlock()
	s.Close()
}

// CloseIdleStreams closes the streams that were not used for d.
func (p *Pool) CloseIdleStreams(d clock.Milli) {
	t := time.Now().Add(-d.Duration())
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, s := range p.sessions {
		s.closeIdleStreams(t)
	}
}

// Size returns the number of sessions in the pool, including closed ones that were
// not dropped.
func (p *Pool) Size() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.sessions)
}

// Close closes all sessions. The pool opens no further ones.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, s := range p.sessions {
		s.Close()
		delete(p.sessions, addr)
	}
}

func (p *Pool) getSession(ctx context.Context, addr string) (*Session, error) {
	if s := p.existingSession(addr); s != nil {
		return s, nil
	}
	ch := p.dials.DoChan(addr, func() (any, error) { return p.dialSession(addr) })
	select {
	case <-ctx.Done():
		return nil, errors.Wrap(ErrClosed, ctx.Err().Error())
	case r := <-ch:
		if r.Err != nil {
			return nil, r.Err
		}
		s, _ := r.Val.(*Session)
		return s, nil
	}
}

// existingSession returns the open session to the daemon at addr, nil if there is
// none.
func (p *Pool) existingSession(addr string) *Session {
	p.mu.RLock()
	defer p.mu.RUnlock()
	s := p.sessions[addr]
	if s == nil || s.Closed() {
		return nil
	}
	return s
}

// dialSession is shared by all callers that wait for a session to addr, so it must
// not depend on the context of one of them.
func (p *Pool) dialSession(addr string) (*Session, error) {
	if s := p.existingSession(addr); s != nil {
		return s, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.timing.DialTimeout.Duration())
	defer cancel()
	s, err := dial(ctx, addr, p.self, p.clock, p.timing)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		s.Close()
		return nil, ErrClosed
	}
	if p.serveSession == nil {
		p.sessions[addr] = s
		return s, nil
	}
	go p.serveSession(s)
	return p.preferLocked(s), nil
}
