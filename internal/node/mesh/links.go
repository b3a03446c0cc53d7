package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
)

const (
	// linkCheckInterval is the time between checks of all links.
	linkCheckInterval = 150 * clock.Millisecond
	// minRedialDelay and maxRedialDelay limit the delay between attempts to
	// connect to a daemon; it doubles after each failure.
	minRedialDelay = 300 * clock.Millisecond
	maxRedialDelay = 2 * clock.Second
	// unreachableRedialDelay is the delay once all attempts have failed for
	// longer than unreachableAfter.
	unreachableAfter       = clock.Minute
	unreachableRedialDelay = 30 * clock.Second
	maxConcurrentDials     = 8
	// passiveDialDelay is how long a daemon leaves it to one with a lower id to open the
	// link between them.
	passiveDialDelay = 500 * clock.Millisecond
	// eagerDials is the number of daemons with a lower id to which a daemon opens a link without
	// that delay right after its start: it admits no call before one has replied.
	eagerDials = 3
	// streamIdleTimeout is how long a stream is kept for further calls. A daemon calls
	// most of the others seldom.
	streamIdleTimeout = 2 * clock.Second
)

// linkTiming detects a peer that does not respond within about two seconds.
var linkTiming = link.Timing{
	KeepAliveInterval: 700 * clock.Millisecond,
	WriteTimeout:      1200 * clock.Millisecond,
	DialTimeout:       clock.Second,
}

// links keeps a link open to each known daemon, so that calls don't wait for a
// connection.
type links struct {
	self  string
	clock clock.Clock
	log   zerolog.Logger
	pool  *link.Pool
	table *peers.Table
	// onConnect is called with the id of each daemon that a link was opened to.
	onConnect func(ctx context.Context, id string)
	// dialSlots is a semaphore of maxConcurrentDials.
	dialSlots chan struct{}
	redials   map[string]*redialState
	// waiting has the daemons to which an attempt is due, in the order of the next checks.
	// dialEnded receives a value after the end of an attempt.
	waiting   []string
	dialEnded chan struct{}
	// eager has the daemons for which passiveDialDelay does not apply to the first attempt.
	eager        []string
	idleClosedAt clock.Milli
	// newPeers receives daemons that connected and are not in the table.
	newPeers chan string
}

// redialState schedules the attempts to connect to one daemon.
type redialState struct {
	dialing bool
	// downSince is since when there is no link.
	downSince  clock.Milli
	nextDialAt clock.Milli
	delay      clock.Milli
	// failingSince is when the first of the failures in a row was recorded, zero
	// after a success.
	failingSince clock.Milli
	// result receives whether the attempt in progress succeeded.
	result chan bool
}

// recordResult schedules the next attempt after the end of one.
func (r *redialState) recordResult(now clock.Milli, ok bool) {
	r.dialing = false
	if ok {
		r.delay, r.failingSince, r.nextDialAt = 0, 0, now
		return
	}
	if r.failingSince == 0 {
		r.failingSince = now
	}
	r.delay = min(maxRedialDelay, max(minRedialDelay, 2*r.delay))
	if now-r.failingSince > unreachableAfter {
		r.delay = unreachableRedialDelay
	}
	r.nextDialAt = now + r.delay
}

func newLinks(self string, clk clock.Clock, log zerolog.Logger, pool *link.Pool, table *peers.Table) *links {
	return &links{
		self: self, clock: clk, log: log, pool: pool, table: table,
		onConnect: func(context.Context, string) {},
		dialSlots: make(chan struct{}, maxConcurrentDials),
		redials:   make(map[string]*redialState),
		newPeers:  make(chan string, maxConcurrentDials),
		dialEnded: make(chan struct{}, maxConcurrentDials),
	}
}

// handlePeer schedules a link to an unknown daemon that opened a session, unless newPeers
// is full.
func (l *links) handlePeer(p link.Peer) {
	if _, ok := l.table.Lookup(p.Member); ok || p.Member == l.self {
		return
	}
	select {
	case l.newPeers <- p.Member:
	default:
	}
}

// Serve implements suture.Service.
func (l *links) Serve(ctx context.Context) error {
	return l.run(ctx)
}

func (l *links) run(ctx context.Context) error {
	t := time.NewTicker(linkCheckInterval.Duration())
	defer t.Stop()
	l.eager = l.selectEager()
	l.checkLinks(ctx)
	l.eager = nil
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case id := <-l.newPeers:
			l.checkLink(ctx, id)
		case <-l.dialEnded:
			l.dialWaiting(ctx)
		case <-t.C:
			l.checkLinks(ctx)
			l.closeIdleStreams()
		}
	}
}

// selectEager returns the daemons with the next lower ids, those of the own data centre first.
// They differ between daemons that start at the same time.
func (l *links) selectEager() []string {
	self, _ := l.table.Lookup(l.self)
	var near, far []string
	for _, r := range slices.Backward(l.table.Records()) {
		switch {
		case r.ID >= l.self:
		case r.Centre == self.Centre:
			near = append(near, r.ID)
		default:
			far = append(far, r.ID)
		}
	}
	near = append(near, far...)
	return near[:min(eagerDials, len(near))]
}

// checkLinks checks the links to all known daemons, those of the own data centre first: they
// are the nearest to serve calls.
func (l *links) checkLinks(ctx context.Context) {
	l.waiting = l.waiting[:0]
	self, _ := l.table.Lookup(l.self)
	records := l.table.Records()
	for _, near := range []bool{true, false} {
		for i := range records {
			if (records[i].Centre == self.Centre) == near {
				l.checkLink(ctx, records[i].ID)
			}
		}
	}
}

// dialWaiting starts the attempts for which there was no dial slot, as far as there are slots
// now. A daemon that starts with its whole fleet thus does not wait for its next check.
func (l *links) dialWaiting(ctx context.Context) {
	waiting := l.waiting
	l.waiting = nil
	for len(waiting) > 0 && len(l.dialSlots) < maxConcurrentDials {
		l.checkLink(ctx, waiting[0])
		waiting = waiting[1:]
	}
	l.waiting = append(waiting, l.waiting...)
}

// closeIdleStreams closes streams that calls left idle.
func (l *links) closeIdleStreams() {
	now := l.clock.Now()
	if now-l.idleClosedAt < streamIdleTimeout/2 {
		return
	}
	l.idleClosedAt = now
	l.pool.CloseIdleStreams(streamIdleTimeout)
}

// checkLink updates the state of the link to a daemon and opens one if an attempt is
// due. Daemons that stopped as planned are included: one may have restarted, and if it
// can't reach the store it knows no peers.
func (l *links) checkLink(ctx context.Context, id string) {
	up := l.pool.HasSession(id)
	if l.setLinked(id, up || id == l.self) && up {
		// The peer opened the link.
		go (&connected{links: l, id: id}).run(ctx)
	}
	redial := l.redials[id]
	if redial == nil {
		redial = &redialState{result: make(chan bool, 1), downSince: l.clock.Now()}
		l.redials[id] = redial
	}
	now := l.clock.Now()
	select {
	case ok := <-redial.result:
		redial.recordResult(now, ok)
	default:
	}
	if up {
		redial.downSince = now
	}
	passive := id < l.self && now-redial.downSince < passiveDialDelay && !slices.Contains(l.eager, id)
	if up || redial.dialing || now < redial.nextDialAt || passive {
		return
	}
	select {
	case l.dialSlots <- struct{}{}:
		redial.dialing = true
		go (&dialer{links: l, id: id, result: redial.result}).run(ctx)
	default:
		l.waiting = append(l.waiting, id)
	}
}

// setLinked records whether a link is open and logs a change.
func (l *links) setLinked(id string, up bool) (changed bool) {
	changed = l.table.SetLinked(id, up)
	if changed {
		l.log.Info().Str("peer", id).Bool("up", up).Msg("peer_link")
	}
	return changed
}

// connected handles a link that a peer opened.
type connected struct {
	links *links
	id    string
}

func (c *connected) run(ctx context.Context) {
	c.links.onConnect(ctx, c.id)
}

// dialer opens a link to one daemon and sends the result.
type dialer struct {
	links  *links
	id     string
	result chan<- bool
}

func (d *dialer) run(ctx context.Context) {
	l := d.links
	ctx, cancel := context.WithTimeout(ctx, linkTiming.DialTimeout.Duration())
	defer cancel()
	_, err := l.pool.Connect(ctx, d.id)
	if err == nil {
		l.setLinked(d.id, true)
	}
	<-l.dialSlots
	d.result <- err == nil
	select {
	case l.dialEnded <- struct{}{}:
	default:
	}
	if err == nil {
		l.onConnect(ctx, d.id)
	}
}
