// Package canary shifts the traffic of a service to a new version in steps and
// rolls it back if calls to that version fail or become slow.
package canary

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// Phase is the progress of a move.
type Phase int

// Succeeded and RolledBack are final.
//
//go:generate ../../../bin/stringer -type Phase -linecomment -output phase_string.go
const (
	Running    Phase = iota // running
	Succeeded               // succeeded
	RolledBack              // rolled_back
)

const (
	// trialShare is the share of requests that the new version gets during the
	// trial. It stays below the 10 % that a bad version may get.
	trialShare = 0.08
	// trialFraction is the fraction of MaxDuration that the trial takes. Some
	// versions start to fail only after several seconds.
	trialFraction = 0.5
	// maxStepFraction is the fraction of MaxDuration that each later step takes.
	// After a long trial it shrinks, down to minStepFraction, so that the last
	// step ends by lastStepEndFraction.
	maxStepFraction     = 0.09
	minStepFraction     = 0.05
	lastStepEndFraction = 0.95
	// minTrialCalls is the number of calls at the new version that the trial needs
	// to end at trialFraction.
	minTrialCalls = 12
	// maxTrialFraction is the fraction of MaxDuration after which the trial ends
	// with fewer than minTrialCalls calls, but at least one.
	maxTrialFraction = 0.65
)

// stepShares are the shares of the new version after the trial. The full share
// is observed for two steps.
var stepShares = []float64{0.25, 0.5, 1, 1}

// Move is the state of one version move and the call statistics that decide on
// it. It is not safe for concurrent use.
type Move struct {
	order order.Move
	phase Phase
	calls callHistory
	// step is the number of completed increases of the share, lastStepAt the time
	// of the latest one.
	step        int
	lastStepAt  clock.Milli
	phaseReason string
}

// New returns a running move at the trial share.
func New(o order.Move) *Move {
	return &Move{order: o, calls: newCallHistory()}
}

// Order returns the operators' order that started the move.
func (m *Move) Order() order.Move { return m.order }

// Phase returns the current phase.
func (m *Move) Phase() Phase { return m.phase }

// PhaseReason describes why the phase became final. It is empty while the move is
// running and after a success that this daemon determined itself.
func (m *Move) PhaseReason() string { return m.phaseReason }

// RepeatOrder replaces the order by one with the same content that was written again after
// a restore of the store. The progress of the move stays.
func (m *Move) RepeatOrder(o order.Move) {
	o.ReceivedAt = m.order.ReceivedAt
	m.order = o
}

// MergeStart sets the start of the move to the time at which a peer received the
// order, if that is earlier.
func (m *Move) MergeStart(at clock.Milli) {
	m.order.ReceivedAt = min(m.order.ReceivedAt, at)
}

// SetFinalPhase ends a running move with a phase that another daemon determined.
// It reports whether the phase changed; a final phase is never replaced.
func (m *Move) SetFinalPhase(p Phase, reason string) bool {
	if m.phase != Running || p == Running {
		return false
	}
	m.phase, m.phaseReason = p, reason
	return true
}

// Observe records the cumulative call statistics that a guard reports for its
// upstream. The target and the incarnation identify the guard.
func (m *Move) Observe(now clock.Milli, target string, incarnation uint64, version string, routeStats []call.RouteStats) {
	m.calls.observe(now, target, incarnation, version == m.order.Version, routeStats)
}

// MergeStep adopts the step of a peer that has increased the share further, and
// the time of its latest increase.
func (m *Move) MergeStep(step int, at clock.Milli) {
	if step > m.step {
		m.step, m.lastStepAt = min(step, len(stepShares)), at
	}
}

// LastStep returns the number of increases of the share and the time of the latest
// one, zero before the first.
func (m *Move) LastStep() (step int, at clock.Milli) {
	return m.step, m.lastStepAt
}

// Evaluate rolls the move back, advances it by one step or completes it, as the
// recorded statistics require. It reports whether the phase or the step changed.
func (m *Move) Evaluate(now clock.Milli) bool {
	if m.phase != Running {
		return false
	}
	s := m.calls.snapshot(now)
	if reason := s.rollbackReason(); reason != "" {
		m.phase, m.phaseReason = RolledBack, reason
		return true
	}
	if !m.stepComplete(now, &s) {
		return false
	}
	if m.step == len(stepShares) {
		m.phase = Succeeded
		return true
	}
	m.step, m.lastStepAt = m.step+1, now
	return true
}

// stepComplete reports whether the current share has been observed long enough.
// The last step has no time limit: it ends when the version has got its share and
// does not fail more often than the old one. Earlier steps end at the latest after
// twice their duration.
func (m *Move) stepComplete(now clock.Milli, s *snapshot) bool {
	if m.step == 0 {
		return m.trialComplete(now, s)
	}
	age, minAge := now-m.lastStepAt, m.stepDuration()
	if age < minAge {
		return false
	}
	if m.calls.statsSince(m.lastStepAt).reachedShare(m.Share()) && !s.failsMoreOften() {
		return true
	}
	return m.step < len(stepShares) && age >= 2*minAge
}

// stepDuration returns the planned duration of the current step.
func (m *Move) stepDuration() clock.Milli {
	timeLeft := m.order.ReceivedAt + m.order.MaxDuration*lastStepEndFraction - m.lastStepAt
	stepsLeft := clock.Milli(len(stepShares) - m.step + 1)
	return min(m.order.MaxDuration*maxStepFraction, max(m.order.MaxDuration*minStepFraction, timeLeft/stepsLeft))
}

// trialComplete reports whether the trial is over. It takes at least one call at
// the new version.
func (m *Move) trialComplete(now clock.Milli, s *snapshot) bool {
	calls := s.total.byRoute(true)[""].calls
	fraction := trialFraction
	if calls < minTrialCalls {
		fraction = maxTrialFraction
	}
	return calls > 0 && now-m.order.ReceivedAt >= m.order.MaxDuration*clock.Milli(fraction)
}

// Share returns the share of requests, in 0..1, that the new version should get.
func (m *Move) Share() float64 {
	switch {
	case m.phase == Succeeded:
		return 1
	case m.phase == RolledBack:
		return 0
	case m.step == 0:
		return trialShare
	default:
		return stepShares[m.step-1]
	}
}
