package mesh

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/canary"
)

const (
	// statusInterval is the time between looks at what there is to write.
	statusInterval = 100 * clock.Millisecond
	// turn is how long a daemon waits for each one before it, in order of ids,
	// to write the end of a move.
	turn = 700 * clock.Millisecond
	// statusTimeout bounds the calls that read or write a status.
	statusTimeout = clock.Second
	// statusRetry is the pause after a failure.
	statusRetry = 500 * clock.Millisecond
)

// statuses keeps the ends of version moves in the store.
type statuses struct {
	moves    *moves
	platform Platform
	store    feed.Store
	// restored is set once the statuses of earlier daemons were read, askedAt
	// is when that was tried last.
	restored bool
	askedAt  clock.Milli
}

// Serve implements suture.Service.
func (w *statuses) Serve(ctx context.Context) error {
	return w.run(ctx)
}

func (w *statuses) run(ctx context.Context) error {
	return clock.Every(ctx, statusInterval, func() {
		now := w.moves.clock.Now()
		w.recall(ctx, now)
		for _, s := range w.moves.unwritten(now) {
			w.write(ctx, s)
		}
	})
}

// recall reads once how moves ended that are older than this daemon.
func (w *statuses) recall(ctx context.Context, now clock.Milli) {
	if w.restored || !w.moves.any() || now-w.askedAt < statusRetry {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
	defer cancel()
	err := w.restore(ctx)
	w.askedAt = w.moves.clock.Now()
	if err != nil {
		w.moves.log.Warn().Err(err).Msg("statuses_not_read")
		return
	}
	w.restored = true
}

// any reports whether a move was ordered.
func (m *moves) any() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.services) > 0
}

// unwritten returns the ended moves whose status this daemon should write now.
func (m *moves) unwritten(now clock.Milli) []*moveState {
	live := m.table.LinkedIDs()
	rank, _ := slices.BinarySearch(live, m.self)
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*moveState
	for _, s := range m.services {
		if s.move.Phase() == canary.Running || s.written || now-s.tried < statusRetry {
			continue
		}
		if now-s.ended >= clock.Milli(rank)*turn {
			s.tried = now
			out = append(out, s)
		}
	}
	return out
}

// write puts the end of a move into the store, unless it is there.
func (w *statuses) write(ctx context.Context, s *moveState) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
	defer cancel()
	m := w.moves
	m.mu.Lock()
	ord, phase := s.move.Order(), s.move.Phase()
	m.mu.Unlock()
	err := w.writeStatus(ctx, ord, phase)
	if err != nil {
		m.log.Warn().Str("service", ord.Service).Str("phase", phase.String()).Err(err).Msg("status_not_written")
		return
	}
	m.log.Info().Str("service", ord.Service).Str("phase", phase.String()).Msg("status_written")
	m.mu.Lock()
	s.written = true
	m.mu.Unlock()
	m.push()
}

func (w *statuses) writeStatus(ctx context.Context, ord order.Move, phase canary.Phase) error {
	topic := w.platform.Topics().Status
	b, err := w.store.Newest(ctx, topic)
	if err != nil {
		return err
	}
	key := w.platform.StatusKey(ord.Service)
	for _, item := range b.Items {
		if item.Key != key {
			continue
		}
		version, p, err := w.platform.DecodeStatus(item.Value)
		if err == nil && version == ord.Version && p != canary.Running {
			return nil
		}
	}
	value, err := w.platform.EncodeStatus(ord.Version, phase)
	if err != nil {
		return err
	}
	_, err = w.store.Append(ctx, topic, feed.Item{Key: key, Value: value}, b.NextOffset)
	return err
}

// restore takes over the statuses that the store has, after a start.
func (w *statuses) restore(ctx context.Context) error {
	b, err := w.store.Newest(ctx, w.platform.Topics().Status)
	if err != nil {
		return errors.Wrap(err, "read statuses")
	}
	m := w.moves
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, s := range m.services {
		for _, item := range b.Items {
			if item.Key != w.platform.StatusKey(service) {
				continue
			}
			version, p, err := w.platform.DecodeStatus(item.Value)
			if err != nil {
				m.log.Warn().Str("key", item.Key).Err(err).Msg("status_unreadable")
				continue
			}
			if version == s.move.Order().Version && s.move.SetFinalPhase(p, "found in the store") {
				s.written = true
				m.report(service, s, m.clock.Now())
			}
		}
	}
	return nil
}
