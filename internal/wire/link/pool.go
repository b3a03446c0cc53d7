package link

import (
	"context"
	"sync"

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
	group  singleflight.Group

	mu       sync.RWMutex
	sessions map[string]*Session
	closed   bool
}

// PoolOption changes a Pool.
type PoolOption func(*Pool)

// WithTiming sets how soon a silent peer is noticed.
func WithTiming(t Timing) PoolOption {
	return func(p *Pool) { p.timing = t }
}

// NewPool returns an empty pool.
func NewPool(self Identity, clk clock.Clock, opts ...PoolOption) *Pool {
	p := &Pool{self: self, clock: clk, timing: defaultTiming, sessions: make(map[string]*Session)}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Connect opens a session to the daemon at addr if there is none. It returns
// what the daemon said of itself.
func (p *Pool) Connect(ctx context.Context, addr string) (Peer, error) {
	s, err := p.session(ctx, addr)
	if err != nil {
		return Peer{}, err
	}
	return s.Peer(), nil
}

// HasSession reports whether a session to the daemon at addr is open.
func (p *Pool) HasSession(addr string) bool {
	return p.current(addr) != nil
}

// AcquireStream returns a stream for calls to the daemon at addr, over the session in
// use or a new one.
func (p *Pool) AcquireStream(ctx context.Context, addr string) (*Stream, error) {
	return p.stream(ctx, addr, callStream)
}

func (p *Pool) stream(ctx context.Context, addr string, k kind) (*Stream, error) {
	s, err := p.session(ctx, addr)
	if err != nil {
		return nil, err
	}
	st, err := s.take(k)
	if err == nil {
		return st, nil
	}
	p.DropSession(addr, s)
	s, err = p.session(ctx, addr)
	if err != nil {
		return nil, err
	}
	return s.take(k)
}

// Control sends a control message and returns the reply's payload.
func (p *Pool) Control(ctx context.Context, addr string, kind wire.ControlKind, payload []byte) ([]byte, error) {
	st, err := p.stream(ctx, addr, controlStream)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, st.Interrupt)
	reply, err := exchange(st, &wire.Control{Kind: kind, Payload: payload})
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

func exchange(st *Stream, c *wire.Control) (*wire.ControlReply, error) {
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

// DropSession closes a session and forgets it, if it is still the one in use.
func (p *Pool) DropSession(addr string, s *Session) {
	p.mu.Lock()
	if p.sessions[addr] == s {
		delete(p.sessions, addr)
	}
	p.mu.Unlock()
	s.Close()
}

// Size returns the number of sessions.
func (p *Pool) Size() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.sessions)
}

// Close ends all sessions.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, s := range p.sessions {
		s.Close()
		delete(p.sessions, addr)
	}
}

func (p *Pool) session(ctx context.Context, addr string) (*Session, error) {
	if s := p.current(addr); s != nil {
		return s, nil
	}
	ch := p.group.DoChan(addr, func() (any, error) { return p.connect(addr) })
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

func (p *Pool) current(addr string) *Session {
	p.mu.RLock()
	defer p.mu.RUnlock()
	s := p.sessions[addr]
	if s == nil || s.Closed() {
		return nil
	}
	return s
}

// connect is shared by all callers that wait for the address, so it must not
// end with the context of one of them.
func (p *Pool) connect(addr string) (*Session, error) {
	if s := p.current(addr); s != nil {
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
	p.sessions[addr] = s
	return s, nil
}
