package queue

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

const (
	// shedsToClose is the number of sheds without an answer after which the gate closes.
	shedsToClose = 3
	// minTrialInterval and maxTrialInterval bound the time between two calls through a
	// closed gate. It doubles with each one that is shed.
	minTrialInterval = 250 * clock.Millisecond
	maxTrialInterval = 2 * clock.Second
)

// shedGate keeps calls away from an upstream that sheds all of them, although its health is
// good: each attempt there takes a retry from the budget of its entry. The gate is open at
// first, and an answer opens it again. While it is closed, single calls try the upstream.
type shedGate struct {
	sheds         int
	trialInterval clock.Milli
	nextTrialAt   clock.Milli
	// trialRunning is set while a trial has not ended.
	trialRunning bool
}

func (s *shedGate) isClosed() bool {
	return s.sheds >= shedsToClose
}

// allows reports whether a call may start.
func (s *shedGate) allows(now clock.Milli) bool {
	return !s.isClosed() || now >= s.nextTrialAt
}

// recordStart records the start of a call.
func (s *shedGate) recordStart(now clock.Milli) {
	if s.isClosed() {
		s.nextTrialAt, s.trialRunning = now+s.trialInterval, true
	}
}

// recordShed records a call that the upstream shed. Calls that started before the gate closed
// do not extend the time to the next trial.
func (s *shedGate) recordShed(now clock.Milli) {
	s.sheds++
	if s.sheds == shedsToClose || s.trialRunning {
		s.trialInterval = min(maxTrialInterval, max(minTrialInterval, 2*s.trialInterval))
		s.nextTrialAt, s.trialRunning = now+s.trialInterval, false
	}
}

// recordRun records a call that the upstream ran.
func (s *shedGate) recordRun() {
	*s = shedGate{}
}

// waitTime returns the time until the next trial, zero if the gate is open.
func (s *shedGate) waitTime(now clock.Milli) clock.Milli {
	if !s.isClosed() {
		return 0
	}
	return max(0, s.nextTrialAt-now)
}

// callInterval returns the time between calls through the gate, zero if it is open.
func (s *shedGate) callInterval() clock.Milli {
	if !s.isClosed() {
		return 0
	}
	return s.trialInterval
}
