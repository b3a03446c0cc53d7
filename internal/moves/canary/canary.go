// Package canary moves the traffic of a service to a new version step by step
// and takes it back when calls to that version fail or become slow.
package canary

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// Phase is how far a move is.
type Phase int

// The phases.
//
//go:generate ../../../bin/stringer -type Phase -linecomment -output phase_string.go
const (
	Running    Phase = iota // running
	Succeeded               // succeeded
	RolledBack              // rolled_back
)

const (
	// trialShare is the new version's part of the requests until it has proved
	// itself. It stays below the tenth that a bad version may get.
	trialShare = 0.08
	// trialPart is the part of the time for a move during which the share stays
	// at trialShare. Some versions turn bad only after seconds.
	trialPart = 0.5
	// stepPart is the part of the time for each later step, shortStepPart the
	// same after a long trial, so that the move ends by endPart.
	stepPart      = 0.09
	shortStepPart = 0.05
	endPart       = 0.95
	// proofCalls are needed at the new version before its share grows.
	proofCalls = 12
	// latestPart is when the share grows even with fewer calls.
	latestPart = 0.65
)

// steps are the shares after the trial.
var steps = []float64{0.25, 0.5, 1, 1}

// Move is one move and the evidence on it. It is not safe for concurrent use.
type Move struct {
	order    order.Move
	phase    Phase
	evidence evidence
	// step counts how often the share has grown, stepped is when it last did.
	step    int
	stepped clock.Milli
	// why explains a roll-back.
	why string
}

// New returns a move that has just been ordered.
func New(o order.Move) *Move {
	return &Move{order: o, evidence: newEvidence()}
}

// Order returns the order of the move.
func (m *Move) Order() order.Move { return m.order }

// Phase returns how far the move is.
func (m *Move) Phase() Phase { return m.phase }

// RollbackReason explains a roll-back.
func (m *Move) RollbackReason() string { return m.why }

// MergeStart takes over that a peer saw the order earlier.
func (m *Move) MergeStart(at clock.Milli) {
	m.order.ReceivedAt = min(m.order.ReceivedAt, at)
}

// SetFinalPhase takes over the final phase that another daemon found.
func (m *Move) SetFinalPhase(p Phase, why string) bool {
	if m.phase != Running || p == Running {
		return false
	}
	m.phase, m.why = p, why
	return true
}

// Observe takes in the counts of an upstream of the service.
func (m *Move) Observe(now clock.Milli, target string, incarnation uint64, version string, tallies []call.RouteStats) {
	m.evidence.observe(now, target, incarnation, version == m.order.Version, tallies)
}

// MergeStep takes over that the share grew at a peer.
func (m *Move) MergeStep(step int, at clock.Milli) {
	if step > m.step {
		m.step, m.stepped = min(step, len(steps)), at
	}
}

// LastStep returns how often the share has grown, and when it last did.
func (m *Move) LastStep() (step int, at clock.Milli) {
	return m.step, m.stepped
}

// Evaluate looks at the evidence. It reports whether the phase or the share
// changed.
func (m *Move) Evaluate(now clock.Milli) bool {
	if m.phase != Running {
		return false
	}
	f := m.evidence.figures(now)
	if why := f.bad(); why != "" {
		m.phase, m.why = RolledBack, why
		return true
	}
	if !m.due(now, &f) {
		return false
	}
	if m.step == len(steps) {
		m.phase = Succeeded
		return true
	}
	m.step, m.stepped = m.step+1, now
	return true
}

// due reports whether the present share has been tried enough. The last share
// is tried until the version gets it and raises no doubt, others twice their
// time at most.
func (m *Move) due(now clock.Milli, f *figures) bool {
	if m.step == 0 {
		return m.tried(now, f)
	}
	age, long := now-m.stepped, m.stepTime()
	if age < long {
		return false
	}
	if m.evidence.after(m.stepped).reached(m.Share()) && !f.doubt() {
		return true
	}
	return m.step < len(steps) && age >= 2*long
}

// stepTime is how long the present share is tried.
func (m *Move) stepTime() clock.Milli {
	left := m.order.ReceivedAt + m.order.MaxDuration*endPart - m.stepped
	toGo := clock.Milli(len(steps) - m.step + 1)
	return min(m.order.MaxDuration*stepPart, max(m.order.MaxDuration*shortStepPart, left/toGo))
}

// tried reports whether the trial is over.
func (m *Move) tried(now clock.Milli, f *figures) bool {
	calls := f.since.version(true)[""].calls
	part := trialPart
	if calls < proofCalls {
		part = latestPart
	}
	return calls > 0 && now-m.order.ReceivedAt >= m.order.MaxDuration*clock.Milli(part)
}

// Share is the new version's part of the requests.
func (m *Move) Share() float64 {
	switch {
	case m.phase == Succeeded:
		return 1
	case m.phase == RolledBack:
		return 0
	case m.step == 0:
		return trialShare
	default:
		return steps[m.step-1]
	}
}
