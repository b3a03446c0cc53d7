// Package ledger records which requests a guard handed to its upstream and
// which ones it must not hand over any more.
package ledger

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// MinRetention is the least time that an entry is kept. It covers a link that
// takes long to come back before the fence arrives.
const MinRetention = clock.Minute

type state int

const (
	handed state = iota + 1
	fenced
)

type record struct {
	state state
	until clock.Milli
}

// Ledger decides whether a request may be handed over. It is not safe for
// concurrent use.
type Ledger struct {
	records map[call.ID]record
	// queue holds ids in the order in which they were recorded, for expiry.
	queue []call.ID
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{records: make(map[call.ID]record)}
}

// TryDispatch asks to hand a request over now. It returns ReasonNone if the
// request may run, and records that it did.
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
	l.verify(r)
	l.put(now, r.ID, handed, r.Deadline)
	return call.ReasonNone
}

// verify asserts, apart from the decision above it, that the request was not
// handed over before and that nobody was told that it never will be.
func (l *Ledger) verify(r *call.Request) {
	old := l.records[r.ID].state
	assert.That(old != fenced, assert.TrueNotRun, "request %s runs after it was fenced", r.ID)
	assert.That(old != handed || r.Repeatable, assert.AtMostOnce, "request %s runs twice", r.ID)
}

// Fence forbids the request from now on. It returns NotRun if the request was
// never handed over, and Unknown otherwise. A fence that arrives after the
// record of its request may have expired is answered with Unknown too.
func (l *Ledger) Fence(now clock.Milli, id call.ID, deadline clock.Milli) call.Outcome {
	l.expire(now)
	if now >= deadline+MinRetention {
		return call.OutcomeUnknown
	}
	if old, ok := l.records[id]; ok && old.state == handed {
		return call.OutcomeUnknown
	}
	l.put(now, id, fenced, deadline)
	return call.OutcomeNotRun
}

// WasDispatched reports whether the request was handed over.
func (l *Ledger) WasDispatched(id call.ID) bool {
	return l.records[id].state == handed
}

// Len returns the number of requests on record.
func (l *Ledger) Len() int {
	return len(l.records)
}

func (l *Ledger) put(now clock.Milli, id call.ID, s state, until clock.Milli) {
	if _, ok := l.records[id]; !ok {
		l.queue = append(l.queue, id)
	}
	l.records[id] = record{state: s, until: max(until, now) + MinRetention}
}

// expire drops old records from the head of the queue. A record with a late
// deadline holds back those behind it, which only keeps them longer.
func (l *Ledger) expire(now clock.Milli) {
	n := 0
	for n < len(l.queue) && l.records[l.queue[n]].until <= now {
		delete(l.records, l.queue[n])
		n++
	}
	l.queue = l.queue[n:]
}
