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

// watchNoticeTimeout limits how long one notice waits for its reply.
const watchNoticeTimeout = watch.NoticeInterval

// noticeSender sends notices to peers, without waiting for the replies.
type noticeSender struct {
	sync *stateSync
}

// send sends a notice to some peers. The silence is that of the sender.
func (n *noticeSender) send(ctx context.Context, ids []string, silence clock.Milli) {
	s := n.sync
	payload, err := proto.Marshal(&wire.WatchNotice{
		Member: s.ownRecord().ID, OrdersEnd: int64(s.registry.End()), OrdersHash: s.registry.Hash(),
		Store: s.view.encode(), SilenceMs: float64(silence),
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
	// A peer that does not reply reads the store itself once it gets no notices.
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
	s.hear(now - max(0, clock.Milli(n.GetSilenceMs())))
	s.view.observe(n.GetMember(), n.GetStore())
	s.pullIfBehind(now, n.GetMember(), orderState{end: feed.Position(n.GetOrdersEnd()), hash: n.GetOrdersHash()})
	return nil, nil
}

// hear records that a daemon followed the store at an instant.
func (s *storeWatch) hear(at clock.Milli) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contact.Hear(at)
}

// silence returns the time since a daemon is known to have followed the store, zero if this
// one does.
func (s *storeWatch) silence() clock.Milli {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watching {
		return 0
	}
	return s.contact.Silence(s.clock.Now())
}

// sendNotices sends notices if they are due and this daemon is a watcher, a relay that hears
// from one, or has just read the store itself.
func (s *storeWatch) sendNotices(ctx context.Context, now clock.Milli) {
	silence := s.silence()
	hasRead := s.hasRead.Swap(false)
	if now < s.nextNoticeAt && !hasRead {
		return
	}
	switch {
	case s.isWatching():
		s.sendNotice(ctx, s.idsToNotify(), silence)
	case hasRead, s.isRelay() && silence < watch.SilentAfter:
		s.sendNotice(ctx, s.centreIDs(), silence)
	default:
		return
	}
	s.nextNoticeAt = now + watch.NoticeInterval
}

// recordRead records a successful read of the orders by this daemon.
func (s *storeWatch) recordRead() {
	s.view.recordRead(0)
	s.hear(s.clock.Now())
	s.hasRead.Store(!s.isWatching())
}

// pollIfSilent reads the store once if no daemon that follows it was heard for too long.
func (s *storeWatch) pollIfSilent(now clock.Milli, random float64) {
	s.mu.Lock()
	due := s.contact.ReadDue(now, random)
	silence := s.contact.Silence(now)
	s.mu.Unlock()
	if due {
		s.log.Warn().Str("reason", "no_notice").Float64("silence_ms", float64(silence)).Msg("store_polled")
		s.orderFollower.Poll()
	}
}
