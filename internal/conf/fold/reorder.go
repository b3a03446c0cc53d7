package fold

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
)

// MaxPending is how many records a ReorderBuffer holds while earlier ones are
// missing. Records beyond it are dropped and read again from the log or a peer.
const MaxPending = 4096

// ReorderBuffer applies records to a state in offset order although they may
// arrive in any order, for instance from several peers. It is not safe for
// concurrent use.
type ReorderBuffer struct {
	state          *State
	pending        map[int64]applog.Record
	notifyInterval int64
	notify         func(*State)
}

// NotifyEvery sets the function that is called after each applied record whose
// offset is a multiple of n. All daemons thus call it at the same offsets.
func (b *ReorderBuffer) NotifyEvery(n int64, f func(*State)) { b.notifyInterval, b.notify = n, f }

// NewReorderBuffer returns an empty buffer that applies records to s.
func NewReorderBuffer(s *State) *ReorderBuffer {
	return &ReorderBuffer{state: s, pending: make(map[int64]applog.Record)}
}

// State returns the state to which the records are applied.
func (b *ReorderBuffer) State() *State { return b.state }

// AppliedRecord is a record with the result of applying it.
type AppliedRecord struct {
	Entry  applog.Entry
	Result Result
}

// Add adds a record and returns the records that were applied: the record and its
// successors in the buffer, or none if an earlier record is missing or the record
// was applied before.
func (b *ReorderBuffer) Add(e applog.Entry) []AppliedRecord {
	if e.Offset <= b.state.AppliedOffset() {
		return nil
	}
	next := b.state.AppliedOffset() + 1
	if _, buffered := b.pending[e.Offset]; !buffered && (len(b.pending) < MaxPending || e.Offset == next) {
		b.pending[e.Offset] = e.Record
	}
	var applied []AppliedRecord
	for {
		offset := b.state.AppliedOffset() + 1
		r, ok := b.pending[offset]
		if !ok {
			return applied
		}
		delete(b.pending, offset)
		applied = append(applied, AppliedRecord{Entry: applog.Entry{Offset: offset, Record: r}, Result: b.state.Apply(offset, r)})
		if b.notify != nil && offset%b.notifyInterval == 0 {
			b.notify(b.state)
		}
	}
}

// Contains reports whether the record at an offset was applied or is in the
// buffer.
func (b *ReorderBuffer) Contains(offset int64) bool {
	_, buffered := b.pending[offset]
	return buffered || offset <= b.state.AppliedOffset()
}

// HasGap reports whether the buffer holds records whose predecessors are missing.
func (b *ReorderBuffer) HasGap() bool { return len(b.pending) > 0 }

// Replace replaces the state by a newer one and returns the records in the
// buffer that could be applied to it.
func (b *ReorderBuffer) Replace(s *State) []AppliedRecord {
	b.state = s
	for o := range b.pending {
		if o <= s.AppliedOffset() {
			delete(b.pending, o)
		}
	}
	next := s.AppliedOffset() + 1
	if r, ok := b.pending[next]; ok {
		return b.Add(applog.Entry{Offset: next, Record: r})
	}
	return nil
}
