package mesh

import (
	"context"

	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/watch"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	// watchNoticeTimeout limits how long one notice waits for its reply.
	watchNoticeTimeout = watch.NoticeInterval
	// minForwardedAdvance is the difference from the read known before from which a relay
	// passes on a later one at once.
	minForwardedAdvance = 200 * clock.Millisecond
)

// noticeSender sends notices to peers, without waiting for the replies.
type noticeSender struct {
	sync *stateSync
}

// send sends a notice to some peers. answerIn is the time until the store answers the read of
// the sender at the latest, zero if it has none that waits.
func (n *noticeSender) send(ctx context.Context, ids []string, answerIn clock.Milli) {
	s := n.sync
	payload, err := proto.Marshal(&wire.WatchNotice{
		Member: s.ownRecord().ID, OrdersEnd: int64(s.registry.End()), OrdersHash: s.registry.Hash(),
		Store: s.view.encode(), AnswerInMs: float64(answerIn),
	})
	if err != nil {
		s.log.Error().Err(err).Msg("notice_not_encoded")
		return
	}
	for _, id := range ids {
		go (&notice{pool: s.pool, id: id, payload: payload}).run(ctx)
	}
}

// notice is one notice to one peer.
type notice struct {
	pool    *link.Pool
	id      string
	payload []byte
}

func (n *notice) run(ctx context.Context) {
	if !n.pool.HasSession(n.id) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, watchNoticeTimeout.Duration())
	defer cancel()
	// A peer that gets no notices reads the store itself.
	_, _ = n.pool.Control(ctx, n.id, controlWatch, n.payload)
}

// handleNotice records the notice of a peer and gets the orders that it has and this daemon
// lacks.
func (s *storeWatch) handleNotice(_ context.Context, _ link.Peer, payload []byte) ([]byte, error) {
	n := new(wire.WatchNotice)
	if err := proto.Unmarshal(payload, n); err != nil {
		return nil, err
	}
	now := s.clock.Now()
	before, _ := s.view.lastRead()
	s.view.observe(n.GetMember(), n.GetStore())
	s.recordAnswerIn(n.GetMember(), now, clock.Milli(n.GetAnswerInMs()))
	if after, _ := s.view.lastRead(); after-before >= minForwardedAdvance && s.isRelay() && s.isFromOtherCentre(n.GetMember()) {
		s.scheduleNotice()
	}
	s.pullIfBehind(now, n.GetMember(), orderState{end: feed.Position(n.GetOrdersEnd()), hash: n.GetOrdersHash()})
	return nil, nil
}

func (s *storeWatch) isFromOtherCentre(id string) bool {
	r, ok := s.table.Lookup(id)
	return ok && r.Centre != s.self.Centre
}

// recordAnswerIn records when the store answers the read of a watcher at the latest.
func (s *storeWatch) recordAnswerIn(id string, now, answerIn clock.Milli) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answerIn > 0 {
		s.answers[id] = now + answerIn
	} else {
		delete(s.answers, id)
	}
}

// scheduleNotice makes the loop send notices at once.
func (s *storeWatch) scheduleNotice() {
	select {
	case s.noticeDue <- struct{}{}:
	default:
	}
}

// sendNotices sends notices if this daemon has just read the store, is a watcher that has sent
// none for NoticeInterval, or a relay that knows of a recent read.
func (s *storeWatch) sendNotices(ctx context.Context, now clock.Milli) {
	hasRead := s.hasRead.Swap(false)
	switch {
	case hasRead, s.isWatching() && now >= s.nextNoticeAt:
		s.sendNotice(ctx, s.idsToNotify(), s.answerIn(now))
	case s.isRelay() && s.view.age() < watch.SilentAfter:
		// What other data centres have read is passed on within the own one.
		s.sendNotice(ctx, s.centreIDs(), s.answerIn(now))
	default:
		return
	}
	s.nextNoticeAt = now + watch.NoticeInterval
}

// answerIn returns the time until the store answers the waiting read of this daemon at the
// latest, zero if it has none.
func (s *storeWatch) answerIn(now clock.Milli) clock.Milli {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.answers[s.self.ID]-now)
}

// recordRead records a successful read of the orders by this daemon, and since when the store
// may have changed.
func (s *storeWatch) recordRead(age clock.Milli) {
	s.view.recordRead(s.self.ID, age)
	s.mu.Lock()
	delete(s.answers, s.self.ID)
	s.mu.Unlock()
	s.hasRead.Store(true)
	s.scheduleNotice()
}

// nextRead returns when this daemon has to read the store itself.
func (s *storeWatch) nextRead() clock.Milli {
	at, _ := s.view.lastRead()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contact.NextRead(max(at, s.startAt), s.duties.Turn(s.self.ID, s.linked), s.linked)
}

// untilNextRead returns the time until nextRead, and that of a tick if it has passed.
func (s *storeWatch) untilNextRead() clock.Milli {
	if in := s.nextRead() - s.clock.Now(); in > 0 {
		return in
	}
	return watchInterval
}

// readIfSilent reads the store once if no recent read by any daemon is known. Reads of a
// state that has been lost for longer are left to watch.Poll.
func (s *storeWatch) readIfSilent(now clock.Milli) {
	age := s.view.age()
	if now < s.nextRead() || age >= watch.StaleAfter {
		return
	}
	s.mu.Lock()
	s.contact.RecordRead(now)
	watching := s.watching
	s.mu.Unlock()
	_, reader := s.view.lastRead()
	s.log.Warn().Str("reason", "no_answer").Float64("store_age_ms", float64(age)).Str("reader", reader).
		Bool("watching", watching).Msg("store_polled")
	if !watching {
		s.orderFollower.Poll()
	} else if !s.orderFollower.Failing() {
		// The read that waits may have lost its connection.
		s.orderFollower.Restart()
	}
}
