// Package ledger records which requests a guard dispatched to its upstream and which
// ones it must not dispatch any more.
package ledger

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// MinRetention is how long a record is kept after the deadline of its request. It
// leaves time for a fence that arrives late because a link had to be re-established.
const MinRetention = clock.Minute

type state int

const (
	dispatched state = iota + 1
	fenced
)

type record struct {
	state     state
	expiresAt clock.Milli
}

// Ledger decides whether a request may be dispatched. It is not safe for concurrent
// use.
type Ledger struct {
	records map[call.ID]record
	// expiryQueue holds the ids in the order in which they were recorded.
	expiryQueue []call.ID
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{records: make(map[call.ID]record)}
}

// TryDispatch returns ReasonNone if a request may be dispatched now, and records it
// as dispatched. Otherwise it returns why the request must not run.
func (l *Ledger) TryDispatch(now clock.Milli, r *call.Request) call.Reason {
	l.expire(now)
	if now >= r.Deadline {
		return call.ReasonDeadline
	}
	old, ok := l.records[r.ID]
	if ok && old.state == fenced {
		return call.ReasonFenced
	}
	if ok && !r.Repeatable {
		return call.ReasonDuplicate
	}
	l.assertMayRun(r)
	l.put(now, r.ID, dispatched, r.Deadline)
	return call.ReasonNone
}

// assertMayRun asserts, independently of the checks in TryDispatch, that the request
// was neither dispatched before, unless it is repeatable, nor reported as not run.
func (l *Ledger) assertMayRun(r *call.Request) {
	old := l.records[r.ID].state
	assert.That(old != fenced, assert.TrueNotRun, "request %s runs after it was fenced", r.ID)
	assert.That(old != dispatched || r.Repeatable, assert.AtMostOnce, "request %s runs twice", r.ID)
}

// Fence prohibits the dispatch of a request from now on and returns OutcomeNotRun,
// unless the request was dispatched before. In that case, or if its record may have
// expired, it changes nothing and returns OutcomeUnknown.
func (l *Ledger) Fence(now clock.Milli, id call.ID, deadline clock.Milli) call.Outcome {
	l.expire(now)
	if now >= deadline+MinRetention {
		return call.OutcomeUnknown
	}
	if old, ok := l.records[id]; ok && old.state == dispatched {
		return call.OutcomeUnknown
	}
	l.put(now, id, fenced, deadline)
	return call.OutcomeNotRun
}

// WasDispatched reports whether the request is on record as dispatched. It returns
// false once the record has expired and been removed.
func (l *Ledger) WasDispatched(id call.ID) bool {
	return l.records[id].state == dispatched
}

// Len returns the number of requests on record, dispatched and fenced.
func (l *Ledger) Len() int {
	return len(l.records)
}

func (l *Ledger) put(now clock.Milli, id call.ID, s state, until clock.Milli) {
	if _, ok := l.records[id]; !ok {
		l.expiryQueue = append(l.expiryQueue, id)
	}
	l.records[id] = record{state: s, expiresAt: max(until, now) + MinRetention}
}

// expire removes expired records from the head of the queue. A record with a late
// deadline delays the removal of those behind it, which is harmless.
func (l *Ledger) expire(now clock.Milli) {
	n := 0
	for n < len(l.expiryQueue) && l.records[l.expiryQueue[n]].expiresAt <= now {
		delete(l.records, l.expiryQueue[n])
		n++
	}
	l.expiryQueue = l.expiryQueue[n:]
}
