package lbsim

import (
	"math"
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/probe"
)

const (
	// coldSlowdown is the increase of the service time on an upstream that has
	// just started, as a multiple of the usual service time. It falls linearly
	// to zero over warmupCalls calls.
	coldSlowdown = 4.0
	warmupCalls  = 60.0
	// fastFailureTime is the service time of a call that fails immediately.
	fastFailureTime = 0.2 * clock.Millisecond
	// connectTime is the time to open a connection.
	connectTime = 1 * clock.Millisecond
	// historyInterval is the interval at which states are recorded for delayed
	// reports.
	historyInterval = 5 * clock.Millisecond
)

// upstream is a simulated upstream with its guard.
type upstream struct {
	sim         *simulation
	index       int
	target      call.Target
	guard       Admitter
	probeBudget *probe.UpstreamBudget
	attempts    map[call.ID]*attempt
	// warmupCallsDone is the number of calls that have warmed the upstream since
	// its last restart. An upstream that was not restarted starts at warmupCalls.
	warmupCallsDone float64
	epoch           uint64
	idleConns       int
	running         int
	tickScheduled   bool
	stateHistory    []call.UpstreamState
	frozenState     *call.UpstreamState
	rand            *rand.Rand
}

// offer passes an attempt to the guard for admission.
func (u *upstream) offer(a *attempt) {
	id := a.call.request.ID
	if _, ok := u.attempts[id]; !ok {
		u.attempts[id] = a
	}
	u.applyDecisions(u.guard.Offer(u.sim.now, admit.Request{
		ID: id, Class: a.call.request.Class, Deadline: a.call.request.Deadline,
	}))
	u.scheduleTick()
}

// scheduleTick schedules the guard's next tick while calls are queued, so that
// they expire.
func (u *upstream) scheduleTick() {
	if u.tickScheduled || len(u.attempts) == u.running {
		return
	}
	u.tickScheduled = true
	u.sim.schedule(clock.Millisecond, func() {
		u.tickScheduled = false
		u.applyDecisions(u.guard.Tick(u.sim.now))
		u.scheduleTick()
	})
}

func (u *upstream) applyDecisions(decisions []admit.Decision) {
	for _, decision := range decisions {
		a := u.attempts[decision.ID]
		if a == nil {
			continue
		}
		if decision.Admit {
			u.startCall(a)
			continue
		}
		delete(u.attempts, decision.ID)
		u.reply(a, call.Result{Outcome: call.OutcomeNotRun, Reason: decision.Reason})
	}
}

// startCall starts an admitted attempt and schedules its end.
func (u *upstream) startCall(a *attempt) {
	id, now := a.call.request.ID, u.sim.now
	assert.That(now < a.call.request.Deadline, assert.TrueNotRun, "call started %v ms after its deadline", now-a.call.request.Deadline)
	a.call.executions++
	assert.That(a.call.request.Repeatable || a.call.executions == 1, assert.AtMostOnce, "id %s ran %d times", id, a.call.executions)
	u.running++
	r := admit.Result{Epoch: u.epoch}
	if u.idleConns > 0 {
		u.idleConns--
	} else {
		r.NewConnection = true
	}
	r.Latency, r.Failed = u.drawDuration(a.call.request.Class)
	if r.NewConnection {
		r.Latency += connectTime
	}
	a.epoch, a.startedAt = u.epoch, now
	u.sim.schedule(r.Latency, func() {
		if !a.ended {
			u.completeCall(a, r)
		}
	})
}

// drawDuration draws the service time of a call and reports whether the call fails.
// A cold upstream is slower. If it runs more calls than its capacity, which grows
// as it warms up, the service time increases further with the square of the load.
func (u *upstream) drawDuration(c call.Class) (clock.Milli, bool) {
	s := &u.sim.scenario
	if s.Fails != nil && s.Fails(u.index, u.sim.now) {
		return fastFailureTime, true
	}
	duration := drawServiceTime(u.rand, c) * clock.Milli(u.slowdown())
	if warmup := u.warmupFraction(); warmup < 1 {
		duration *= clock.Milli(1 + coldSlowdown*(1-warmup))
		if capacity := 1 + warmup*Slots; float64(u.running) > capacity {
			duration *= clock.Milli(math.Pow(float64(u.running)/capacity, 2))
		}
	}
	return duration, false
}

func (u *upstream) slowdown() float64 {
	if u.sim.scenario.ServiceTimeFactor == nil {
		return 1
	}
	return u.sim.scenario.ServiceTimeFactor(u.index, u.sim.now)
}

// warmupFraction returns the progress of the warm-up, from 0 after a restart to 1
// when warm.
func (u *upstream) warmupFraction() float64 {
	return min(1, u.warmupCallsDone/warmupCalls)
}

// restart makes the upstream cold and interrupts the calls in progress.
func (u *upstream) restart() {
	u.warmupCallsDone, u.idleConns = 0, 0
	u.epoch++
	for _, a := range u.sim.sortedAttempts(u.attempts) {
		if a.startedAt != 0 && !a.ended {
			a.ended = true
			u.finishCall(a, admit.Result{Failed: true, Latency: u.sim.now - a.startedAt, NewConnection: true},
				call.Result{Outcome: call.OutcomeUnknown, Reason: call.ReasonUpstreamFailed, Failed: true})
		}
	}
}

func (u *upstream) completeCall(a *attempt, r admit.Result) {
	u.idleConns++
	// A call that exceeds its timeout does not warm the caches that later
	// calls need. This keeps an overloaded cold upstream cold.
	if !r.Failed && r.Latency < CallTimeout {
		u.warmupCallsDone++
	}
	u.finishCall(a, r, call.Result{Outcome: call.OutcomeAnswered, Failed: r.Failed})
}

func (u *upstream) finishCall(a *attempt, r admit.Result, result call.Result) {
	u.running--
	delete(u.attempts, a.call.request.ID)
	u.applyDecisions(u.guard.Finish(u.sim.now, a.call.request.ID, r))
	u.reply(a, result)
}

// cancel ends an attempt of a call that another attempt has completed.
func (u *upstream) cancel(a *attempt) {
	id := a.call.request.ID
	if u.attempts[id] != a || a.ended {
		return
	}
	if a.startedAt == 0 {
		u.applyDecisions(u.guard.Cancel(u.sim.now, id))
		return
	}
	a.ended = true
	u.idleConns++
	u.finishCall(a, admit.Result{Cancelled: true, Latency: u.sim.now - a.startedAt, Epoch: u.epoch},
		call.Result{Outcome: call.OutcomeUnknown, Reason: call.ReasonCancelled})
}

func (u *upstream) reply(a *attempt, r call.Result) {
	state := u.reportState()
	r.State = &state
	u.sim.schedule(a.networkDelay, func() { a.entry.handleResult(a, r) })
}

// reportState returns the state that the guard reports, which the scenario may
// delay, freeze or falsify.
func (u *upstream) reportState() call.UpstreamState {
	s := &u.sim.scenario
	state := u.currentState()
	switch {
	case s.FreezeReports:
		if u.frozenState == nil || u.sim.now < clock.Second {
			u.frozenState = &state
		}
		state = *u.frozenState
	case s.ReportDelay > 0:
		if i := len(u.stateHistory) - 1 - int(s.ReportDelay/historyInterval); i >= 0 {
			state = u.stateHistory[i]
		}
	case s.ReportsIdle != nil && s.ReportsIdle(u.index):
		state.InProgress, state.Queued, state.Latency = 0, 0, 1
	}
	state.ReceivedAt = 0
	return state
}

func (u *upstream) currentState() call.UpstreamState {
	state := u.guard.UpstreamState(u.sim.now)
	state.Target, state.Incarnation = u.target.ID, u.target.Incarnation
	return state
}

// recordState records the current state for delayed reports, and schedules the
// next recording.
func (u *upstream) recordState() {
	u.stateHistory = append(u.stateHistory, u.currentState())
	u.sim.schedule(historyInterval, u.recordState)
}
