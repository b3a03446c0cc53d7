package mesh

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
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

// statusWriter writes the status of version moves to the store: when one is ordered, so that
// the status of an earlier one no longer counts, and at its end.
type statusWriter struct {
	moves    *moveTracker
	platform Platform
	store    feed.Store
	// mayRestore reports whether this daemon reads the stored statuses. The others get
	// the phases of moves from peers.
	mayRestore func(now clock.Milli) bool
	// lastRestoreAt is the end of the last attempt to read the stored statuses.
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
		for _, service := range w.moves.movesToStore(now) {
			w.write(ctx, service)
		}
	})
}

// restoreOnce restores the stored statuses once after the start, as soon as a move is
// known, unless a peer has reported the outcomes of all moves.
func (w *statusWriter) restoreOnce(ctx context.Context, now clock.Milli) {
	if w.moves.complete.Load() || !w.moves.hasMoves() || !w.mayRestore(now) || now-w.lastRestoreAt < statusRetryDelay {
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
	w.moves.complete.Store(true)
}

func (m *moveTracker) hasMoves() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byService) > 0
}

// movesToStore returns the services with a move whose status this daemon should write now.
func (m *moveTracker) movesToStore(now clock.Milli) []string {
	linked := m.table.LinkedIDs()
	position, _ := slices.BinarySearch(linked, m.self)
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for service, s := range m.byService {
		if s.isStored() || now-s.lastWriteAt < statusRetryDelay {
			continue
		}
		if now-s.changedAt >= clock.Milli(position)*writeTurnDelay {
			s.lastWriteAt = now
			out = append(out, service)
		}
	}
	return out
}

// write stores the status of a service's move and logs the result.
func (w *statusWriter) write(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
	defer cancel()
	m := w.moves
	b, err := w.store.Newest(ctx, w.platform.Topics().Status)
	if err != nil {
		m.log.Warn().Str("service", service).Err(err).Msg("status_not_written")
		return
	}
	status, needed := w.statusToWrite(b, service)
	if needed {
		err = w.append(ctx, service, status, b.End)
	}
	phase := status.Latest.Phase
	if err != nil {
		m.log.Warn().Str("service", service).Stringer("phase", phase).Err(err).Msg("status_not_written")
		return
	}
	m.log.Info().Str("service", service).Stringer("phase", phase).Bool("found", !needed).Msg("status_written")
	m.markStored(service, status.Latest)
	m.notifyPeers()
}

// statusToWrite merges the stored status of a service and returns the one to write, and whether
// the store lacks it. It may have one of a later order, which this daemon has not received.
func (w *statusWriter) statusToWrite(b feed.Batch, service string) (status canary.Status, needed bool) {
	stored, found := w.findStatus(b, service)
	m := w.moves
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.byService[service]
	if found {
		m.mergeStatus(m.clock.Now(), s, stored)
	}
	status = s.move.Status()
	isLater := found && stored.Latest.Position > status.Latest.Position
	return status, !s.isStored() && !isLater
}

// append adds a status to the topic if that ends at a position.
func (w *statusWriter) append(ctx context.Context, service string, status canary.Status, at feed.Position) error {
	value, err := w.platform.EncodeStatus(status)
	if err != nil {
		return err
	}
	_, err = w.store.Append(ctx, w.platform.Topics().Status, feed.Item{Key: w.platform.StatusKey(service), Value: value}, at)
	return err
}

// markStored records that the store has the outcome of a service's move.
func (m *moveTracker) markStored(service string, o canary.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.byService[service]
	if s.move.Order().Position != o.Position {
		return
	}
	s.orderStored = true
	if o.Phase != canary.Running {
		s.statusStored, s.wasStored = true, true
	}
}

// findStatus returns the stored status of a service, false if there is no readable one.
func (w *statusWriter) findStatus(b feed.Batch, service string) (canary.Status, bool) {
	key := w.platform.StatusKey(service)
	i := slices.IndexFunc(b.Items, func(item feed.Item) bool { return item.Key == key })
	if i < 0 {
		return canary.Status{}, false
	}
	stored, err := w.platform.DecodeStatus(b.Items[i].Value)
	if err != nil {
		w.moves.log.Warn().Str("key", key).Err(err).Msg("status_unreadable")
		return canary.Status{}, false
	}
	return stored, true
}

// restore applies the statuses in the store to the known moves.
func (w *statusWriter) restore(ctx context.Context) error {
	b, err := w.store.Newest(ctx, w.platform.Topics().Status)
	if err != nil {
		return errors.Wrap(err, "read statuses")
	}
	m := w.moves
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, s := range m.byService {
		if stored, ok := w.findStatus(b, service); ok {
			m.mergeStatus(m.clock.Now(), s, stored)
		}
	}
	return nil
}
