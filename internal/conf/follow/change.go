package follow

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
)

// Waits between attempts of an append.
const (
	firstWait = 100 * time.Millisecond
	lastWait  = 2 * time.Second
)

// OutcomeUnknownError says that the fate of a change is not known yet. Asking with
// the id, or sending the change with the same id again, is always safe.
type OutcomeUnknownError struct {
	ID string
	// Sent says that an append may have reached the log.
	Sent  bool
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("change %s is not known yet, ask with this id: %v", e.ID, e.Cause)
}

func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// IDReusedError says that an id stands for a change with another content.
type IDReusedError struct {
	ID string
}

func (e *IDReusedError) Error() string {
	return fmt.Sprintf("id %s belongs to a change with another content", e.ID)
}

// RefusedError says that the log service rejected the record.
type RefusedError struct {
	ID    string
	Cause error
}

func (e *RefusedError) Error() string { return fmt.Sprintf("change %s: %v", e.ID, e.Cause) }

// Unwrap returns the error of the log service.
func (e *RefusedError) Unwrap() error { return e.Cause }

// Outcome returns what became of the change with an id, as far as the fold
// has got.
func (f *Follower) Outcome(id string) (fold.Outcome, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.q.State().Outcome(id)
}

// AwaitOutcome looks for the id of a change in the log, until ctx ends.
func (f *Follower) AwaitOutcome(ctx context.Context, id string) (fold.Outcome, error) {
	if o, ok := f.Outcome(id); ok {
		return o, nil
	}
	err := f.poll(ctx)
	if o, ok := f.Outcome(id); ok {
		return o, nil
	}
	if err == nil {
		err = errors.New("the log does not hold it")
	}
	return fold.Outcome{}, &OutcomeUnknownError{ID: id, Cause: err}
}

// Publish appends a change and waits until the fold has decided it. The same
// record may be appended several times: its id takes effect once.
func (f *Follower) Publish(ctx context.Context, r applog.Record) (fold.Outcome, error) {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval, waits.MaxInterval = firstWait, lastWait
	sent := false
	for {
		if o, ok := f.Outcome(r.ID); ok {
			return f.same(o, r)
		}
		if h := f.Health(); h.Fault != nil {
			return fold.Outcome{}, h.Fault
		}
		err := f.append(ctx, r)
		var fault *LogFault
		switch {
		case err == nil:
			return f.await(ctx, r)
		case errors.As(err, &fault):
			return fold.Outcome{}, fault
		case errors.Is(err, applog.ErrRefused):
			return fold.Outcome{}, &RefusedError{ID: r.ID, Cause: err}
		case errors.Is(err, applog.ErrOutcomeUnknown):
			sent = true
			// The record may be there; another append would only repeat it.
			_ = f.poll(ctx) // kept for Health
		}
		wait := waits.NextBackOff()
		var limited *applog.RateLimitError
		if errors.As(err, &limited) {
			wait = max(wait, limited.RetryAfter)
		}
		f.o.Logger.Warn().Str("id", r.ID).Err(err).Msg("append_failed")
		if !f.wait(ctx, wait) {
			if o, ok := f.Outcome(r.ID); ok {
				return f.same(o, r)
			}
			return fold.Outcome{}, &OutcomeUnknownError{ID: r.ID, Sent: sent, Cause: err}
		}
	}
}

func (f *Follower) same(o fold.Outcome, r applog.Record) (fold.Outcome, error) {
	if o.Digest != xxhash.Sum64(r.Body) {
		return o, &IDReusedError{ID: r.ID}
	}
	return o, nil
}

// append adds a record and, when it is acknowledged, hands it to the fold and
// the peers without waiting for a read of the log.
func (f *Follower) append(ctx context.Context, r applog.Record) error {
	var ack applog.Ack
	var err error
	if l, ok := f.log.(applog.AckAppender); ok {
		ack, err = l.AppendAck(ctx, r)
	} else {
		ack.Offset, err = f.log.Append(ctx, r)
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	err = f.checkGeneration(ack.Generation)
	if _, folded := f.q.State().Outcome(r.ID); err == nil && !folded && ack.Offset <= f.q.State().AppliedOffset() {
		err = &LogFault{Kind: FaultTruncated, Detail: fmt.Sprintf("appended at offset %d, folded to %d", ack.Offset, f.q.State().AppliedOffset())}
	}
	f.mu.Unlock()
	if err != nil {
		return err
	}
	f.offer([]applog.Entry{{Offset: ack.Offset, Record: r}})
	signal(f.wake)
	return nil
}

// await waits until an acknowledged change is folded.
func (f *Follower) await(ctx context.Context, r applog.Record) (fold.Outcome, error) {
	for {
		f.mu.Lock()
		changed := f.changed
		o, ok := f.q.State().Outcome(r.ID)
		f.mu.Unlock()
		if ok {
			return f.same(o, r)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fold.Outcome{}, &OutcomeUnknownError{ID: r.ID, Sent: true, Cause: errors.New("records before it are not read yet")}
		}
	}
}

// wait waits for d or the next folded record.
func (f *Follower) wait(ctx context.Context, d time.Duration) bool {
	f.mu.Lock()
	changed := f.changed
	f.mu.Unlock()
	return pause(ctx, d, changed)
}
