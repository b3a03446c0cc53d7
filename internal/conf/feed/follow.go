package feed

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// maxReadWait limits how long the store may hold a read until a record
	// arrives. It is long because each read has a cost.
	maxReadWait = 25 * clock.Second
	// defaultBatchDelay is the pause after a read that returned records. Records
	// appended meanwhile are returned together by the next read.
	defaultBatchDelay = 400 * clock.Millisecond
	// minRetryDelay and maxRetryDelay limit the pauses while the store is
	// unavailable. A daemon must reconnect within 2 s of the store's return.
	minRetryDelay = 300 * clock.Millisecond
	maxRetryDelay = 900 * clock.Millisecond
	// retryJitter is the fraction by which retry delays are randomised, so that
	// the daemons don't all call a returning store at once.
	retryJitter = 0.2
	// immediateReadTimeout limits a read that does not wait for records. A store
	// may accept calls that it never answers, even after it has recovered. A
	// waiting read sent in that state would detect neither fault nor recovery.
	immediateReadTimeout = 800 * clock.Millisecond
	// minFullReadInterval is the shortest time between full reads that the sink needs.
	minFullReadInterval = clock.Second
)

// Sink receives the items of a topic from a Follower, one call at a time.
type Sink interface {
	// Replace receives the newest item of every key. The position end follows the
	// last item.
	Replace(items []Item, end Position)
	// Apply receives the items after the previous call. The position end follows
	// the last item.
	Apply(items []Item, end Position)
}

// FullReadNeeder is implemented by sinks that at times need all keys to be read again.
type FullReadNeeder interface {
	// FullReadIn returns the time until Replace must be called, and whether it must. The
	// need ends with a call of Replace or otherwise, so it passes to whoever follows the
	// topic then.
	FullReadIn() (clock.Milli, bool)
}

// Follower reads a topic continuously and passes its items to a sink.
type Follower struct {
	store      Store
	topic      string
	sink       Sink
	log        zerolog.Logger
	start      Position
	batchDelay clock.Milli
	readWait   func() clock.Milli
	// readImmediately makes reads return without waiting for records. It is set
	// after a failed read and after one with records, and cleared by a read that
	// returns none.
	readImmediately bool
	restart         chan struct{}
	// restarted is set when Restart has cancelled the read in progress.
	restarted atomic.Bool
	online    atomic.Bool
	failing   atomic.Bool
	// idle is set while the follower reads only when Poll is called.
	idle   atomic.Bool
	polled atomic.Bool
	wake   chan struct{}
	// position is where the next read starts.
	position atomic.Int64
	// fullReadAt is the time of the last full read.
	fullReadAt time.Time
	onRead     func(age clock.Milli)
}

// PositionNone as the start makes a follower begin with the newest item of
// every key.
const PositionNone = -1

// NewFollower returns a follower that begins with the newest item of every key,
// unless WithStart is given. It reads nothing until Serve is called.
func NewFollower(s Store, topic string, sink Sink, log zerolog.Logger, opts ...Option) *Follower {
	f := &Follower{
		store: s, topic: topic, sink: sink, log: log, start: PositionNone, batchDelay: defaultBatchDelay,
		readWait: func() clock.Milli { return maxReadWait }, restart: make(chan struct{}, 1),
		wake: make(chan struct{}, 1), onRead: func(clock.Milli) {},
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Online reports whether the last call to the store succeeded. It is false before
// the first one.
func (f *Follower) Online() bool {
	return f.online.Load()
}

// Failing reports whether the last call to the store failed.
func (f *Follower) Failing() bool {
	return f.failing.Load()
}

// Restart cancels a read in progress and repeats it shortly after. It is for use
// when a peer has records that this follower has not received.
func (f *Follower) Restart() {
	select {
	case f.restart <- struct{}{}:
	default:
	}
}

// SetIdle makes the follower read only when Poll is called, or continuously. A read in
// progress ends first.
func (f *Follower) SetIdle(idle bool) {
	if f.idle.Swap(idle) != idle && !idle {
		f.wakeUp()
	}
}

// Poll makes an idle follower read once. The read does not wait for records and is not
// repeated if it fails.
func (f *Follower) Poll() {
	f.polled.Store(true)
	f.wakeUp()
}

// Refresh makes the follower read without waiting for records. An idle follower reads once; a
// read that waits is repeated.
func (f *Follower) Refresh() {
	if f.idle.Load() {
		f.Poll()
		return
	}
	f.Restart()
}

// Position returns the position of the next read.
func (f *Follower) Position() Position {
	return Position(f.position.Load())
}

func (f *Follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// awaitWork waits until the follower has to read.
func (f *Follower) awaitWork(ctx context.Context) {
	for f.idle.Load() && !f.polled.Load() {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
			// Restart calls from before the wake-up are out of date.
			f.clearRestart()
		}
	}
	// An idle follower must not hold a read that waits.
	f.readImmediately = f.readImmediately || f.idle.Load()
}

func (f *Follower) clearRestart() {
	select {
	case <-f.restart:
	default:
	}
}

// Serve implements suture.Service. It returns when ctx is done.
func (f *Follower) Serve(ctx context.Context) error {
	return f.run(ctx)
}

func (f *Follower) run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRetryDelay.Duration(), maxRetryDelay.Duration()
	retry.RandomizationFactor = retryJitter
	end := f.start
	for {
		f.position.Store(int64(end))
		f.awaitWork(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f.polled.Store(false)
		if in, ok := f.fullReadIn(); ok && in <= 0 {
			end = PositionNone
		}
		next, err := f.readOnce(ctx, end)
		switch {
		case err == nil:
			retry.Reset()
			end = next
		case errors.Is(err, ErrGone):
			f.log.Info().Str("topic", f.topic).Stringer("from", end).Msg("store_records_gone")
			end = PositionNone
			// An idle follower has not finished its poll.
			f.polled.Store(true)
		case errors.Is(err, ErrRestored):
			f.log.Warn().Str("topic", f.topic).Stringer("from", end).Msg("store_restored")
			end = PositionNone
			f.polled.Store(true)
		case ctx.Err() != nil:
		case f.restarted.Swap(false):
			// The next read shows whether the store answers.
			f.readImmediately = true
		default:
			f.readImmediately = true
			f.setOnline(false, err)
			clock.Sleep(ctx, clock.FromDuration(retry.NextBackOff()))
		}
	}
}

// setOnline records whether the store is reachable and logs a change.
func (f *Follower) setOnline(online bool, err error) {
	f.failing.Store(!online)
	if f.online.Swap(online) == online {
		return
	}
	if online {
		f.log.Info().Str("topic", f.topic).Msg("store_regained")
		return
	}
	f.log.Warn().Str("topic", f.topic).Err(err).Msg("store_lost")
}
