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

// maxState bounds what a broken or hostile snapshot unpacks to.
const maxState = 64 << 20

// fleetBound is an upper bound of the number of daemons that the waits before
// a snapshot are spread for.
const fleetBound = 4096

// Searching for a snapshot begins at the end of the log and widens.
const (
	searchFirst = 1024
	searchGrow  = 4
)

// snapshotID is the form of a snapshot record's id: offset and hash.
const snapshotID = "snapshot-%d-%x"

var snapshotCounts = expvar.NewMap("config_snapshots")

// envelope is the body of a snapshot record.
type envelope struct {
	Applied int64  `json:"applied"`
	Hash    uint64 `json:"hash"`
	State   []byte `json:"state"`
}

// snapshots is what the follower knows about snapshots.
type snapshots struct {
	// mine is the state at the last multiple of SnapshotEvery.
	mine envelope
	due  clock.Milli
	// seen is the log offset of the last good snapshot, at its time.
	seen   int64
	seenAt clock.Milli
	first  int64
}

// capture keeps the state for a snapshot. It needs f.mu.
func (f *Follower) capture(s *fold.State) {
	b := s.Snapshot()
	f.snaps.mine = envelope{Applied: s.AppliedOffset(), Hash: xxhash.Sum64(b), State: compress(b)}
	f.snaps.due = f.o.Clock.Now() + f.snapshotWait()
}

// snapshotWait draws a wait that is close to the longest one for nearly all
// daemons, so that one of 4,096 appends first and the others see its record
// (exponentially distributed feedback timers). It needs f.mu.
func (f *Follower) snapshotWait() clock.Milli {
	u := max(f.rand.Float64(), 1.0/fleetBound)
	return clock.FromDuration(f.o.SnapshotMaxDelay) * clock.Milli(1+math.Log(u)/math.Log(fleetBound))
}

// noteSnapshot compares a snapshot in the log with the own state. It needs
// f.mu.
func (f *Follower) noteSnapshot(e applog.Entry) {
	if e.Record.Kind != applog.KindSnapshot {
		return
	}
	var env envelope
	if _, err := fmt.Sscanf(e.Record.ID, snapshotID, &env.Applied, &env.Hash); err != nil {
		snapshotCounts.Add("malformed", 1)
		return
	}
	if env.Applied == f.snaps.mine.Applied && env.Hash != f.snaps.mine.Hash {
		snapshotCounts.Add("mismatch", 1)
		f.o.Logger.Error().Int64("offset", e.Offset).Int64("applied", env.Applied).
			Str("author", e.Record.Author).Msg("snapshot_mismatch")
		return
	}
	snapshotCounts.Add("good", 1)
	f.snaps.seen = e.Offset
	f.snaps.seenAt = f.o.Clock.Now()
	if env.Applied >= f.snaps.mine.Applied {
		f.snaps.due = 0
	}
}

func (f *Follower) snapshotLoop(ctx context.Context) {
	for pause(ctx, f.jitter(f.o.SnapshotMaxDelay/30+10*time.Millisecond), nil) {
		if r, ok := f.dueSnapshot(); ok {
			// A lost acknowledgement is harmless: a second snapshot changes nothing.
			if _, err := f.log.Append(ctx, r); err != nil && ctx.Err() == nil {
				f.o.Logger.Warn().Err(err).Msg("snapshot_not_appended")
			}
			signal(f.wake)
		}
	}
}

// dueSnapshot returns the record to append, if it is time.
func (f *Follower) dueSnapshot() (applog.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Clock.Now()
	s := &f.snaps
	st := f.q.State()
	if f.fault != nil || !f.ready || st.AppliedOffset() == 0 {
		return applog.Record{}, false
	}
	if s.due == 0 {
		old := s.seen > 0 && now-s.seenAt > clock.FromDuration(f.o.SnapshotMaxAge)
		dropped := s.first > 1 && s.seen < s.first
		if old || dropped {
			f.capture(st)
		}
		return applog.Record{}, false
	}
	if now < s.due {
		return applog.Record{}, false
	}
	// If the append fails, another daemon or the next wait tries again.
	s.due = now + f.snapshotWait() + clock.FromDuration(f.o.SnapshotMaxDelay)
	body, err := json.Marshal(s.mine)
	if err != nil {
		return applog.Record{}, false
	}
	return applog.Record{
		ID:   fmt.Sprintf(snapshotID, s.mine.Applied, s.mine.Hash),
		Kind: applog.KindSnapshot, BaseRevision: st.Config().Revision, AtMS: float64(now), Author: f.o.Member, Body: body,
	}, true
}

// restore replaces the state by one that is further ahead.
func (f *Follower) restore(packed []byte, hash uint64) error {
	b, err := decompress(packed)
	if err != nil {
		return &fold.SnapshotError{Detail: err.Error()}
	}
	if xxhash.Sum64(b) != hash {
		return &fold.SnapshotError{Detail: "wrong hash"}
	}
	s, err := fold.Restore(b)
	if err != nil {
		return err
	}
	f.mu.Lock()
	if s.AppliedOffset() > f.q.State().AppliedOffset() {
		// Entries before the snapshot don't join those after it.
		f.recent = nil
		f.note(f.q.Replace(s))
	}
	f.mu.Unlock()
	f.publish()
	return nil
}

// fromSnapshot restores the newest snapshot in the log that the kept records
// continue.
func (f *Follower) fromSnapshot(ctx context.Context, first int64) error {
	head, err := f.log.Read(ctx, first, 1)
	if err != nil {
		return err
	}
	f.mu.Lock()
	err = f.checkGeneration(head.Generation)
	f.mu.Unlock()
	if err != nil {
		return err
	}
	for width := int64(searchFirst); ; width *= searchGrow {
		from := max(head.FirstOffset, head.NextOffset-width)
		env, err := f.findSnapshot(ctx, from)
		if err != nil {
			return err
		}
		if env != nil {
			return f.restore(env.State, env.Hash)
		}
		if from == head.FirstOffset {
			return &LogFault{Kind: FaultNoSnapshot, Detail: fmt.Sprintf("begins at offset %d without a usable snapshot", first)}
		}
	}
}

// findSnapshot returns the last usable snapshot at or after from.
func (f *Follower) findSnapshot(ctx context.Context, from int64) (*envelope, error) {
	var found *envelope
	start := from
	for {
		b, err := f.log.Read(ctx, from, readLimit)
		if err != nil {
			return nil, err
		}
		for _, e := range b.Entries {
			var env envelope
			usable := e.Record.Kind == applog.KindSnapshot && json.Unmarshal(e.Record.Body, &env) == nil
			if usable && env.Applied >= start-1 && env.Applied > f.AppliedOffset() && env.valid() {
				found = &env
			}
			from = e.Offset + 1
		}
		if len(b.Entries) == 0 || from >= b.NextOffset {
			return found, nil
		}
	}
}

func (e *envelope) valid() bool {
	b, err := decompress(e.State)
	return err == nil && xxhash.Sum64(b) == e.Hash
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
	out, err := io.ReadAll(io.LimitReader(r, maxState))
	return out, errors.Wrap(err, "unpack")
}
