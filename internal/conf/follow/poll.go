package follow

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
)

// FaultKind says what is wrong with the log.
type FaultKind int

// The faults of a log that make it unfit to be followed.
//
//go:generate ../../../bin/stringer -type FaultKind -linecomment -output faultkind_string.go
const (
	FaultRestarted  FaultKind = iota // restarted
	FaultTruncated                   // truncated
	FaultRewritten                   // rewritten
	FaultNoSnapshot                  // no_snapshot
)

// LogFault says why the log is not followed. The revision in force stays.
type LogFault struct {
	Kind   FaultKind
	Detail string
}

func (e *LogFault) Error() string {
	return fmt.Sprintf("the log is not followed (%s): %s", e.Kind, e.Detail)
}

func (f *Follower) pollLoop(ctx context.Context) {
	for pause(ctx, f.pollInterval(), f.wake) {
		_ = f.poll(ctx) // kept for Health
	}
}

// pollInterval bounds the reads of the whole fleet.
func (f *Follower) pollInterval() time.Duration {
	n := float64(len(f.peers()) + 1)
	return f.jitter(max(f.o.PollInterval, time.Duration(n/f.o.ReadsPerSecond*float64(time.Second))))
}

// poll reads the log to its end. It returns nil if that was possible.
func (f *Follower) poll(ctx context.Context) error {
	f.pollMu.Lock()
	defer f.pollMu.Unlock()
	err := f.readToEnd(ctx)
	f.mu.Lock()
	f.readErr = err
	if err == nil {
		f.lastRead = f.o.Clock.Now()
		f.ready = true
	}
	var fault *LogFault
	isFault := errors.As(err, &fault)
	if isFault && (f.fault == nil || f.fault.Kind != fault.Kind) {
		f.o.Logger.Error().Str("fault", fault.Kind.String()).Str("detail", fault.Detail).Msg("log_not_followed")
	}
	// An outage says nothing about the fault, so only a good read clears it.
	if isFault || err == nil {
		f.fault = fault
	}
	f.mu.Unlock()
	return err
}

func (f *Follower) readToEnd(ctx context.Context) error {
	for {
		f.mu.Lock()
		applied := f.q.State().AppliedOffset()
		f.mu.Unlock()
		// The last record is read again, as it tells a rewritten log.
		from := max(applied, 1)
		b, err := f.log.Read(ctx, from, readLimit)
		var gone *applog.GoneError
		if errors.As(err, &gone) {
			if gone.FirstOffset > applied+1 {
				if err := f.fromSnapshot(ctx, gone.FirstOffset); err != nil {
					return err
				}
				continue
			}
			b, err = f.log.Read(ctx, gone.FirstOffset, readLimit)
		}
		if err != nil {
			return err
		}
		if err := f.check(b, applied); err != nil {
			return err
		}
		f.offer(b.Entries)
		f.mu.Lock()
		now := f.q.State().AppliedOffset()
		f.mu.Unlock()
		if now >= b.NextOffset-1 || now == applied {
			return nil
		}
	}
}

// check compares a batch with what was folded. Applied is the offset folded
// before the read: appends and peers may have moved the fold on since, and the
// batch can't hold what came after it.
func (f *Follower) check(b applog.Batch, applied int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snaps.first = b.FirstOffset
	st := f.q.State()
	if err := f.checkGeneration(b.Generation); err != nil {
		return err
	}
	if b.NextOffset-1 < applied {
		return &LogFault{Kind: FaultTruncated, Detail: fmt.Sprintf("ends at offset %d, folded to %d", b.NextOffset-1, applied)}
	}
	for _, e := range b.Entries {
		if e.Offset == st.AppliedOffset() && fold.DigestOf(e.Record) != st.LastDigest() {
			return &LogFault{Kind: FaultRewritten, Detail: fmt.Sprintf("another record at offset %d", e.Offset)}
		}
	}
	return nil
}

// checkGeneration compares and adopts the generation of a log. It needs f.mu.
func (f *Follower) checkGeneration(g string) error {
	if f.generation == "" {
		f.generation = g
	}
	if g != "" && g != f.generation {
		return &LogFault{Kind: FaultRestarted, Detail: fmt.Sprintf("generation %s, folded %s", g, f.generation)}
	}
	return nil
}

// start gets the first state from a peer or, without one, from the log.
func (f *Follower) start(ctx context.Context) {
	for _, p := range f.pick(fanout) {
		if f.exchange(ctx, p, nil, true) == nil && f.AppliedOffset() > 0 {
			f.mu.Lock()
			f.ready = true
			f.mu.Unlock()
			break
		}
	}
	if err := f.poll(ctx); err != nil && ctx.Err() == nil {
		f.o.Logger.Warn().Err(err).Msg("log_unread_at_start")
	}
}

// AppliedOffset returns the offset of the last folded record.
func (f *Follower) AppliedOffset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.q.State().AppliedOffset()
}

// Health says how the follower is doing.
type Health struct {
	// Ready says that the configuration was read from the log or a peer.
	Ready         bool
	Revision      int64
	AppliedOffset int64
	// HasGap says that records were received whose predecessors are missing.
	HasGap bool
	// LastRead is when the log was last read to its end.
	LastReadMS float64
	// ReadError is why the last read failed; Fault why the log is not followed.
	ReadError error
	Fault     *LogFault
}

// Health returns how the follower is doing.
func (f *Follower) Health() Health {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Health{
		Ready:         f.ready,
		Revision:      f.q.State().Config().Revision,
		AppliedOffset: f.q.State().AppliedOffset(),
		HasGap:        f.q.HasGap(),
		LastReadMS:    float64(f.lastRead),
		ReadError:     f.readErr,
		Fault:         f.fault,
	}
}

// History returns the last changes, the newest last.
func (f *Follower) History() []fold.HistoryEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.q.State().History()
}

// SeedPeers returns the daemons that announced themselves in the log.
func (f *Follower) SeedPeers() []fold.SeedPeer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.q.State().SeedPeers(f.o.Clock.Now())
}
