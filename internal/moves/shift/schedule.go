// Package shift decides which share of the traffic of a service goes to its new
// version during a version move. It is deterministic and not safe for
// concurrent use; the Table that it publishes is immutable and safe to share.
package shift

import (
	"math"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

// Phase is the stage of a version move.
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

// Limit is the rule that bounds the share of the new version.
type Limit int

// The rules that can bound the share.
//
//go:generate ../../../bin/stringer -type Limit -linecomment
const (
	LimitSchedule    Limit = iota // schedule
	LimitUnprovenCap              // unproven_cap
	LimitCapacity                 // capacity
	LimitBrake                    // brake
	LimitVerdict                  // verdict
)

const (
	// DefaultUnprovenCap is the largest share of an unproven version if the
	// move sets none.
	DefaultUnprovenCap = 0.05
	// initialShare is the share at the start of a move.
	initialShare = 0.01
	// unprovenFraction is the fraction of the move during which the share grows
	// to the cap. A version stays at or below the cap for at least this time,
	// as some faults appear late.
	unprovenFraction = 0.2
	// topShare is the largest share before the move is done. The old version
	// keeps the rest so that there are calls to compare with.
	topShare = 0.9
	// topShareFraction is the fraction of the move after which a version that
	// was proven in time has topShare. The remaining time is for the final
	// check.
	topShareFraction = 0.8
	// lateGrowthFraction is the fraction of the remaining time in which the
	// share of a version that was proven late grows to topShare.
	lateGrowthFraction = 0.5
	// holdFraction is the fraction of the move for which a version must hold
	// topShare before the move is done.
	holdFraction = 0.08
	// lateHoldFraction replaces holdFraction, as a fraction of the remaining
	// time, if the version was proven late.
	lateHoldFraction = 0.3
	// overdueGrowthFraction is the fraction of the move in which the share
	// grows to topShare if the version was proven after finish_by.
	overdueGrowthFraction = 0.1
	// maxUtilisation is the fraction of the slots of the new upstreams that may
	// be planned for.
	maxUtilisation = 0.8
)

// Milestones holds when a move reached each of its milestones. Zero means not
// yet.
type Milestones struct {
	// WorseAt is when a judge found the new version worse, ProvenAt when a
	// judge found it not worse.
	WorseAt  clock.Milli
	ProvenAt clock.Milli
	// DoneAt is when a judge declared the move done. From then on the new
	// version gets all traffic, even before the log has accepted the verdict.
	DoneAt clock.Milli
}

// Capacity is the load of a service and the capacity of its new upstreams, both
// in slots. Known is false until a load was observed.
type Capacity struct {
	Known    bool
	NewSlots float64
	Offered  float64
}

// Decision is the share of traffic that the new version gets, with the phase
// and the limit that led to it.
type Decision struct {
	Share float64
	Phase Phase
	Limit Limit
}

// UnprovenCap returns the largest share of an unproven version, between 0 and
// 1.
func UnprovenCap(m *policy.VersionMove) float64 {
	if m.UnprovenCap <= 0 {
		return DefaultUnprovenCap
	}
	return min(m.UnprovenCap, 1)
}

// Decide returns the share of the new version at now. It is a pure function, so
// all daemons with the same input reach the same decision.
func Decide(m *policy.VersionMove, now clock.Milli, milestones Milestones, c Capacity) Decision {
	d := computeDecision(m, now, milestones, c)
	if !m.Done && (milestones.ProvenAt == 0 || now < milestones.ProvenAt) && d.Share > UnprovenCap(m) {
		assert.That(false, assert.VersionShare, "move %s has share %.4f above its cap", m.ID, d.Share)
	}
	if (m.TakenBack || (milestones.WorseAt > 0 && !m.Done)) && d.Share > 0 {
		assert.That(false, assert.VersionShare, "move %s has share %.4f after it failed", m.ID, d.Share)
	}
	return d
}

func computeDecision(m *policy.VersionMove, now clock.Milli, milestones Milestones, c Capacity) Decision {
	switch {
	case m.TakenBack:
		return Decision{Phase: TakenBack, Limit: LimitVerdict}
	case m.Done:
		return Decision{Share: 1, Phase: Done, Limit: LimitVerdict}
	case milestones.WorseAt > 0:
		return Decision{Phase: Braked, Limit: LimitBrake}
	case now < m.Start:
		return Decision{Phase: Waiting}
	}
	d := scheduledDecision(m, now, milestones)
	if !c.Known {
		// Without a known load, the new upstreams may lack the capacity for
		// more.
		if d.Share > UnprovenCap(m) {
			d.Share, d.Limit = UnprovenCap(m), LimitCapacity
		}
		return d
	}
	if maxLoad := maxUtilisation * c.NewSlots; d.Share*c.Offered > maxLoad {
		d.Share, d.Limit = maxLoad/c.Offered, LimitCapacity
	}
	return d
}

// scheduledDecision returns the share by the schedule alone: it grows
// exponentially to the cap and, once the version is proven, to topShare.
func scheduledDecision(m *policy.VersionMove, now clock.Milli, milestones Milestones) Decision {
	duration := max(m.FinishBy-m.Start, 1)
	unprovenCap := UnprovenCap(m)
	initial := min(initialShare, unprovenCap)
	capReachedAt := m.Start + unprovenFraction*duration
	if milestones.ProvenAt == 0 || now < max(milestones.ProvenAt, capReachedAt) {
		if now >= capReachedAt {
			return Decision{Share: unprovenCap, Phase: Unproven, Limit: LimitUnprovenCap}
		}
		return Decision{Share: interpolateShare(initial, unprovenCap, now-m.Start, capReachedAt-m.Start), Phase: phaseAt(milestones, now)}
	}
	if milestones.DoneAt > 0 && now >= milestones.DoneAt {
		return Decision{Share: 1, Phase: Proven}
	}
	growthStart := max(milestones.ProvenAt, capReachedAt)
	topShareAt := m.Start + topShareFraction*duration
	if lateTopShareAt := growthStart + lateGrowthFraction*(m.FinishBy-growthStart); lateTopShareAt > topShareAt {
		topShareAt = lateTopShareAt
	}
	if growthStart >= m.FinishBy {
		topShareAt = growthStart + overdueGrowthFraction*duration
	}
	return Decision{Share: interpolateShare(unprovenCap, max(unprovenCap, topShare), now-growthStart, topShareAt-growthStart), Phase: Proven}
}

func phaseAt(milestones Milestones, now clock.Milli) Phase {
	if milestones.ProvenAt > 0 && now >= milestones.ProvenAt {
		return Proven
	}
	return Unproven
}

// holdDuration returns how long the version must have topShare before the move
// is done.
func holdDuration(m *policy.VersionMove, milestones Milestones) clock.Milli {
	regular := holdFraction * (m.FinishBy - m.Start)
	if milestones.ProvenAt >= m.FinishBy {
		return regular
	}
	return min(regular, lateHoldFraction*(m.FinishBy-milestones.ProvenAt))
}

// interpolateShare interpolates exponentially between two shares.
func interpolateShare(from, to float64, elapsed, duration clock.Milli) float64 {
	if duration <= 0 || elapsed >= duration {
		return to
	}
	return from * math.Pow(to/from, max(float64(elapsed/duration), 0))
}
