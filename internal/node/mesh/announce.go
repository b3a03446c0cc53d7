package mesh

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
)

const (
	// announceTimeout limits one write of the daemon's own record.
	announceTimeout = clock.Second
	// announceRetryDelay is the delay after a failed write.
	announceRetryDelay = 700 * clock.Millisecond
	// maxRewriteDelay is the longest delay of the write after a restore of the store.
	maxRewriteDelay = clock.Second
	// initialAnnounceDelay is how long a daemon without a heartbeat delays its first
	// record, so that one write includes the upstream.
	initialAnnounceDelay = 2500 * clock.Millisecond
	// leaveStoreTimeout limits how long the answer to a heartbeat or deregistration
	// that ends an instance waits for the store. Heartbeats must be answered within
	// a second.
	leaveStoreTimeout = 400 * clock.Millisecond
)

// announcer writes the record of this daemon to the store.
type announcer struct {
	clock clock.Clock
	log   zerolog.Logger
	store feed.Store
	topic string
	table *peers.Table

	// onChange is called after a change of the record. It must not block.
	onChange func()

	mu        sync.Mutex
	self      peers.Record
	storedSeq uint64
	// storedEra is the era of the store in which the record was last stored.
	storedEra int64
	waiters   []chan struct{}
	wake      chan struct{}
}

func newAnnouncer(self peers.Record, clk clock.Clock, log zerolog.Logger, store feed.Store, topic string, table *peers.Table) *announcer {
	a := &announcer{
		clock: clk, log: log, store: store, topic: topic, table: table, self: self,
		onChange: func() {}, wake: make(chan struct{}, 1),
	}
	table.Merge(self)
	return a
}

// isStored reports whether the store has a record of this daemon.
func (a *announcer) isStored() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.storedSeq > 0
}

func (a *announcer) ownRecord() peers.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.self
}

// update changes the record and schedules its write. The returned channel is closed
// once the store has the current record, at once if it has it already. If this call
// changes nothing, the write of an earlier change may still be pending.
func (a *announcer) update(mutate func(*peers.Record)) <-chan struct{} {
	done := make(chan struct{})
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.self
	mutate(&a.self)
	changed := a.self != old
	if !changed && a.storedSeq == old.Seq {
		close(done)
		return done
	}
	if changed {
		a.self.Seq++
		a.table.Merge(a.self)
		a.onChange()
	}
	a.waiters = append(a.waiters, done)
	a.scheduleWrite()
	return done
}

// handleEra schedules another write of the record if it was last stored before a restore of
// the store, which may have lost it.
func (a *announcer) handleEra(era int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.storedSeq == 0 || era <= a.storedEra {
		return
	}
	a.storedSeq, a.storedEra = 0, era
	// At different times, so that the daemons don't all write at once.
	delay := clock.Milli(rand.Float64()) * maxRewriteDelay
	time.AfterFunc(delay.Duration(), a.scheduleWrite)
}

func (a *announcer) scheduleWrite() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Serve implements suture.Service.
func (a *announcer) Serve(ctx context.Context) error {
	return a.run(ctx)
}

func (a *announcer) run(ctx context.Context) error {
	initial := time.AfterFunc(initialAnnounceDelay.Duration(), a.scheduleWrite)
	defer initial.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.wake:
		}
		if err := a.write(ctx); err != nil {
			a.log.Warn().Err(err).Msg("announcement_not_written")
			time.AfterFunc(announceRetryDelay.Duration(), a.scheduleWrite)
		}
	}
}

// write stores the latest record, if it is not stored yet.
func (a *announcer) write(ctx context.Context) error {
	a.mu.Lock()
	self, waiters := a.self, a.waiters
	a.waiters = nil
	stored := a.storedSeq == self.Seq
	a.mu.Unlock()
	if stored {
		closeAll(waiters)
		return nil
	}
	value, err := self.Marshal()
	if err != nil {
		return err
	}
	item := feed.Item{Key: self.ID, Value: value}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout.Duration())
	defer cancel()
	end, err := a.store.Append(ctx, a.topic, item, feed.AnyPosition)
	if err != nil {
		a.mu.Lock()
		a.waiters = append(a.waiters, waiters...)
		a.mu.Unlock()
		return err
	}
	a.mu.Lock()
	a.storedSeq, a.storedEra = max(a.storedSeq, self.Seq), max(a.storedEra, end.Era())
	a.mu.Unlock()
	closeAll(waiters)
	return nil
}

func closeAll(waiters []chan struct{}) {
	for _, w := range waiters {
		close(w)
	}
}

// waitFor reports whether done was closed before the limit or the end of ctx.
func waitFor(ctx context.Context, done <-chan struct{}, limit clock.Milli) bool {
	t := time.NewTimer(limit.Duration())
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}
