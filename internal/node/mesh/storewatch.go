package mesh

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/watch"
)

const (
	// watchInterval is the time between decisions on who follows the store.
	watchInterval = 200 * clock.Millisecond
	// firstWatchDelay and restartWatchDelay are how long a daemon waits after its start
	// for links to others, which may have what it lacks. At the first start of the
	// system, all daemons have to announce themselves first.
	firstWatchDelay   = 3200 * clock.Millisecond
	restartWatchDelay = 800 * clock.Millisecond
	// restoreWindow is how long after the start every daemon reads stored statuses.
	restoreWindow = 5 * clock.Second
	// catchUpLimit is how long a follower may lack records that peers have. Its read
	// has then lost its reply.
	catchUpLimit = clock.Second
	// maxDiscoverDelay is the longest delay of the first attempt to read the records of
	// the other daemons. A daemon with discoveredLinks links, one to itself, needs none.
	maxDiscoverDelay = 1200 * clock.Millisecond
	discoveredLinks  = 4
	// discoverRetryDelay is the time between attempts to read the records of the other
	// daemons after the start.
	discoverRetryDelay = 1500 * clock.Millisecond
)

// storeWatch makes this daemon follow the store if it is a watcher, and passes on new
// orders.
type storeWatch struct {
	clock         clock.Clock
	log           zerolog.Logger
	self          peers.Record
	table         *peers.Table
	registry      *order.Registry
	orderFollower *feed.Follower
	peerFollower  *feed.Follower
	announcer     *announcer
	view          *storeView
	// notify synchronises with peers, which compare the offset of the orders.
	notify func(ctx context.Context, ids []string)
	// sendNotice sends notices to peers.
	sendNotice func(ctx context.Context, ids []string, answerIn clock.Milli)
	// pullIfBehind gets the orders of a peer that has newer ones.
	pullIfBehind func(now clock.Milli, id string, peer orderState)
	// changed receives a value after the orders changed, noticeDue when notices are due.
	changed   chan struct{}
	noticeDue chan struct{}

	// firstStart is set at the first start of the system.
	firstStart bool
	// passedOnFirst is set once the first orders were passed on.
	passedOnFirst  bool
	startAt        clock.Milli
	poll           watch.Poll
	discovered     atomic.Bool
	nextDiscoverAt clock.Milli
	// behindSince is since when the follower has lacked records that peers have.
	behindSince clock.Milli
	// nextNoticeAt is when the next notices are due.
	nextNoticeAt clock.Milli
	// hasRead is set after a read by this daemon until it has sent notices.
	hasRead atomic.Bool

	mu       sync.Mutex
	contact  watch.Contact
	duties   watch.Duties
	watching bool
	// linked is the number of daemons with an open link, and this one.
	linked int
	// answers has the times at which the waiting reads of this daemon and other watchers end.
	answers watch.Answers
}

func newStoreWatch(n *Node) *storeWatch {
	delay := restartWatchDelay
	if n.settings.FirstStart {
		delay = firstWatchDelay
	}
	now := n.clock.Now()
	s := &storeWatch{
		clock: n.clock, log: n.log, self: n.announcer.ownRecord(), table: n.table, registry: n.registry,
		orderFollower: n.orderFollower, peerFollower: n.peerFollower, announcer: n.announcer,
		view: newStoreView(n.self.ID, n.clock), startAt: now + delay, changed: make(chan struct{}, 1),
		noticeDue: make(chan struct{}, 1), answers: make(watch.Answers),
		notify: func(context.Context, []string) {}, firstStart: n.settings.FirstStart,
	}
	return s
}

// Serve implements suture.Service.
func (s *storeWatch) Serve(ctx context.Context) error {
	return s.run(ctx)
}

func (s *storeWatch) run(ctx context.Context) error {
	t := time.NewTicker(watchInterval.Duration())
	defer t.Stop()
	silence := time.NewTimer(watchInterval.Duration())
	defer silence.Stop()
	first := time.NewTimer(s.firstReadDelay().Duration())
	defer first.Stop()
	for {
		if now := s.clock.Now(); now >= s.startAt {
			s.readIfSilent(now)
		}
		// Between two ticks, so that a turn is not missed by up to a tick.
		silence.Reset(s.untilNextRead().Duration())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-silence.C:
		case <-first.C:
			s.readFirstOrders()
		case <-s.changed:
			s.notifyPeers(ctx)
		case <-s.noticeDue:
			// The synchronisation after a change says when the store was read, too.
			if len(s.changed) == 0 || !s.isWatching() {
				s.sendNotices(ctx, s.clock.Now())
			}
		case <-t.C:
			s.announcer.handleEra(s.registry.End().Era())
			s.discover()
			if s.clock.Now() >= s.startAt {
				s.update(ctx)
				s.restartIfBehind()
				if now := s.clock.Now(); now >= s.nextNoticeAt {
					s.sendNotices(ctx, now)
				}
			}
		}
	}
}

// ordersChanged schedules the notification of peers about new orders.
func (s *storeWatch) ordersChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// update selects the watchers and makes the followers follow or idle.
func (s *storeWatch) update(ctx context.Context) {
	now := s.clock.Now()
	linked := s.table.Linked()
	if s.view.recordOwn(s.orderFollower.Failing() || s.peerFollower.Failing(), s.isWatching()) {
		// The next watcher takes over as soon as it has this report.
		s.notify(ctx, s.idsToNotify())
	}
	age := s.view.age()
	duties := watch.Select(s.daemons(linked), age)
	watching := slices.Contains(duties.Watchers, s.self.ID) || len(linked) <= 1
	s.mu.Lock()
	changed := watching != s.watching
	s.duties, s.watching, s.linked = duties, watching, max(1, len(linked))
	s.mu.Unlock()
	if changed {
		_, reader := s.view.lastRead()
		s.log.Info().Bool("watching", watching).Int("linked", len(linked)).Float64("store_age_ms", float64(age)).Str("reader", reader).Msg("store_watch")
	}
	s.orderFollower.SetIdle(!watching)
	s.peerFollower.SetIdle(!watching)
	if watching {
		return
	}
	if s.poll.Due(now, age, len(linked), rand.Float64()) {
		s.log.Warn().Str("reason", "store_state_old").Float64("store_age_ms", float64(age)).Msg("store_polled")
		s.orderFollower.Poll()
	}
}

// daemons returns what the selection needs of the linked daemons.
func (s *storeWatch) daemons(linked []peers.Record) []watch.Daemon {
	out := make([]watch.Daemon, 0, len(linked))
	for i := range linked {
		r := &linked[i]
		out = append(out, watch.Daemon{ID: r.ID, Centre: r.Centre, StoreLost: s.view.isLost(r.ID)})
	}
	return out
}

// restartIfBehind repeats the read of a follower that lacks records that peers have.
func (s *storeWatch) restartIfBehind() {
	now := s.clock.Now()
	position := s.orderFollower.Position()
	// Without a position, a read of all keys is in progress.
	if !s.isWatching() || position < 0 || position >= s.registry.End() {
		s.behindSince = now
		return
	}
	if now-s.behindSince > catchUpLimit {
		s.behindSince = now
		s.orderFollower.Restart()
	}
}

// mayRestore reports whether this daemon reads stored statuses: as a watcher, or if it
// started recently and may not have found its peers.
func (s *storeWatch) mayRestore(now clock.Milli) bool {
	return s.isWatching() || now < s.startAt+restoreWindow
}

func (s *storeWatch) isWatching() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watching
}

// readWait returns how long the read of the orders that starts now waits for new ones.
func (s *storeWatch) readWait() clock.Milli {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := s.answers.ReadWait(now, &s.duties, s.self.ID)
	s.answers[s.self.ID] = now + wait
	return wait
}

// notifyPeers notifies peers of new orders if this daemon is a watcher or a relay: those of
// its own data centre, and the relays of the others, which notify theirs. Another daemon passes
// on only the first orders since its start.
func (s *storeWatch) notifyPeers(ctx context.Context) {
	if s.isWatching() || s.isRelay() {
		s.passedOnFirst = true
		s.notify(ctx, s.idsToNotify())
		return
	}
	s.passOnFirstOrders(ctx)
}

func (s *storeWatch) isRelay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.duties.Relays, s.self.ID)
}

// idsToNotify returns the other daemons of the own data centre and the relays of the others.
func (s *storeWatch) idsToNotify() []string {
	s.mu.Lock()
	relays := s.duties.Relays
	s.mu.Unlock()
	return s.linkedIDs(func(r *peers.Record) bool { return r.Centre == s.self.Centre || slices.Contains(relays, r.ID) })
}

// centreIDs returns the other daemons of the own data centre.
func (s *storeWatch) centreIDs() []string {
	return s.linkedIDs(func(r *peers.Record) bool { return r.Centre == s.self.Centre })
}

// linkedIDs returns the ids of the other linked daemons that match.
func (s *storeWatch) linkedIDs(match func(*peers.Record) bool) []string {
	var ids []string
	linked := s.table.Linked()
	for i := range linked {
		if r := &linked[i]; r.ID != s.self.ID && match(r) {
			ids = append(ids, r.ID)
		}
	}
	return ids
}
