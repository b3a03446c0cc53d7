package feed

import (
	"context"
	"sync/atomic"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// longestWait is how long the store may hold a read back until a record
	// arrives. Each read has a price, so it is long.
	longestWait = 25 * clock.Second
	// defaultBatchPause is the pause after a read, in which further records gather.
	defaultBatchPause = 400 * clock.Millisecond
	// firstRetry and lastRetry bound the pauses while the store is away. A
	// daemon must be back two seconds after the store is.
	firstRetry = 300 * clock.Millisecond
	lastRetry  = 900 * clock.Millisecond
	// retrySpread keeps daemons from asking a store that returns all at once.
	retrySpread = 0.2
	// answerWithin bounds a read that does not wait. A store that accepts calls
	// and answers none loses them for good, and a waiting read that began
	// meanwhile would show neither that nor its return.
	answerWithin = 800 * clock.Millisecond
)

// Sink takes in the items of a topic.
type Sink interface {
	// Replace takes in all items that are kept at end.
	Replace(items []Item, end int64)
	// Apply takes in items that follow those before, up to end.
	Apply(items []Item, end int64)
}

// Follower keeps a sink up to date with a topic.
type Follower struct {
	store      Store
	topic      string
	sink       Sink
	log        zerolog.Logger
	from       int64
	batchPause clock.Milli
	readWait   func() clock.Milli
	// unsure is set until a read that does not wait found nothing new.
	unsure bool
	kick   chan struct{}
	online atomic.Bool
}

// Option changes a follower.
type Option func(*Follower)

// WithStartOffset starts to follow at an offset up to which the sink has everything.
func WithStartOffset(offset int64) Option {
	return func(f *Follower) { f.from = offset }
}

// WithBatchDelay sets the pause after a read, in which further records gather. Each
// read has a price, which all followers of a topic pay for each record.
func WithBatchDelay(d clock.Milli) Option {
	return func(f *Follower) { f.batchPause = d }
}

// WithReadWait sets how long a read may wait for records, at most 25 s. A read
// whose answer was lost ends only then.
func WithReadWait(wait func() clock.Milli) Option {
	return func(f *Follower) { f.readWait = wait }
}

// OffsetUnread is an offset that makes a follower read the whole topic first.
const OffsetUnread = -1

// NewFollower returns a follower of a topic.
func NewFollower(s Store, topic string, sink Sink, log zerolog.Logger, opts ...Option) *Follower {
	f := &Follower{
		store: s, topic: topic, sink: sink, log: log, from: OffsetUnread, batchPause: defaultBatchPause,
		readWait: func() clock.Milli { return longestWait }, kick: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Online reports whether the last call to the store succeeded.
func (f *Follower) Online() bool {
	return f.online.Load()
}

// Restart ends a read that hangs and starts anew: a peer has seen records that
// this follower did not get.
func (f *Follower) Restart() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// Serve implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	return f.run(ctx)
}

func (f *Follower) run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = firstRetry.Duration(), lastRetry.Duration()
	retry.RandomizationFactor = retrySpread
	end := f.from
	for ctx.Err() == nil {
		next, err := f.step(ctx, end)
		switch {
		case err == nil:
			f.mark(true, nil)
			retry.Reset()
			end = next
		case errors.Is(err, ErrGone):
			f.log.Info().Str("topic", f.topic).Int64("from", end).Msg("store_records_gone")
			end = OffsetUnread
		case ctx.Err() != nil:
		default:
			f.unsure = true
			f.mark(false, err)
			clock.Sleep(ctx, clock.FromDuration(retry.NextBackOff()))
		}
	}
	return ctx.Err()
}

// step reads once. It returns the offset to go on from.
func (f *Follower) step(ctx context.Context, from int64) (int64, error) {
	if from < 0 {
		b, err := f.store.Newest(ctx, f.topic)
		if err != nil {
			return from, err
		}
		f.sink.Replace(b.Items, b.NextOffset)
		return b.NextOffset, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &watch{kick: f.kick, done: ctx.Done(), cancel: cancel}
	go w.run()
	b, err := f.read(ctx, from)
	if err != nil {
		return from, err
	}
	f.sink.Apply(b.Items, b.NextOffset)
	f.unsure = len(b.Items) > 0
	if f.unsure {
		clock.Sleep(ctx, f.batchPause)
	}
	return b.NextOffset, nil
}

// read waits for records, unless the store may have fallen silent since the
// last answer.
func (f *Follower) read(ctx context.Context, from int64) (Batch, error) {
	if !f.unsure {
		return f.store.Read(ctx, f.topic, from, min(longestWait, f.readWait()))
	}
	ctx, cancel := context.WithTimeout(ctx, answerWithin.Duration())
	defer cancel()
	return f.store.Read(ctx, f.topic, from, 0)
}

// mark logs when the store is lost and regained.
func (f *Follower) mark(online bool, err error) {
	if f.online.Swap(online) == online {
		return
	}
	if online {
		f.log.Info().Str("topic", f.topic).Msg("store_regained")
		return
	}
	f.log.Warn().Str("topic", f.topic).Err(err).Msg("store_lost")
}

// watch cancels a read when its follower is kicked.
type watch struct {
	kick   <-chan struct{}
	done   <-chan struct{}
	cancel context.CancelFunc
}

func (w *watch) run() {
	select {
	case <-w.kick:
		w.cancel()
	case <-w.done:
	}
}
