// Package fold computes the configuration in force by applying the records of
// the change log in order. It is deterministic: the same records give the same
// state on every daemon.
package fold

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

// Limits of the state. At 3,400 changes a day the outcome window covers more
// than a day, and the compressed snapshot of a full window fits in one frame of
// 256 KiB.
const (
	// OutcomeWindow is the number of changes whose outcomes are kept.
	OutcomeWindow = 4096
	// MaxHistory is the number of changes in the history.
	MaxHistory = 512
)

// snapshotFormat is the version of the snapshot format.
const snapshotFormat = 1

// keyChange is the last accepted change that modified the item of a conflict key.
type keyChange struct {
	Offset int64  `json:"offset"`
	ID     string `json:"id"`
}

// snapshotData is the content of a snapshot.
type snapshotData struct {
	Format  int            `json:"format"`
	Applied int64          `json:"applied"`
	Digest  uint64         `json:"digest"`
	Config  *policy.Config `json:"config"`
	// Floor is the offset of the newest outcome that was dropped from the window.
	// A change based on an older revision is refused, because it could repeat a
	// change whose outcome was dropped.
	Floor       int64                `json:"floor"`
	Outcomes    []Outcome            `json:"outcomes"`
	LastChanges map[string]keyChange `json:"touched"`
	History     []HistoryEntry       `json:"history"`
	Peers       []SeedPeer           `json:"peers"`
}

// State is the result of applying the records up to an offset. It is not safe
// for concurrent use, but the configurations that it returns are.
type State struct {
	data        snapshotData
	offsetsByID map[string]int64
}

// New returns the state before the first record is applied.
func New() *State {
	return &State{
		data:        snapshotData{Format: snapshotFormat, Config: &policy.Config{}, LastChanges: make(map[string]keyChange)},
		offsetsByID: make(map[string]int64),
	}
}

// AppliedOffset returns the offset of the last applied record, or 0.
func (s *State) AppliedOffset() int64 { return s.data.Applied }

// LastDigest returns the digest of the last applied record. A different record
// at that offset shows that the log was rewritten.
func (s *State) LastDigest() uint64 { return s.data.Digest }

// Config returns the configuration in force, which callers must not modify.
func (s *State) Config() *policy.Config { return s.data.Config }

// History returns up to MaxHistory changes, the newest last.
func (s *State) History() []HistoryEntry { return slices.Clone(s.data.History) }

// Outcome returns the outcome of the change with an id, and false if the window
// holds none.
func (s *State) Outcome(id string) (Outcome, bool) {
	offset, ok := s.offsetsByID[id]
	if !ok {
		return Outcome{}, false
	}
	i, ok := slices.BinarySearchFunc(s.data.Outcomes, offset, func(o Outcome, t int64) int { return int(o.Offset - t) })
	if !ok {
		return Outcome{}, false
	}
	return s.data.Outcomes[i], true
}

// Snapshot encodes the state for Restore. Equal states have equal snapshots.
func (s *State) Snapshot() []byte {
	b, err := json.Marshal(s.data)
	if err != nil {
		// The state holds only finite numbers and strings.
		panic(errors.Wrap(err, "encode state"))
	}
	return b
}

// Hash returns the hash of the snapshot; equal states have equal hashes.
func (s *State) Hash() uint64 { return xxhash.Sum64(s.Snapshot()) }

// SnapshotError is the reason why a snapshot can't be restored.
type SnapshotError struct {
	Detail string
}

func (e *SnapshotError) Error() string { return "snapshot can't be restored: " + e.Detail }

// Restore decodes a snapshot. Its errors are of type *SnapshotError.
func Restore(b []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(b, &s.data); err != nil {
		return nil, &SnapshotError{Detail: err.Error()}
	}
	if s.data.Format != snapshotFormat || s.data.Config == nil || s.data.LastChanges == nil {
		return nil, &SnapshotError{Detail: "unknown format or incomplete state"}
	}
	if s.data.Config.Revision > s.data.Applied {
		return nil, &SnapshotError{Detail: "revision above the last offset"}
	}
	for _, o := range s.data.Outcomes {
		s.offsetsByID[o.ID] = o.Offset
	}
	return s, nil
}

// DigestOf returns the digest of a record. It excludes the body of a snapshot
// record, which daemons don't send to each other; its id contains the hash.
func DigestOf(r applog.Record) uint64 {
	if r.Kind == applog.KindSnapshot {
		r.Body = nil
	}
	b, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode record"))
	}
	return xxhash.Sum64(b)
}

// recordOutcome adds an outcome to the window and the history and evicts the
// oldest entries beyond their limits.
func (s *State) recordOutcome(e HistoryEntry) {
	s.data.Outcomes = append(s.data.Outcomes, e.Outcome)
	s.offsetsByID[e.Outcome.ID] = e.Outcome.Offset
	if len(s.data.Outcomes) > OutcomeWindow {
		oldest := s.data.Outcomes[0]
		delete(s.offsetsByID, oldest.ID)
		s.data.Outcomes = slices.Delete(s.data.Outcomes, 0, 1)
		s.data.Floor = oldest.Offset
		for k, t := range s.data.LastChanges {
			if t.Offset <= s.data.Floor {
				delete(s.data.LastChanges, k)
			}
		}
	}
	s.data.History = append(s.data.History, e)
	if n := len(s.data.History) - MaxHistory; n > 0 {
		s.data.History = slices.Delete(s.data.History, 0, n)
	}
}
