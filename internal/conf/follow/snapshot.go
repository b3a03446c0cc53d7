package follow

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
)

// maxStateBytes limits the decompressed size of a broken or hostile snapshot.
const maxStateBytes = 64 << 20

// maxDaemons is the largest fleet for which snapshotDelay keeps simultaneous appends
// rare.
const maxDaemons = 4096

// The search for a snapshot covers the last initialSearchRecords of the log first
// and then repeatedly searchGrowthFactor times as many.
const (
	initialSearchRecords = 1024
	searchGrowthFactor   = 4
)

// snapshotIDFormat is the format of the id of a snapshot record, with the applied
// offset and the hash of the state. It is printed and parsed.
const snapshotIDFormat = "snapshot-%d-%x"

var snapshotCounts = expvar.NewMap("config_snapshots")

// snapshotBody is the JSON body of a snapshot record.
type snapshotBody struct {
	Applied int64  `json:"applied"`
	Hash    uint64 `json:"hash"`
	// State is the compressed state; Hash is that of the uncompressed one.
	State []byte `json:"state"`
}

// snapshotState is the state of writing snapshots to the log.
type snapshotState struct {
	// captured is the snapshot that this daemon made last, usually at a multiple
	// of RecordsPerSnapshot.
	captured snapshotBody
	// appendAt is when to append the captured snapshot, 0 if no append is scheduled.
	appendAt clock.Milli
	// lastOffset and lastSeenAt are the log offset of the last good snapshot and
	// the time at which it was read.
	lastOffset int64
	lastSeenAt clock.Milli
	// logStart is the offset of the first record that the log retains.
	logStart int64
}

// captureSnapshot makes a snapshot of the state and schedules its append. The
// caller holds f.mu.
func (f *Follower) captureSnapshot(s *fold.State) {
	b := s.Snapshot()
	f.snapshots.captured = snapshotBody{Applied: s.AppliedOffset(), Hash: xxhash.Sum64(b), State: compress(b)}
	f.snapshots.appendAt = f.options.Clock.Now() + f.snapshotDelay()
}

// snapshotDelay returns a random delay that is close to SnapshotMaxDelay on nearly
// all daemons, so that of up to maxDaemons one appends first and the others see
// its record (exponentially distributed feedback timers). The caller holds f.mu.
func (f *Follower) snapshotDelay() clock.Milli {
	u := max(f.rand.Float64(), 1.0/maxDaemons)
	return clock.FromDuration(f.options.SnapshotMaxDelay) * clock.Milli(1+math.Log(u)/math.Log(maxDaemons))
}

// observeSnapshot records a snapshot that is in the log and cancels the append of
// the captured one, unless the two differ at the same offset. The caller holds
// f.mu.
func (f *Follower) observeSnapshot(e applog.Entry) {
	if e.Record.Kind != applog.KindSnapshot {
		return
	}
	var snapshot snapshotBody
	if _, err := fmt.Sscanf(e.Record.ID, snapshotIDFormat, &snapshot.Applied, &snapshot.Hash); err != nil {
		snapshotCounts.Add("malformed", 1)
		return
	}
	if snapshot.Applied == f.snapshots.captured.Applied && snapshot.Hash != f.snapshots.captured.Hash {
		snapshotCounts.Add("mismatch", 1)
		f.options.Logger.Error().Int64("offset", e.Offset).Int64("applied", snapshot.Applied).
			Str("author", e.Record.Author).Msg("snapshot_mismatch")
		return
	}
	snapshotCounts.Add("good", 1)
	f.snapshots.lastOffset = e.Offset
	f.snapshots.lastSeenAt = f.options.Clock.Now()
	if snapshot.Applied >= f.snapshots.captured.Applied {
		f.snapshots.appendAt = 0
	}
}

// snapshotLoop appends the captured snapshot when it is due.
func (f *Follower) snapshotLoop(ctx context.Context) {
	for sleepOrSignal(ctx, f.jitter(f.options.SnapshotMaxDelay/30+10*time.Millisecond), nil) {
		if r, ok := f.dueSnapshot(); ok {
			// A lost acknowledgement is harmless: a repeated snapshot does not change
			// the state.
			if _, err := f.log.Append(ctx, r); err != nil && ctx.Err() == nil {
				f.options.Logger.Warn().Err(err).Msg("snapshot_not_appended")
			}
			signal(f.pollSignal)
		}
	}
}

// dueSnapshot returns the snapshot record to append if it is due. If none is
// scheduled, it schedules one when the last one in the log is too old, or when the
// log's retention has dropped records and no snapshot is left.
func (f *Follower) dueSnapshot() (applog.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	s := &f.snapshots
	st := f.buffer.State()
	if f.fault != nil || !f.ready || st.AppliedOffset() == 0 {
		return applog.Record{}, false
	}
	if s.appendAt == 0 {
		expired := s.lastOffset > 0 && now-s.lastSeenAt > clock.FromDuration(f.options.SnapshotMaxAge)
		dropped := s.logStart > 1 && s.lastOffset < s.logStart
		if expired || dropped {
			f.captureSnapshot(st)
		}
		return applog.Record{}, false
	}
	if now < s.appendAt {
		return applog.Record{}, false
	}
	// If the append fails, another daemon retries, or this one after the delay.
	s.appendAt = now + f.snapshotDelay() + clock.FromDuration(f.options.SnapshotMaxDelay)
	body, err := json.Marshal(s.captured)
	if err != nil {
		return applog.Record{}, false
	}
	return applog.Record{
		ID:   fmt.Sprintf(snapshotIDFormat, s.captured.Applied, s.captured.Hash),
		Kind: applog.KindSnapshot, BaseRevision: st.Config().Revision, AtMS: float64(now), Author: f.options.Member, Body: body,
	}, true
}

// restore replaces the state by a compressed one if that is newer.
func (f *Follower) restore(compressed []byte, hash uint64) error {
	b, err := decompress(compressed)
	if err != nil {
		return &fold.SnapshotError{Detail: err.Error()}
	}
	if xxhash.Sum64(b) != hash {
		return &fold.SnapshotError{Detail: "hash does not match the state"}
	}
	s, err := fold.Restore(b)
	if err != nil {
		return err
	}
	f.mu.Lock()
	if s.AppliedOffset() > f.buffer.State().AppliedOffset() {
		// The recent entries must be contiguous, and records between them and the
		// snapshot are missing.
		f.recent = nil
		f.recordApplied(f.buffer.Replace(s))
	}
	f.mu.Unlock()
	f.activateConfig()
	return nil
}

// restoreFromLog restores the newest snapshot from which the records in the log
// continue without a gap. first is the offset of the first retained record.
func (f *Follower) restoreFromLog(ctx context.Context, first int64) error {
	oldest, err := f.log.Read(ctx, first, 1)
	if err != nil {
		return err
	}
	f.mu.Lock()
	err = f.checkGeneration(oldest.Generation)
	f.mu.Unlock()
	if err != nil {
		return err
	}
	for width := int64(initialSearchRecords); ; width *= searchGrowthFactor {
		from := max(oldest.FirstOffset, oldest.NextOffset-width)
		snapshot, err := f.findSnapshot(ctx, from)
		if err != nil {
			return err
		}
		if snapshot != nil {
			return f.restore(snapshot.State, snapshot.Hash)
		}
		if from == oldest.FirstOffset {
			return &LogFault{Kind: FaultNoSnapshot, Detail: fmt.Sprintf("log begins at offset %d and contains no usable snapshot", first)}
		}
	}
}

// findSnapshot returns the last usable snapshot at or after from, or nil. A
// snapshot is usable if it is intact, is newer than the state, and all records
// that follow it are at or after from.
func (f *Follower) findSnapshot(ctx context.Context, from int64) (*snapshotBody, error) {
	var found *snapshotBody
	start := from
	for {
		b, err := f.log.Read(ctx, from, maxRecordsPerRead)
		if err != nil {
			return nil, err
		}
		for _, e := range b.Entries {
			var snapshot snapshotBody
			usable := e.Record.Kind == applog.KindSnapshot && json.Unmarshal(e.Record.Body, &snapshot) == nil
			if usable && snapshot.Applied >= start-1 && snapshot.Applied > f.AppliedOffset() && snapshot.valid() {
				found = &snapshot
			}
			from = e.Offset + 1
		}
		if len(b.Entries) == 0 || from >= b.NextOffset {
			return found, nil
		}
	}
}

// valid reports whether the state can be decompressed and has the stated hash.
func (s *snapshotBody) valid() bool {
	b, err := decompress(s.State)
	return err == nil && xxhash.Sum64(b) == s.Hash
}

func compress(b []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	// Writes to a buffer don't fail.
	_, _ = w.Write(b)
	_ = w.Close()
	return out.Bytes()
}

func decompress(b []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	out, err := io.ReadAll(io.LimitReader(r, maxStateBytes))
	return out, errors.Wrap(err, "unpack")
}
