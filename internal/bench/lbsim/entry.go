package lbsim

import (
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/probe"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/retry"
)

// entry is the simulated entry of a daemon.
type entry struct {
	sim         *simulation
	centre      string
	chooser     Chooser
	retry       *retry.Policy
	probeBudget *probe.RequesterBudget
	rand        *rand.Rand
}

// clientCall is a call of a client with its attempts.
type clientCall struct {
	request      call.Request
	start        clock.Milli
	triedTargets []string
	openAttempts []*attempt
	attemptCount int
	executions   int
	finished     bool
}

type attempt struct {
	call         *clientCall
	entry        *entry
	upstream     *upstream
	networkDelay clock.Milli
	sentAt       clock.Milli
	startedAt    clock.Milli
	epoch        uint64
	ended        bool
}

func (e *entry) acceptCall(c call.Class) {
	now := e.sim.now
	cc := &clientCall{start: now, request: call.Request{
		ID: call.NewID(e.rand), Class: c, Repeatable: e.rand.Float64() < 0.8, Deadline: now + CallTimeout,
	}}
	if c != call.Interactive {
		cc.request.Deadline = now + 10*CallTimeout
	}
	e.retry.RecordFirstAttempt(now)
	e.sim.stats.recordArrival(cc)
	e.startAttempt(cc)
	e.sendProbes()
}

func (e *entry) startAttempt(cc *clientCall) {
	now := e.sim.now
	choice := e.chooser.Choose(now, pick.Query{Request: &cc.request, Centre: e.centre, Tried: cc.triedTargets})
	if choice.Target == nil {
		e.giveUp(cc)
		return
	}
	up := e.sim.upstreamsByID[choice.Target.ID]
	a := &attempt{call: cc, entry: e, upstream: up, networkDelay: e.latencyTo(up), sentAt: now}
	cc.attemptCount++
	cc.openAttempts = append(cc.openAttempts, a)
	cc.triedTargets = append(cc.triedTargets, up.target.ID)
	e.chooser.RecordStart(now, up.target.ID)
	e.sim.stats.attempts++
	if up.target.Centre == e.centre {
		e.sim.stats.localAttempts++
	}
	e.sim.schedule(a.networkDelay, func() { up.offer(a) })
	if !e.sim.policy.Retries {
		return
	}
	if hedgeDelay, ok := e.retry.HedgeDelay(now, retry.Attempt{Request: &cc.request, Number: cc.attemptCount, StartedAt: now}); ok {
		e.sim.schedule(hedgeDelay, func() { e.startHedge(cc) })
	}
}

func (e *entry) startHedge(cc *clientCall) {
	if cc.finished || len(cc.openAttempts) != 1 || !e.retry.MayHedge() {
		return
	}
	e.retry.RecordHedge(e.sim.now)
	e.sim.stats.hedges++
	e.startAttempt(cc)
}

func (e *entry) latencyTo(up *upstream) clock.Milli {
	if up.target.Centre == e.centre {
		return sameCentreLatency
	}
	return CrossCentreLatency
}

// handleResult records the result of an attempt, and completes, retries or gives
// up the call.
func (e *entry) handleResult(a *attempt, r call.Result) {
	now, cc := e.sim.now, a.call
	r.Latency, r.Class = now-a.sentAt, cc.request.Class
	e.chooser.RecordResult(now, a.upstream.target.ID, r)
	cc.removeAttempt(a)
	if cc.finished {
		return
	}
	if r.Outcome == call.OutcomeAnswered && !r.Failed {
		cc.finished = true
		e.sim.stats.recordAnswer(now, cc)
		for _, other := range cc.openAttempts {
			e.sim.schedule(other.networkDelay, func() { other.upstream.cancel(other) })
		}
	}
	if e.sim.policy.Retries {
		decision := e.retry.Decide(now, retry.Attempt{Request: &cc.request, Result: r, Number: cc.attemptCount, StartedAt: a.sentAt})
		if decision.Retry && !cc.finished {
			e.startAttempt(cc)
			return
		}
	}
	if !cc.finished && len(cc.openAttempts) == 0 {
		e.sim.stats.reasons[r.Reason]++
		e.giveUp(cc)
	}
}

func (e *entry) giveUp(cc *clientCall) {
	cc.finished = true
	e.sim.stats.recordRefusal(cc)
}

func (cc *clientCall) removeAttempt(a *attempt) {
	for i := range cc.openAttempts {
		if cc.openAttempts[i] == a {
			cc.openAttempts = append(cc.openAttempts[:i], cc.openAttempts[i+1:]...)
			return
		}
	}
}

// sendProbes probes guards for the state of their upstreams, within the probe
// budgets unless the chooser ignores them.
func (e *entry) sendProbes() {
	p, ok := e.chooser.(Prober)
	if !ok {
		return
	}
	for range p.ProbesPerCall() {
		id, ok := p.NextProbe(e.sim.now)
		if !ok || !p.IgnoresBudget() && !e.probeBudget.Allow(e.sim.now) {
			return
		}
		up := e.sim.upstreamsByID[id]
		delay := e.latencyTo(up)
		e.sim.stats.probes++
		e.sim.schedule(delay, func() {
			if !p.IgnoresBudget() && !up.probeBudget.Allow(e.sim.now) {
				return
			}
			state := up.reportState()
			e.sim.schedule(delay, func() { e.chooser.Observe(e.sim.now, state) })
		})
	}
}
