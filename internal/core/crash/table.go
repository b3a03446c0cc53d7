// Package crash decides which requests are held back because upstreams crash while they run
// them. Daemons share their records, so that each counts the crashes of all.
//
// A crash is charged to the requests that were running, but only to those that have been
// charged most often, so that a request that ran beside is soon told apart. An answer clears
// a request. A request with holdStrikes is held for a while, then tried once; each further
// crash doubles that time.
package crash

import (
	"cmp"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// SuspectStrikes is the number of crashes after which a request that was running is not
	// sent to another upstream by itself.
	SuspectStrikes = 2
	// holdStrikes is the number of crashes from which a request is held back.
	holdStrikes = 3
	// firstHold is how long it is held then, maxHold the longest time.
	firstHold = 20 * clock.Second
	maxHold   = 10 * clock.Minute
	// trialTime is how long the others are held while one request is tried.
	trialTime = 3 * clock.Second
	// recordTTL is how long a record is kept after its last crash or answer, and after the
	// end of its hold.
	recordTTL = 2 * clock.Minute
	// maxRecords and maxStrikes limit the table.
	maxRecords = 2048
	maxStrikes = 12
)

// Strike is a crash that is charged to a request.
type Strike struct {
	// ID identifies the crash: the start of an upstream that ended.
	ID uint64
	At clock.Milli
}

// Record holds the crashes and the last answer of the requests with a fingerprint. Times are
// on the clock of this daemon.
type Record struct {
	Fingerprint Fingerprint
	// Strikes are the crashes since the last answer, sorted by time.
	Strikes []Strike
	// AnsweredAt is when an upstream last answered such a request, zero if never.
	AnsweredAt clock.Milli
}

// Table holds the records of all requests that were running during a crash. It is not safe
// for concurrent use.
type Table struct {
	records map[Fingerprint]*Record
	// trials has the times at which this daemon let a held request run.
	trials map[Fingerprint]clock.Milli
}

// New returns an empty table.
func New() *Table {
	return &Table{records: make(map[Fingerprint]*Record), trials: make(map[Fingerprint]clock.Milli)}
}

// Strikes returns how many crashes are charged to a request.
func (t *Table) Strikes(p Fingerprint) int {
	if r := t.records[p]; r != nil {
		return len(r.Strikes)
	}
	return 0
}

// HoldTime returns the time until a request is tried again, zero if it isn't held.
func (t *Table) HoldTime(now clock.Milli, p Fingerprint) clock.Milli {
	r := t.records[p]
	if r == nil {
		return 0
	}
	return max(0, r.heldUntil()-now)
}

// Admit is HoldTime for a request that runs if it returns zero. One that was held is then a
// trial, and the others are held for the time that it takes.
func (t *Table) Admit(now clock.Milli, p Fingerprint) clock.Milli {
	if wait := t.HoldTime(now, p); wait > 0 {
		return wait
	}
	if t.Strikes(p) < holdStrikes {
		return 0
	}
	if trialAt, ok := t.trials[p]; ok && now-trialAt < trialTime {
		return trialTime - (now - trialAt)
	}
	t.trials[p] = now
	return 0
}

// Held returns the number of requests that are held.
func (t *Table) Held(now clock.Milli) int {
	n := 0
	for p := range t.records {
		if t.HoldTime(now, p) > 0 {
			n++
		}
	}
	return n
}

// RecordCrash charges a crash to the requests that were running, and returns their records
// that changed.
func (t *Table) RecordCrash(now clock.Milli, id uint64, running []Fingerprint) []Record {
	t.expire(now)
	most := 0
	for _, p := range running {
		most = max(most, t.Strikes(p))
	}
	var changed []Record
	for _, p := range running {
		if p == 0 || t.Strikes(p) < most {
			continue
		}
		if r := t.record(p); r.addStrike(Strike{ID: id, At: now}) {
			changed = append(changed, r.copy())
		}
	}
	return changed
}

// RecordAnswer records that an upstream answered a request. It returns the record and whether
// other daemons need it.
func (t *Table) RecordAnswer(now clock.Milli, p Fingerprint) (Record, bool) {
	r := t.records[p]
	if r == nil || len(r.Strikes) == 0 {
		return Record{}, false
	}
	strikes := len(r.Strikes)
	r.answer(now)
	return r.copy(), strikes >= SuspectStrikes
}

// Merge adds the records of another daemon and reports whether they changed the table.
func (t *Table) Merge(now clock.Milli, records ...Record) (changed bool) {
	t.expire(now)
	for i := range records {
		in := &records[i]
		if in.Fingerprint == 0 || now-in.lastAt() > recordTTL+maxHold {
			continue
		}
		r := t.record(in.Fingerprint)
		if in.AnsweredAt > r.AnsweredAt {
			r.answer(min(now, in.AnsweredAt))
			changed = true
		}
		for _, s := range in.Strikes {
			s.At = min(now, s.At)
			changed = r.addStrike(s) || changed
		}
	}
	return changed
}

// Records returns all records, sorted by fingerprint.
func (t *Table) Records(now clock.Milli) []Record {
	t.expire(now)
	out := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r.copy())
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Hash returns a hash of the crashes that are charged to requests, zero if there are none.
func (t *Table) Hash() uint64 {
	sum := uint64(0)
	for _, r := range t.records {
		for _, s := range r.Strikes {
			sum ^= uint64(r.Fingerprint)*31 + s.ID
		}
	}
	return sum
}

// record returns the record of a fingerprint. It makes room for a new one.
func (t *Table) record(p Fingerprint) *Record {
	if r := t.records[p]; r != nil {
		return r
	}
	if len(t.records) >= maxRecords {
		t.evict()
	}
	r := &Record{Fingerprint: p}
	t.records[p] = r
	return r
}

// evict removes the record with the fewest strikes, of those the oldest.
func (t *Table) evict() {
	var worst *Record
	for _, r := range t.records {
		if worst == nil || len(r.Strikes) < len(worst.Strikes) || len(r.Strikes) == len(worst.Strikes) && r.lastAt() < worst.lastAt() {
			worst = r
		}
	}
	delete(t.records, worst.Fingerprint)
	delete(t.trials, worst.Fingerprint)
}

// expire removes the records that are out of date.
func (t *Table) expire(now clock.Milli) {
	for p, r := range t.records {
		if now-max(r.lastAt(), r.heldUntil()) > recordTTL {
			delete(t.records, p)
			delete(t.trials, p)
		}
	}
}

// heldUntil returns when a request is tried again.
func (r *Record) heldUntil() clock.Milli {
	n := len(r.Strikes)
	if n < holdStrikes {
		return 0
	}
	return r.Strikes[n-1].At + min(maxHold, firstHold*clock.Milli(int(1)<<(n-holdStrikes)))
}

// lastAt returns the time of the last crash or answer.
func (r *Record) lastAt() clock.Milli {
	if n := len(r.Strikes); n > 0 {
		return max(r.AnsweredAt, r.Strikes[n-1].At)
	}
	return r.AnsweredAt
}

// answer removes the strikes before an answer.
func (r *Record) answer(at clock.Milli) {
	r.AnsweredAt = max(r.AnsweredAt, at)
	r.Strikes = slices.DeleteFunc(r.Strikes, func(s Strike) bool { return s.At <= r.AnsweredAt })
}

// addStrike adds a strike after the last answer and reports whether it is new.
func (r *Record) addStrike(s Strike) bool {
	known := slices.ContainsFunc(r.Strikes, func(old Strike) bool { return old.ID == s.ID })
	if known || s.At <= r.AnsweredAt || len(r.Strikes) >= maxStrikes {
		return false
	}
	r.Strikes = append(r.Strikes, s)
	slices.SortFunc(r.Strikes, func(a, b Strike) int { return cmp.Compare(a.At, b.At) })
	return true
}

func (r *Record) copy() Record {
	out := *r
	out.Strikes = slices.Clone(r.Strikes)
	return out
}
