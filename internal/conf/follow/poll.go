package follow

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
)

// FaultKind classifies a LogFault.
type FaultKind int

// The kinds of faults for which a log is not followed: it has another generation,
// ends before a record that was applied, has another record at an applied offset,
// or begins after the first record without a snapshot to start from.
//
//go:generate ../../../bin/stringer -type FaultKind -linecomment -output faultkind_string.go
const (
	FaultRestarted  FaultKind = iota // restarted
	FaultTruncated                   // truncated
	FaultRewritten                   // rewritten
	FaultNoSnapshot                  // no_snapshot
)

// LogFault is the reason why the log is not followed. The configuration in force
// stays.
type LogFault struct {
	Kind   FaultKind
	Detail string
}

func (e *LogFault) Error() string {
	return fmt.Sprintf("the log is not followed (%s): %s", e.Kind, e.Detail)
}

// pollLoop reads the log periodically and on pollSignal.
func (f *Follower) pollLoop(ctx context.Context) {
	for sleepOrSignal(ctx, f.pollInterval(), f.pollSignal) {
		_ = f.poll(ctx) // Health reports the error
	}
}

// pollInterval returns the time until the next read of the log. It grows with the
// number of live members, so that the fleet does not exceed ReadsPerSecond.
func (f *Follower) pollInterval() time.Duration {
	n := float64(len(f.peers()) + 1)
	return f.jitter(max(f.options.PollInterval, time.Duration(n/f.options.ReadsPerSecond*float64(time.Second))))
}

// poll reads the log to its end and updates what Health reports.
func (f *Follower) poll(ctx context.Context) error {
	f.pollMu.Lock()
	defer f.pollMu.Unlock()
	err := f.readToEnd(ctx)
	f.mu.Lock()
	f.readErr = err
	if err == nil {
		f.lastReadAt = f.options.Clock.Now()
		f.ready = true
	}
	var fault *LogFault
	isFault := errors.As(err, &fault)
	if isFault && (f.fault == nil || f.fault.Kind != fault.Kind) {
		f.options.Logger.Error().Str("fault", fault.Kind.String()).Str("detail", fault.Detail).Msg("log_not_followed")
	}
	// A failed read does not show that the fault is gone, so only a successful
	// one clears it.
	if isFault || err == nil {
		f.fault = fault
	}
	f.mu.Unlock()
	return err
}

// readToEnd applies the records of the log from the last applied one on. If the
// next record is no longer retained, it continues from a snapshot in the log.
func (f *Follower) readToEnd(ctx context.Context) error {
	for {
		f.mu.Lock()
		applied := f.buffer.State().AppliedOffset()
		f.mu.Unlock()
		// The last applied record is read again: if it differs, the log was
		// rewritten.
		from := max(applied, 1)
		b, err := f.log.Read(ctx, from, maxRecordsPerRead)
		var gone *applog.GoneError
		if errors.As(err, &gone) {
			if gone.FirstOffset > applied+1 {
				if err := f.restoreFromLog(ctx, gone.FirstOffset); err != nil {
					return err
				}
				continue
			}
			b, err = f.log.Read(ctx, gone.FirstOffset, maxRecordsPerRead)
		}
		if err != nil {
			return err
		}
		if err := f.checkBatch(b, applied); err != nil {
			return err
		}
		f.ingest(b.Entries)
		f.mu.Lock()
		appliedNow := f.buffer.State().AppliedOffset()
		f.mu.Unlock()
		if appliedNow >= b.NextOffset-1 || appliedNow == applied {
			return nil
		}
	}
}

// checkBatch compares a batch with the applied records. applied is the offset of
// the last record applied before the read: appends and exchanges may have applied
// later records in the meantime, which the batch can't contain.
func (f *Follower) checkBatch(b applog.Batch, applied int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots.logStart = b.FirstOffset
	st := f.buffer.State()
	if err := f.checkGeneration(b.Generation); err != nil {
		return err
	}
	if b.NextOffset-1 < applied {
		return &LogFault{Kind: FaultTruncated, Detail: fmt.Sprintf("log ends at offset %d, but records up to offset %d are applied", b.NextOffset-1, applied)}
	}
	for _, e := range b.Entries {
		if e.Offset == st.AppliedOffset() && fold.DigestOf(e.Record) != st.LastDigest() {
			return &LogFault{Kind: FaultRewritten, Detail: fmt.Sprintf("record at offset %d differs from the applied one", e.Offset)}
		}
	}
	return nil
}

// checkGeneration returns a fault if the generation of the log is not the one
// followed. The first generation seen is adopted. The caller holds f.mu.
func (f *Follower) checkGeneration(g string) error {
	if f.generation == "" {
		f.generation = g
	}
	if g != "" && g != f.generation {
		return &LogFault{Kind: FaultRestarted, Detail: fmt.Sprintf("generation %s, folded %s", g, f.generation)}
	}
	return nil
}

// loadInitialState requests the state from up to pushFanout peers until one
// returns it, and then reads the log.
func (f *Follower) loadInitialState(ctx context.Context) {
	for _, p := range f.randomPeers(pushFanout) {
		if f.exchange(ctx, p, nil, true) == nil && f.AppliedOffset() > 0 {
			f.mu.Lock()
			f.ready = true
			f.mu.Unlock()
			break
		}
	}
	if err := f.poll(ctx); err != nil && ctx.Err() == nil {
		f.options.Logger.Warn().Err(err).Msg("log_unread_at_start")
	}
}

// AppliedOffset returns the offset of the last applied record, or 0.
func (f *Follower) AppliedOffset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.buffer.State().AppliedOffset()
}

// Health is the status of a follower.
type Health struct {
	// Ready is true once the configuration was read from the log or a peer.
	Ready         bool
	Revision      int64
	AppliedOffset int64
	// HasGap is true while received records can't be applied because earlier ones
	// are missing.
	HasGap bool
	// LastReadMS is the time, in milliseconds, at which the log was last read to
	// its end; 0 if it never was.
	LastReadMS float64
	// ReadError is the error of the last read, nil if it succeeded.
	ReadError error
	// Fault is the reason why the log is not followed, nil if it is.
	Fault *LogFault
}

// Health returns the current status.
func (f *Follower) Health() Health {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Health{
		Ready:         f.ready,
		Revision:      f.buffer.State().Config().Revision,
		AppliedOffset: f.buffer.State().AppliedOffset(),
		HasGap:        f.buffer.HasGap(),
		LastReadMS:    float64(f.lastReadAt),
		ReadError:     f.readErr,
		Fault:         f.fault,
	}
}

// History returns up to fold.MaxHistory changes, the newest last.
func (f *Follower) History() []fold.HistoryEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.buffer.State().History()
}

// SeedPeers returns the daemons with an unexpired announcement in the log, the
// newest first.
func (f *Follower) SeedPeers() []fold.SeedPeer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.buffer.State().SeedPeers(f.options.Clock.Now())
}
