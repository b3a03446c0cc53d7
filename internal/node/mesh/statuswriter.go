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
	// statusInterval is the time between checks for statuses to write.
	statusInterval = 100 * clock.Millisecond
	// writeTurnDelay is how long a daemon waits, for each linked daemon with a lower id,
	// before it writes the status of an ended move itself.
	writeTurnDelay = 700 * clock.Millisecond
	// statusTimeout limits the calls that read or write a status.
	statusTimeout = clock.Second
	// statusRetryDelay is the minimum delay between attempts.
	statusRetryDelay = 500 * clock.Millisecond
)

// statusWriter writes the final status of version moves to the store.
type statusWriter struct {
	moves    *moveTracker
	platform Platform
	store    feed.Store
	// mayRestore reports whether this daemon reads the stored statuses. The others get
	// the phases of moves from peers.
	mayRestore func(now clock.Milli) bool
	// restored is set once the stored statuses were read; lastRestoreAt is the end of
	// the last attempt.
	restored      bool
	lastRestoreAt clock.Milli
}

// Serve implements suture.Service.
func (w *statusWriter) Serve(ctx context.Context) error {
	return w.run(ctx)
}

func (w *statusWriter) run(ctx context.Context) error {
	return clock.Every(ctx, statusInterval, func() {
		now := w.moves.clock.Now()
		w.restoreOnce(ctx, now)
		for _, s := range w.moves.movesToStore(now) {
			w.write(ctx, s)
		}
	})
}

// restoreOnce restores the stored statuses once after the start, as soon as a move is
// known.
func (w *statusWriter) restoreOnce(ctx context.Context, now clock.Milli) {
	if w.restored || !w.moves.hasMoves() || !w.mayRestore(now) || now-w.lastRestoreAt < statusRetryDelay {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
	defer cancel()
	err := w.restore(ctx)
	w.lastRestoreAt = w.moves.clock.Now()
	if err != nil {
		w.moves.log.Warn().Err(err).Msg("statuses_not_read")
		return
	}
	w.restored = true
}

func (m *moveTracker) hasMoves() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byService) > 0
}

// movesToStore returns the ended moves whose status this daemon should write now.
func (m *moveTracker) movesToStore(now clock.Milli) []*moveState {
	linked := m.table.LinkedIDs()
	position, _ := slices.BinarySearch(linked, m.self)
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*moveState
	for _, s := range m.byService {
		if s.move.Phase() == canary.Running || s.statusStored || now-s.lastWriteAt < statusRetryDelay {
			continue
		}
		if now-s.endedAt >= clock.Milli(position)*writeTurnDelay {
			s.lastWriteAt = now
			out = append(out, s)
		}
	}
	return out
}

// write stores the final status of a move and logs the result.
func (w *statusWriter) write(ctx context.Context, s *moveState) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
	defer cancel()
	m := w.moves
	m.mu.Lock()
	ord, outcome := s.move.Order(), s.move.Outcome()
	m.mu.Unlock()
	err := w.writeStatus(ctx, ord, outcome)
	if err != nil {
		m.log.Warn().Str("service", ord.Service).Str("phase", outcome.Phase.String()).Err(err).Msg("status_not_written")
		return
	}
	m.log.Info().Str("service", ord.Service).Str("phase", outcome.Phase.String()).Msg("status_written")
	m.mu.Lock()
	s.statusStored = true
	m.mu.Unlock()
	m.notifyPeers()
}

// writeStatus appends the final status, unless the store has one of the same order.
func (w *statusWriter) writeStatus(ctx context.Context, ord order.Move, outcome canary.Outcome) error {
	topic := w.platform.Topics().Status
	b, err := w.store.Newest(ctx, topic)
	if err != nil {
		return err
	}
	if stored, ok := w.findStatus(b, ord.Service); ok && stored.IsOf(ord) && stored.Phase != canary.Running {
		return nil
	}
	value, err := w.platform.EncodeStatus(outcome)
	if err != nil {
		return err
	}
	_, err = w.store.Append(ctx, topic, feed.Item{Key: w.platform.StatusKey(ord.Service), Value: value}, b.End)
	return err
}

// findStatus returns the stored status of the latest move of a service, false if there is no
// readable one.
func (w *statusWriter) findStatus(b feed.Batch, service string) (canary.Outcome, bool) {
	key := w.platform.StatusKey(service)
	i := slices.IndexFunc(b.Items, func(item feed.Item) bool { return item.Key == key })
	if i < 0 {
		return canary.Outcome{}, false
	}
	stored, err := w.platform.DecodeStatus(b.Items[i].Value)
	if err != nil {
		w.moves.log.Warn().Str("key", key).Err(err).Msg("status_unreadable")
		return canary.Outcome{}, false
	}
	return stored, true
}

// restore applies the final statuses in the store to the known moves.
func (w *statusWriter) restore(ctx context.Context) error {
	b, err := w.store.Newest(ctx, w.platform.Topics().Status)
	if err != nil {
		return errors.Wrap(err, "read statuses")
	}
	m := w.moves
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, s := range m.byService {
		stored, ok := w.findStatus(b, service)
		if ok && stored.IsOf(s.move.Order()) && s.move.SetFinalPhase(stored.Phase, "found in the store") {
			s.statusStored = true
			m.recordProgress(s, m.clock.Now())
		}
	}
	return nil
}
