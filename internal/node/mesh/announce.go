package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
)

const (
	// announceTimeout bounds one write of the own record.
	announceTimeout = clock.Second
	// announceRetry is the pause after a failed write.
	announceRetry = 700 * clock.Millisecond
	// firstWait is how long a daemon that has not heard of its upstream waits
	// with its first record: one record then serves instead of two.
	firstWait = 2500 * clock.Millisecond
	// leaveWait is how long a heartbeat that ends an instance waits for the
	// store. The heartbeat must be answered within a second.
	leaveWait = 400 * clock.Millisecond
)

// announcer keeps the record of this daemon in the store.
type announcer struct {
	clock clock.Clock
	log   zerolog.Logger
	store feed.Store
	topic string
	table *peers.Table

	mu      sync.Mutex
	self    peers.Record
	written uint64
	waiters []chan struct{}
	wake    chan struct{}
}

func newAnnouncer(self peers.Record, clk clock.Clock, log zerolog.Logger, store feed.Store, topic string, table *peers.Table) *announcer {
	a := &announcer{
		clock: clk, log: log, store: store, topic: topic, table: table, self: self,
		wake: make(chan struct{}, 1),
	}
	table.Merge(self)
	return a
}

// record returns the own record.
func (a *announcer) record() peers.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.self
}

// change sets what the record says. The returned channel is closed once the
// store has it, also if an earlier change said the same and is not stored yet.
func (a *announcer) change(f func(*peers.Record)) <-chan struct{} {
	done := make(chan struct{})
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.self
	f(&a.self)
	changed := a.self != old
	if !changed && a.written == old.Seq {
		close(done)
		return done
	}
	if changed {
		a.self.Seq++
		a.table.Merge(a.self)
	}
	a.waiters = append(a.waiters, done)
	a.signal()
	return done
}

func (a *announcer) signal() {
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
	first := time.AfterFunc(firstWait.Duration(), a.signal)
	defer first.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.wake:
		}
		if err := a.write(ctx); err != nil {
			a.log.Warn().Err(err).Msg("announcement_not_written")
			time.AfterFunc(announceRetry.Duration(), a.signal)
		}
	}
}

// write puts the newest record into the store.
func (a *announcer) write(ctx context.Context) error {
	a.mu.Lock()
	self, waiters := a.self, a.waiters
	a.waiters = nil
	stored := a.written == self.Seq
	a.mu.Unlock()
	if stored {
		finish(waiters)
		return nil
	}
	value, err := self.Marshal()
	if err != nil {
		return err
	}
	item := feed.Item{Key: self.ID, Value: value}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout.Duration())
	defer cancel()
	if _, err := a.store.Append(ctx, a.topic, item, feed.AnyOffset); err != nil {
		a.mu.Lock()
		a.waiters = append(a.waiters, waiters...)
		a.mu.Unlock()
		return err
	}
	a.mu.Lock()
	a.written = max(a.written, self.Seq)
	a.mu.Unlock()
	finish(waiters)
	return nil
}

// finish tells those that wait for a write.
func finish(waiters []chan struct{}) {
	for _, w := range waiters {
		close(w)
	}
}

// await waits for the store for a bounded time.
func await(ctx context.Context, done <-chan struct{}, limit clock.Milli) bool {
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
