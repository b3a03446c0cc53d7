// Package canary shifts the traffic of a service to a new version in steps and
// rolls it back if calls to that version fail or become slow.
package canary

import (
	"slices"

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
	trialShare = 0.095
	// trialFraction is the fraction of MaxDuration that the trial takes. Some
	// versions start to fail only after several seconds.
	trialFraction = 0.4
	// A step after a long trial is shorter than planned, at least minStepFraction of
	// MaxDuration, so that the last one ends by lastStepEndFraction.
	minStepFraction     = 0.05
	lastStepEndFraction = 0.95
	// minTrialCalls is the number of calls at the new version that the trial needs
	// to end at trialFraction.
	minTrialCalls = 12
	// maxTrialFraction is the fraction of MaxDuration after which the trial ends
	// with fewer than minTrialCalls calls, but at least one.
	maxTrialFraction = 0.65
	// verdictFraction is the fraction of MaxDuration after which a version that is still
	// suspect is rolled back.
	verdictFraction = 0.97
)

// step is an increase of the new version's share after the trial.
type step struct {
	share float64
	// fraction is the fraction of MaxDuration that the step takes.
	fraction float64
}

// steps are the increases of the share. At a quarter, each upstream that gets calls has about
// its final load, also where there are few. The full share is observed for two steps.
var steps = []step{{0.25, 0.14}, {0.25, 0.13}, {1, 0.12}, {1, 0.11}}

// Move is the state of one version move and the call statistics that decide on
// it. It is not safe for concurrent use.
type Move struct {
	order order.Move
	phase Phase
	// earlier has the moves of the service before this one.
	earlier History
	calls   callHistory
	// step is the number of completed increases of the share, lastStepAt the time
	// of the latest one.
	step        int
	lastStepAt  clock.Milli
	phaseReason string
	// suspectReason says why the version was suspect at the latest evaluation, empty if it was
	// not.
	suspectReason string
	// evidence is that of the latest evaluation on all routes since the order.
	evidence Evidence
}

// Option configures a Move in New.
type Option func(*Move)

// WithEarlier sets the history of the earlier moves of the service, empty by default.
func WithEarlier(h History) Option {
	return func(m *Move) { m.earlier = h }
}

// New returns a running move at the trial share.
func New(o order.Move, opts ...Option) *Move {
	m := &Move{order: o, calls: newCallHistory()}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Order returns the operators' order that started the move.
func (m *Move) Order() order.Move { return m.order }

// Phase returns the current phase.
func (m *Move) Phase() Phase { return m.phase }

// Outcome returns the phase together with the order.
func (m *Move) Outcome() Outcome {
	return Outcome{Position: m.order.Position, Version: m.order.Version, Phase: m.phase}
}

// Earlier returns the history of the earlier moves of the service.
func (m *Move) Earlier() History { return m.earlier }

// Status returns the status to store.
func (m *Move) Status() Status {
	return Status{Latest: m.Outcome(), Earlier: m.earlier}
}

// AddEarlier adds the outcome of an earlier move, which another daemon reports, and reports
// whether the history changed. It ignores the outcomes of this move and of later ones.
func (m *Move) AddEarlier(o Outcome) bool {
	if o.Position >= m.order.Position {
		return false
	}
	earlier := m.earlier.With(o)
	if slices.Equal(earlier, m.earlier) {
		return false
	}
	m.earlier = earlier
	// The recorded statistics may include those of a version that is excluded now. The guards
	// report theirs again.
	m.calls = newCallHistory()
	return true
}

// PhaseReason describes why the phase became final. It is empty while the move is
// running and after a success that this daemon determined itself.
func (m *Move) PhaseReason() string { return m.phaseReason }

// Evidence returns the evidence on all routes since the order, as of the latest evaluation
// by this daemon.
func (m *Move) Evidence() Evidence { return m.evidence }

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

// SetStoredPhase sets the final phase that the store has. It reports whether the phase changed,
// also if this or another daemon had ended the move differently.
func (m *Move) SetStoredPhase(p Phase, reason string) bool {
	if p == Running || p == m.phase {
		return false
	}
	m.phase, m.phaseReason = p, reason
	return true
}

// SetFinalPhase ends a running move with a phase that another daemon determined.
// It reports whether the phase changed; a final phase is not replaced.
func (m *Move) SetFinalPhase(p Phase, reason string) bool {
	if m.phase != Running || p == Running {
		return false
	}
	m.phase, m.phaseReason = p, reason
	return true
}

// Observe records the cumulative call statistics that a guard reports for its
// upstream. The target and the incarnation identify the guard. Versions that earlier moves
// exclude are no measure of the old one, so their statistics are ignored.
func (m *Move) Observe(now clock.Milli, target string, incarnation uint64, version string, routeStats []call.RouteStats) {
	if version != m.order.Version && !m.earlier.Allows(version) {
		return
	}
	m.calls.observe(now, target, incarnation, version == m.order.Version, routeStats)
}

// MergeStep adopts the step of a peer that has increased the share further, and
// the time of its latest increase.
func (m *Move) MergeStep(step int, at clock.Milli) {
	if step > m.step {
		m.step, m.lastStepAt = min(step, len(steps)), at
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
	return m.EvaluateRollback(now) || m.advance(now)
}

// EvaluateRollback rolls the move back if the recorded statistics require it, and reports
// whether it did. It is for a daemon that may not have the statistics of all guards: what it
// has can show that the version is bad, but not that it is good.
func (m *Move) EvaluateRollback(now clock.Milli) bool {
	if m.phase != Running {
		return false
	}
	v := m.calls.evidence(now)
	m.evidence = v[0]
	m.suspectReason = v.suspectReason()
	if reason := v.rollbackReason(); reason != "" {
		m.phase, m.phaseReason = RolledBack, reason
		return true
	}
	return m.suspectReason != "" && m.rollBackAtEnd(now, m.suspectReason)
}

// advance increases the share of a running move by one step or completes the move, unless the
// version is suspect. It reports whether it did.
func (m *Move) advance(now clock.Milli) bool {
	if m.phase != Running || m.suspectReason != "" || !m.stepComplete(now) {
		return false
	}
	if m.step == len(steps) {
		m.phase = Succeeded
		return true
	}
	m.step, m.lastStepAt = m.step+1, now
	return true
}

// rollBackAtEnd rolls a version back whose answers are suspect until the time for the move
// is nearly over. Its share does not grow before.
func (m *Move) rollBackAtEnd(now clock.Milli, reason string) bool {
	if now-m.order.ReceivedAt < m.order.MaxDuration*verdictFraction {
		return false
	}
	m.phase, m.phaseReason = RolledBack, "suspect until the end: "+reason
	return true
}

// stepComplete reports whether the current share has been observed long enough.
// The last step has no time limit: it ends when the version has got its share. Earlier steps end at the latest after
// twice their duration.
func (m *Move) stepComplete(now clock.Milli) bool {
	if m.step == 0 {
		return m.trialComplete(now)
	}
	age, minAge := now-m.lastStepAt, m.stepDuration()
	if age < minAge {
		return false
	}
	if m.calls.statsSince(m.lastStepAt).reachedShare(m.Share()) {
		return true
	}
	return m.step < len(steps) && age >= 2*minAge
}

// stepDuration returns the planned duration of the current step.
func (m *Move) stepDuration() clock.Milli {
	timeLeft := m.order.ReceivedAt + m.order.MaxDuration*lastStepEndFraction - m.lastStepAt
	stepsLeft := clock.Milli(len(steps) - m.step + 1)
	return min(m.order.MaxDuration*clock.Milli(steps[m.step-1].fraction), max(m.order.MaxDuration*minStepFraction, timeLeft/stepsLeft))
}

// trialComplete reports whether the trial is over. It takes at least one call at
// the new version.
func (m *Move) trialComplete(now clock.Milli) bool {
	calls := m.calls.newVersionCalls()
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
		return steps[m.step-1].share
	}
}
