package lbsim

import (
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/probe"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/retry"
)

// entry is the part of a daemon that accepts calls.
type entry struct {
	m       *model
	centre  string
	chooser Chooser
	retry   *retry.Policy
	probes  *probe.RequesterBudget
	rand    *rand.Rand
}

// caller is one call with all its attempts.
type caller struct {
	request call.Request
	start   clock.Milli
	tried   []string
	open    []*attempt
	number  int
	runs    int
	done    bool
}

type attempt struct {
	call    *caller
	entry   *entry
	up      *upstream
	oneway  clock.Milli
	sent    clock.Milli
	started clock.Milli
	epoch   uint64
	stopped bool
}

func (e *entry) arrive(c call.Class) {
	now := e.m.now
	x := &caller{start: now, request: call.Request{
		ID: call.NewID(e.rand), Class: c, Repeatable: e.rand.Float64() < 0.8, Deadline: now + CallTimeout,
	}}
	if c != call.Interactive {
		x.request.Deadline = now + 10*CallTimeout
	}
	e.retry.RecordFirstAttempt(now)
	e.m.stats.arrived(x)
	e.attempt(x)
	e.probe()
}

func (e *entry) attempt(x *caller) {
	now := e.m.now
	choice := e.chooser.Choose(now, pick.Query{Request: &x.request, Centre: e.centre, Tried: x.tried})
	if choice.Target == nil {
		e.give(x)
		return
	}
	up := e.m.byID[choice.Target.ID]
	a := &attempt{call: x, entry: e, up: up, oneway: e.distance(up), sent: now}
	x.number++
	x.open = append(x.open, a)
	x.tried = append(x.tried, up.target.ID)
	e.chooser.RecordStart(now, up.target.ID)
	e.m.stats.attempts++
	if up.target.Centre == e.centre {
		e.m.stats.local++
	}
	e.m.after(a.oneway, func() { up.offer(a) })
	if !e.m.policy.Retries {
		return
	}
	if after, ok := e.retry.HedgeDelay(now, retry.Attempt{Request: &x.request, Number: x.number, StartedAt: now}); ok {
		e.m.after(after, func() { e.hedge(x) })
	}
}

func (e *entry) hedge(x *caller) {
	if x.done || len(x.open) != 1 || !e.retry.MayHedge() {
		return
	}
	e.retry.RecordHedge(e.m.now)
	e.m.stats.hedges++
	e.attempt(x)
}

func (e *entry) distance(up *upstream) clock.Milli {
	if up.target.Centre == e.centre {
		return inside
	}
	return CrossCentreLatency
}

// ended takes in the end of an attempt.
func (e *entry) ended(a *attempt, r call.Result) {
	now, x := e.m.now, a.call
	r.Latency, r.Class = now-a.sent, x.request.Class
	e.chooser.RecordResult(now, a.up.target.ID, r)
	x.drop(a)
	if x.done {
		return
	}
	if r.Outcome == call.OutcomeAnswered && !r.Failed {
		x.done = true
		e.m.stats.answered(now, x)
		for _, o := range x.open {
			e.m.after(o.oneway, func() { o.up.cancel(o) })
		}
	}
	if e.m.policy.Retries {
		v := e.retry.Decide(now, retry.Attempt{Request: &x.request, Result: r, Number: x.number, StartedAt: a.sent})
		if v.Retry && !x.done {
			e.attempt(x)
			return
		}
	}
	if !x.done && len(x.open) == 0 {
		e.m.stats.reasons[r.Reason]++
		e.give(x)
	}
}

func (e *entry) give(x *caller) {
	x.done = true
	e.m.stats.refused(x)
}

func (x *caller) drop(a *attempt) {
	for i := range x.open {
		if x.open[i] == a {
			x.open = append(x.open[:i], x.open[i+1:]...)
			return
		}
	}
}

// probe asks a guard for its view when the budgets allow it.
func (e *entry) probe() {
	p, ok := e.chooser.(Prober)
	if !ok {
		return
	}
	for range p.ProbesPerCall() {
		id, ok := p.NextProbe(e.m.now)
		if !ok || !p.IgnoresBudget() && !e.probes.Allow(e.m.now) {
			return
		}
		up := e.m.byID[id]
		d := e.distance(up)
		e.m.stats.probes++
		e.m.after(d, func() {
			if !p.IgnoresBudget() && !up.budget.Allow(e.m.now) {
				return
			}
			v := up.report()
			e.m.after(d, func() { e.chooser.Observe(e.m.now, v) })
		})
	}
}
