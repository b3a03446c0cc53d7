package fold

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
)

// MaxPending bounds the records kept for later. The log or a peer supplies
// what was dropped.
const MaxPending = 4096

// ReorderBuffer applies records that arrive in any order, as they do through peers.
// It is not safe for concurrent use.
type ReorderBuffer struct {
	state   *State
	pending map[int64]applog.Record
	every   int64
	watch   func(*State)
}

// SubscribeEvery calls f whenever the state stands at a multiple of every, so that all
// daemons see it at the same offsets.
func (q *ReorderBuffer) SubscribeEvery(every int64, f func(*State)) { q.every, q.watch = every, f }

// NewReorderBuffer returns a queue in front of a state.
func NewReorderBuffer(s *State) *ReorderBuffer {
	return &ReorderBuffer{state: s, pending: make(map[int64]applog.Record)}
}

// State returns the state behind the queue.
func (q *ReorderBuffer) State() *State { return q.state }

// AppliedRecord is one record that the queue applied.
type AppliedRecord struct {
	Entry  applog.Entry
	Effect Result
}

// Add takes a record and returns all that could be applied with it.
func (q *ReorderBuffer) Add(e applog.Entry) []AppliedRecord {
	if e.Offset <= q.state.AppliedOffset() {
		return nil
	}
	next := q.state.AppliedOffset() + 1
	if _, known := q.pending[e.Offset]; !known && (len(q.pending) < MaxPending || e.Offset == next) {
		q.pending[e.Offset] = e.Record
	}
	var done []AppliedRecord
	for {
		offset := q.state.AppliedOffset() + 1
		r, ok := q.pending[offset]
		if !ok {
			return done
		}
		delete(q.pending, offset)
		done = append(done, AppliedRecord{Entry: applog.Entry{Offset: offset, Record: r}, Effect: q.state.Apply(offset, r)})
		if q.watch != nil && offset%q.every == 0 {
			q.watch(q.state)
		}
	}
}

// Contains reports whether the record at an offset was applied or waits.
func (q *ReorderBuffer) Contains(offset int64) bool {
	_, waits := q.pending[offset]
	return waits || offset <= q.state.AppliedOffset()
}

// HasGap reports whether records wait for a missing one.
func (q *ReorderBuffer) HasGap() bool { return len(q.pending) > 0 }

// Replace puts a state that is further ahead behind the queue.
func (q *ReorderBuffer) Replace(s *State) []AppliedRecord {
	q.state = s
	for o := range q.pending {
		if o <= s.AppliedOffset() {
			delete(q.pending, o)
		}
	}
	next := s.AppliedOffset() + 1
	if r, ok := q.pending[next]; ok {
		return q.Add(applog.Entry{Offset: next, Record: r})
	}
	return nil
}
