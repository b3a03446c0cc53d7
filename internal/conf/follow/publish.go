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

// Limits of the exponential backoff between attempts to append a change.
const (
	minAppendBackoff = 100 * time.Millisecond
	maxAppendBackoff = 2 * time.Second
)

// OutcomeUnknownError reports that the outcome of a change is not known yet.
// Querying the outcome, and publishing the change again with the same id, are
// always safe.
type OutcomeUnknownError struct {
	ID string
	// Sent is true if an append may have reached the log.
	Sent  bool
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("change %s is not known yet, ask with this id: %v", e.ID, e.Cause)
}

// Unwrap returns the error of the last append or read.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// IDReusedError reports that the id of a change was already used for a change
// with different content.
type IDReusedError struct {
	ID string
}

func (e *IDReusedError) Error() string {
	return fmt.Sprintf("id %s was already used for a change with different content", e.ID)
}

// RefusedError reports that the log service rejected the record of a change.
type RefusedError struct {
	ID    string
	Cause error
}

func (e *RefusedError) Error() string { return fmt.Sprintf("change %s: %v", e.ID, e.Cause) }

// Unwrap returns the error of the log service.
func (e *RefusedError) Unwrap() error { return e.Cause }

// Outcome returns the outcome of the change with an id, and false if the change
// has not been applied or its outcome was evicted.
func (f *Follower) Outcome(id string) (fold.Outcome, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.buffer.State().Outcome(id)
}

// ResolveOutcome returns the outcome of the change with an id, reading the log
// to its end if necessary. Its errors are of type *OutcomeUnknownError.
func (f *Follower) ResolveOutcome(ctx context.Context, id string) (fold.Outcome, error) {
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

// Publish appends a change to the log and waits until it is applied and its
// outcome is known. It retries failed appends until ctx ends. A record that this
// appends several times takes effect once.
func (f *Follower) Publish(ctx context.Context, r applog.Record) (fold.Outcome, error) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = minAppendBackoff, maxAppendBackoff
	sent := false
	for {
		if o, ok := f.Outcome(r.ID); ok {
			return f.checkSameContent(o, r)
		}
		if h := f.Health(); h.Fault != nil {
			return fold.Outcome{}, h.Fault
		}
		err := f.append(ctx, r)
		var fault *LogFault
		switch {
		case err == nil:
			return f.awaitApplied(ctx, r)
		case errors.As(err, &fault):
			return fold.Outcome{}, fault
		case errors.Is(err, applog.ErrRefused):
			return fold.Outcome{}, &RefusedError{ID: r.ID, Cause: err}
		case errors.Is(err, applog.ErrOutcomeUnknown):
			sent = true
			// The record may be in the log already: read it before appending it
			// again.
			_ = f.poll(ctx) // Health reports the error
		}
		wait := retryDelay.NextBackOff()
		var limited *applog.RateLimitError
		if errors.As(err, &limited) {
			wait = max(wait, limited.RetryAfter)
		}
		f.options.Logger.Warn().Str("id", r.ID).Err(err).Msg("append_failed")
		if !f.sleepOrApplied(ctx, wait) {
			if o, ok := f.Outcome(r.ID); ok {
				return f.checkSameContent(o, r)
			}
			return fold.Outcome{}, &OutcomeUnknownError{ID: r.ID, Sent: sent, Cause: err}
		}
	}
}

// checkSameContent returns the outcome o of the change with the id of r, and an
// IDReusedError if that change has another body than r.
func (f *Follower) checkSameContent(o fold.Outcome, r applog.Record) (fold.Outcome, error) {
	if o.Digest != xxhash.Sum64(r.Body) {
		return o, &IDReusedError{ID: r.ID}
	}
	return o, nil
}

// append appends a record to the log. Once it is acknowledged, append applies it
// and queues it for the peers without reading it back from the log.
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
	if _, applied := f.buffer.State().Outcome(r.ID); err == nil && !applied && ack.Offset <= f.buffer.State().AppliedOffset() {
		err = &LogFault{Kind: FaultTruncated, Detail: fmt.Sprintf("record appended at offset %d, but records up to offset %d are applied already", ack.Offset, f.buffer.State().AppliedOffset())}
	}
	f.mu.Unlock()
	if err != nil {
		return err
	}
	f.ingest([]applog.Entry{{Offset: ack.Offset, Record: r}})
	signal(f.pollSignal)
	return nil
}

// awaitApplied waits until an acknowledged change is applied, and returns its
// outcome.
func (f *Follower) awaitApplied(ctx context.Context, r applog.Record) (fold.Outcome, error) {
	for {
		f.mu.Lock()
		applied := f.appliedSignal
		o, ok := f.buffer.State().Outcome(r.ID)
		f.mu.Unlock()
		if ok {
			return f.checkSameContent(o, r)
		}
		select {
		case <-applied:
		case <-ctx.Done():
			return fold.Outcome{}, &OutcomeUnknownError{ID: r.ID, Sent: true, Cause: errors.New("earlier records have not been read yet")}
		}
	}
}

// sleepOrApplied waits for d or until a record is applied. It returns false if
// ctx ended.
func (f *Follower) sleepOrApplied(ctx context.Context, d time.Duration) bool {
	f.mu.Lock()
	applied := f.appliedSignal
	f.mu.Unlock()
	return sleepOrSignal(ctx, d, applied)
}
