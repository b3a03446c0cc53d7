package mesh

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
)

const (
	// lookInterval is the time between looks at the links.
	lookInterval = 150 * clock.Millisecond
	// firstRedial and lastRedial bound the pauses between tries to reach a
	// daemon.
	firstRedial = 300 * clock.Millisecond
	lastRedial  = 2 * clock.Second
	// lostAfter is how long a daemon is tried that often, and lostRedial the
	// pause from then on.
	lostAfter  = clock.Minute
	lostRedial = 30 * clock.Second
	// dialsAtOnce bounds the connections that are opened at the same time.
	dialsAtOnce = 8
)

// linkTiming notices a silent peer within about two seconds.
var linkTiming = link.Timing{
	KeepAliveInterval: 700 * clock.Millisecond,
	WriteTimeout:      1200 * clock.Millisecond,
	DialTimeout:       clock.Second,
}

// links keeps a link open to each daemon, so that no call has to wait for one.
type links struct {
	self  string
	clock clock.Clock
	log   zerolog.Logger
	pool  *link.Pool
	table *peers.Table
	// opened is called with each daemon that was reached.
	opened  func(ctx context.Context, id string)
	pending chan struct{}
	state   map[string]*redial
	met     chan string
}

// redial says when a daemon is tried again.
type redial struct {
	busy bool
	due  clock.Milli
	wait clock.Milli
	// lost is when the first try in a row failed, zero after a success.
	lost clock.Milli
	done chan bool
}

// ended sets when the next try is due.
func (r *redial) ended(now clock.Milli, ok bool) {
	r.busy = false
	if ok {
		r.wait, r.lost, r.due = 0, 0, now
		return
	}
	if r.lost == 0 {
		r.lost = now
	}
	r.wait = min(lastRedial, max(firstRedial, 2*r.wait))
	if now-r.lost > lostAfter {
		r.wait = lostRedial
	}
	r.due = now + r.wait
}

func newLinks(self string, clk clock.Clock, log zerolog.Logger, pool *link.Pool, table *peers.Table) *links {
	return &links{
		self: self, clock: clk, log: log, pool: pool, table: table,
		opened:  func(context.Context, string) {},
		pending: make(chan struct{}, dialsAtOnce),
		state:   make(map[string]*redial),
		met:     make(chan string, dialsAtOnce),
	}
}

// meet makes a daemon known that opened a session.
func (l *links) meet(p link.Peer) {
	if _, ok := l.table.Lookup(p.Member); ok || p.Member == l.self {
		return
	}
	select {
	case l.met <- p.Member:
	default:
	}
}

// Serve implements suture.Service.
func (l *links) Serve(ctx context.Context) error {
	return l.run(ctx)
}

func (l *links) run(ctx context.Context) error {
	t := time.NewTicker(lookInterval.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case id := <-l.met:
			l.look(ctx, id)
		case <-t.C:
			for _, r := range l.table.All() {
				l.look(ctx, r.ID)
			}
		}
	}
}

// look checks the link to a daemon and opens one if it is due. A daemon that
// ended as planned is tried too: it may be back, and where the store turns it
// away it knows nobody.
func (l *links) look(ctx context.Context, id string) {
	up := l.pool.HasSession(id)
	l.linked(id, up || id == l.self)
	s := l.state[id]
	if s == nil {
		s = &redial{done: make(chan bool, 1)}
		l.state[id] = s
	}
	now := l.clock.Now()
	select {
	case ok := <-s.done:
		s.ended(now, ok)
	default:
	}
	if up || s.busy || now < s.due {
		return
	}
	select {
	case l.pending <- struct{}{}:
		s.busy = true
		go (&dialer{links: l, id: id, done: s.done}).run(ctx)
	default:
	}
}

// linked sets whether a link is open.
func (l *links) linked(id string, up bool) {
	if l.table.SetLinked(id, up) {
		l.log.Info().Str("peer", id).Bool("up", up).Msg("peer_link")
	}
}

// dialer opens one link.
type dialer struct {
	links *links
	id    string
	done  chan<- bool
}

func (d *dialer) run(ctx context.Context) {
	l := d.links
	ctx, cancel := context.WithTimeout(ctx, linkTiming.DialTimeout.Duration())
	defer cancel()
	_, err := l.pool.Connect(ctx, d.id)
	if err == nil {
		l.linked(d.id, true)
		l.opened(ctx, d.id)
	}
	<-l.pending
	d.done <- err == nil
}
