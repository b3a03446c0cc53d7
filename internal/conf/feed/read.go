package feed

import (
	"context"
	"sync/atomic"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// readOnce performs one read and passes its items to the sink. It returns the
// position of the next read.
func (f *Follower) readOnce(ctx context.Context, from Position) (Position, error) {
	sentAt := time.Now()
	if from < 0 {
		b, err := f.store.Newest(ctx, f.topic)
		if err != nil {
			return from, err
		}
		f.setOnline(true, nil)
		f.sink.Replace(b.Items, b.End)
		f.onRead(clock.FromDuration(time.Since(sentAt)))
		f.fullReadAt = time.Now()
		return b.End, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.restarted.Store(false)
	w := &restartWatcher{restart: f.restart, restarted: &f.restarted, done: ctx.Done(), cancel: cancel}
	go w.run()
	waits := !f.readImmediately
	b, err := f.readFrom(ctx, from)
	if err != nil {
		return from, err
	}
	f.setOnline(true, nil)
	f.sink.Apply(b.Items, b.End)
	if waits {
		// The store holds a read that waits until just before its answer.
		sentAt = time.Now()
	}
	f.onRead(clock.FromDuration(time.Since(sentAt)))
	f.readImmediately = len(b.Items) > 0
	if f.readImmediately && !f.idle.Load() {
		clock.Sleep(ctx, f.batchDelay)
	}
	return b.End, nil
}

// readFrom reads from a position. It waits for records, unless the store may have
// stopped answering since its last reply.
func (f *Follower) readFrom(ctx context.Context, from Position) (Batch, error) {
	if !f.readImmediately {
		return f.store.Read(ctx, f.topic, from, f.nextReadWait())
	}
	ctx, cancel := context.WithTimeout(ctx, immediateReadTimeout.Duration())
	defer cancel()
	return f.store.Read(ctx, f.topic, from, 0)
}

// fullReadIn returns the time until the sink needs a full read, and whether it needs one.
func (f *Follower) fullReadIn() (clock.Milli, bool) {
	needer, ok := f.sink.(FullReadNeeder)
	if !ok {
		return 0, false
	}
	in, ok := needer.FullReadIn()
	since := clock.FromDuration(time.Since(f.fullReadAt))
	return max(0, in, minFullReadInterval-since), ok
}

// nextReadWait returns how long the next read may wait for records.
func (f *Follower) nextReadWait() clock.Milli {
	wait := min(maxReadWait, f.readWait())
	if in, ok := f.fullReadIn(); ok {
		wait = min(wait, in)
	}
	return wait
}

// restartWatcher cancels a read when Restart is called on its follower.
type restartWatcher struct {
	restart   <-chan struct{}
	restarted *atomic.Bool
	done      <-chan struct{}
	cancel    context.CancelFunc
}

func (w *restartWatcher) run() {
	select {
	case <-w.restart:
		w.restarted.Store(true)
		w.cancel()
	case <-w.done:
	}
}
