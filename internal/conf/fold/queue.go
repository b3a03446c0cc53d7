package fold

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
)

// MaxPending bounds the records kept for later. The log or a peer supplies
// what was dropped.
const MaxPending = 4096

// Queue applies records that arrive in any order, as they do through peers.
// It is not safe for concurrent use.
type Queue struct {
	state   *State
	pending map[int64]applog.Record
	every   int64
	watch   func(*State)
}

// Watch calls f whenever the state stands at a multiple of every, so that all
// daemons see it at the same offsets.
func (q *Queue) Watch(every int64, f func(*State)) { q.every, q.watch = every, f }

// NewQueue returns a queue in front of a state.
func NewQueue(s *State) *Queue {
	return &Queue{state: s, pending: make(map[int64]applog.Record)}
}

// State returns the state behind the queue.
func (q *Queue) State() *State { return q.state }

// Applied is one record that the queue applied.
type Applied struct {
	Entry  applog.Entry
	Effect Effect
}

// Offer takes a record and returns all that could be applied with it.
func (q *Queue) Offer(e applog.Entry) []Applied {
	if e.Offset <= q.state.Applied() {
		return nil
	}
	next := q.state.Applied() + 1
	if _, known := q.pending[e.Offset]; !known && (len(q.pending) < MaxPending || e.Offset == next) {
		q.pending[e.Offset] = e.Record
	}
	var done []Applied
	for {
		offset := q.state.Applied() + 1
		r, ok := q.pending[offset]
		if !ok {
			return done
		}
		delete(q.pending, offset)
		done = append(done, Applied{Entry: applog.Entry{Offset: offset, Record: r}, Effect: q.state.Apply(offset, r)})
		if q.watch != nil && offset%q.every == 0 {
			q.watch(q.state)
		}
	}
}

// Holds reports whether the record at an offset was applied or waits.
func (q *Queue) Holds(offset int64) bool {
	_, waits := q.pending[offset]
	return waits || offset <= q.state.Applied()
}

// Waiting reports whether records wait for a missing one.
func (q *Queue) Waiting() bool { return len(q.pending) > 0 }

// Replace puts a state that is further ahead behind the queue.
func (q *Queue) Replace(s *State) []Applied {
	q.state = s
	for o := range q.pending {
		if o <= s.Applied() {
			delete(q.pending, o)
		}
	}
	next := s.Applied() + 1
	if r, ok := q.pending[next]; ok {
		return q.Offer(applog.Entry{Offset: next, Record: r})
	}
	return nil
}
