// Package shift decides how much of a service's traffic goes to its new
// version. It is deterministic and not safe for concurrent use; the Table that
// it publishes is immutable and may be shared.
package shift

import (
	"math"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

// Phase is how far a version move has come.
type Phase int

// The phases.
//
//go:generate ../../../bin/stringer -type Phase -linecomment
const (
	Waiting   Phase = iota // waiting
	Unproven               // unproven
	Proven                 // proven
	Braked                 // braked
	TakenBack              // taken_back
	Done                   // done
)

// Limit is what keeps the share from being larger.
type Limit int

// The limits.
//
//go:generate ../../../bin/stringer -type Limit -linecomment
const (
	LimitSchedule Limit = iota // schedule
	LimitCap                   // unproven_cap
	LimitCapacity              // capacity
	LimitBrake                 // brake
	LimitVerdict               // verdict
)

const (
	// DefaultUnprovenCap applies to moves that name no cap of their own.
	DefaultUnprovenCap = 0.05
	// firstShare is the share with which a move starts.
	firstShare = 0.01
	// unprovenPart is the part of the move in which the share grows to the cap.
	// A version stays under the cap at least so long, as some faults show late.
	unprovenPart = 0.2
	// topShare is the largest share before the move is done. The old version
	// keeps the rest, as without it there is nothing to compare with.
	topShare = 0.9
	// fullPart is the part of the move after which a good version has its top
	// share. The rest is for the last check.
	fullPart = 0.8
	// lateFactor is the part of the remaining time that a version which was
	// proven late gets for the growth to the top share.
	lateFactor = 0.5
	// holdPart is the part of the move for which a version has its top share
	// before it is called done, lateHold that of the remaining time for a version
	// that was proven late.
	holdPart = 0.08
	lateHold = 0.3
	// overduePart is that time as a part of the move once finish_by is over.
	overduePart = 0.1
	// bearable is the part of the new upstreams' slots that may be planned for.
	bearable = 0.8
)

// Milestones is what is known about a move besides its configuration.
type Milestones struct {
	// All instants are zero if that was not found.
	WorseAt  clock.Milli
	ProvenAt clock.Milli
	// DoneAt is when a judge called the move done. All traffic follows at once;
	// the record follows when the log accepts it.
	DoneAt clock.Milli
}

// Capacity is what a service is offered and what its new upstreams have, in
// slots. Known is false as long as no load was observed.
type Capacity struct {
	Known    bool
	NewSlots float64
	Offered  float64
}

// Decision is the share of traffic for the new version.
type Decision struct {
	Share float64
	Phase Phase
	Limit Limit
}

// UnprovenCap returns the largest share that an unproven version may have.
func UnprovenCap(m *policy.VersionMove) float64 {
	if m.UnprovenCap <= 0 {
		return DefaultUnprovenCap
	}
	return min(m.UnprovenCap, 1)
}

// Decide returns the share for the new version at now. It has no state: every
// daemon with the same input comes to the same decision.
func Decide(m *policy.VersionMove, now clock.Milli, ev Milestones, c Capacity) Decision {
	d := decide(m, now, ev, c)
	if !m.Done && (ev.ProvenAt == 0 || now < ev.ProvenAt) && d.Share > UnprovenCap(m) {
		assert.That(false, assert.VersionShare, "move %s has share %.4f above its cap", m.ID, d.Share)
	}
	if (m.TakenBack || (ev.WorseAt > 0 && !m.Done)) && d.Share > 0 {
		assert.That(false, assert.VersionShare, "move %s has share %.4f after it failed", m.ID, d.Share)
	}
	return d
}

func decide(m *policy.VersionMove, now clock.Milli, ev Milestones, c Capacity) Decision {
	switch {
	case m.TakenBack:
		return Decision{Phase: TakenBack, Limit: LimitVerdict}
	case m.Done:
		return Decision{Share: 1, Phase: Done, Limit: LimitVerdict}
	case ev.WorseAt > 0:
		return Decision{Phase: Braked, Limit: LimitBrake}
	case now < m.Start:
		return Decision{Phase: Waiting}
	}
	d := planned(m, now, ev)
	if !c.Known {
		// Without a known load nothing says that more could be borne.
		if d.Share > UnprovenCap(m) {
			d.Share, d.Limit = UnprovenCap(m), LimitCapacity
		}
		return d
	}
	if most := bearable * c.NewSlots; d.Share*c.Offered > most {
		d.Share, d.Limit = most/c.Offered, LimitCapacity
	}
	return d
}

// planned follows the schedule: log-linear growth to the cap, then to all.
func planned(m *policy.VersionMove, now clock.Milli, ev Milestones) Decision {
	span := max(m.FinishBy-m.Start, 1)
	limit := UnprovenCap(m)
	first := min(firstShare, limit)
	knee := m.Start + unprovenPart*span
	if ev.ProvenAt == 0 || now < max(ev.ProvenAt, knee) {
		if now >= knee {
			return Decision{Share: limit, Phase: Unproven, Limit: LimitCap}
		}
		return Decision{Share: grow(first, limit, now-m.Start, knee-m.Start), Phase: phase(ev, now)}
	}
	if ev.DoneAt > 0 && now >= ev.DoneAt {
		return Decision{Share: 1, Phase: Proven}
	}
	from := max(ev.ProvenAt, knee)
	full := m.Start + fullPart*span
	if late := from + lateFactor*(m.FinishBy-from); late > full {
		full = late
	}
	if from >= m.FinishBy {
		full = from + overduePart*span
	}
	return Decision{Share: grow(limit, max(limit, topShare), now-from, full-from), Phase: Proven}
}

func phase(ev Milestones, now clock.Milli) Phase {
	if ev.ProvenAt > 0 && now >= ev.ProvenAt {
		return Proven
	}
	return Unproven
}

// hold returns how long the top share must last before the move is done.
func hold(m *policy.VersionMove, ev Milestones) clock.Milli {
	usual := holdPart * (m.FinishBy - m.Start)
	if ev.ProvenAt >= m.FinishBy {
		return usual
	}
	return min(usual, lateHold*(m.FinishBy-ev.ProvenAt))
}

// grow returns the share after a part of the time from one share to another.
func grow(from, to float64, passed, length clock.Milli) float64 {
	if length <= 0 || passed >= length {
		return to
	}
	return from * math.Pow(to/from, max(float64(passed/length), 0))
}
