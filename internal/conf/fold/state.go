// Package fold computes the configuration in force from the records of the
// log. It is deterministic: the same records give the same state everywhere.
package fold

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

// Sizes of what the state keeps. At 3,400 changes a day the window covers more
// than a day; a snapshot of a full window stays under one frame of 256 KiB
// when compressed.
const (
	OutcomeWindow = 4096
	MaxHistory    = 512
)

// format is the version of the snapshot format.
const format = 1

// touch is the last accepted change of a key.
type touch struct {
	Offset int64  `json:"offset"`
	ID     string `json:"id"`
}

// data is everything that a snapshot holds.
type data struct {
	Format  int            `json:"format"`
	Applied int64          `json:"applied"`
	Digest  uint64         `json:"digest"`
	Config  *policy.Config `json:"config"`
	// Floor is the offset of the newest outcome that the window dropped. A
	// change based on an older revision is refused, because it could be the
	// repetition of a change that is no longer remembered.
	Floor    int64            `json:"floor"`
	Outcomes []Outcome        `json:"outcomes"`
	Touched  map[string]touch `json:"touched"`
	History  []HistoryEntry   `json:"history"`
	Peers    []SeedPeer       `json:"peers"`
}

// State is the fold of the records up to an offset. It is not safe for
// concurrent use, but the configurations it returns are.
type State struct {
	d   data
	ids map[string]int64
}

// New returns the state before the first record.
func New() *State {
	return &State{
		d:   data{Format: format, Config: &policy.Config{}, Touched: make(map[string]touch)},
		ids: make(map[string]int64),
	}
}

// AppliedOffset returns the offset of the last record.
func (s *State) AppliedOffset() int64 { return s.d.Applied }

// LastDigest returns the digest of the last record; a log that was rewritten
// has another record at that offset.
func (s *State) LastDigest() uint64 { return s.d.Digest }

// Config returns the configuration in force.
func (s *State) Config() *policy.Config { return s.d.Config }

// History returns the last changes, the newest last.
func (s *State) History() []HistoryEntry { return slices.Clone(s.d.History) }

// Outcome returns what became of the change with an id.
func (s *State) Outcome(id string) (Outcome, bool) {
	offset, ok := s.ids[id]
	if !ok {
		return Outcome{}, false
	}
	i, ok := slices.BinarySearchFunc(s.d.Outcomes, offset, func(o Outcome, t int64) int { return int(o.Offset - t) })
	if !ok {
		return Outcome{}, false
	}
	return s.d.Outcomes[i], true
}

// Snapshot returns the state in a form that Restore reads. Equal states have
// equal snapshots.
func (s *State) Snapshot() []byte {
	b, err := json.Marshal(s.d)
	if err != nil {
		// The state holds only finite numbers and strings.
		panic(errors.Wrap(err, "encode state"))
	}
	return b
}

// Hash returns a hash of the whole state.
func (s *State) Hash() uint64 { return xxhash.Sum64(s.Snapshot()) }

// SnapshotError says why a snapshot can't be restored.
type SnapshotError struct {
	Detail string
}

func (e *SnapshotError) Error() string { return "snapshot can't be restored: " + e.Detail }

// Restore reads a snapshot.
func Restore(b []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(b, &s.d); err != nil {
		return nil, &SnapshotError{Detail: err.Error()}
	}
	if s.d.Format != format || s.d.Config == nil || s.d.Touched == nil {
		return nil, &SnapshotError{Detail: "unknown format"}
	}
	if s.d.Config.Revision > s.d.Applied {
		return nil, &SnapshotError{Detail: "revision above the last offset"}
	}
	for _, o := range s.d.Outcomes {
		s.ids[o.ID] = o.Offset
	}
	return s, nil
}

// DigestOf returns the digest of a record. The body of a snapshot is left
// out, so that daemons need not hand it to each other: its id holds its hash.
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

// remember adds an outcome to the window and the history.
func (s *State) remember(e HistoryEntry) {
	s.d.Outcomes = append(s.d.Outcomes, e.Outcome)
	s.ids[e.Outcome.ID] = e.Outcome.Offset
	if len(s.d.Outcomes) > OutcomeWindow {
		old := s.d.Outcomes[0]
		delete(s.ids, old.ID)
		s.d.Outcomes = slices.Delete(s.d.Outcomes, 0, 1)
		s.d.Floor = old.Offset
		for k, t := range s.d.Touched {
			if t.Offset <= s.d.Floor {
				delete(s.d.Touched, k)
			}
		}
	}
	s.d.History = append(s.d.History, e)
	if n := len(s.d.History) - MaxHistory; n > 0 {
		s.d.History = slices.Delete(s.d.History, 0, n)
	}
}
