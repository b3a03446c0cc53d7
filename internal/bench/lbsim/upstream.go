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
	// coldFactor is how much slower a call is on an upstream that has just
	// started; warmCalls is the number of calls over which this fades.
	coldFactor = 4.0
	warmCalls  = 60.0
	// failTime is how long a fast failure takes.
	failTime = 0.2 * clock.Millisecond
	// newConnection is the time to open a connection.
	newConnection = 1 * clock.Millisecond
	// reportEvery is the period in which views are kept for stale reports.
	reportEvery = 5 * clock.Millisecond
)

// upstream is a fake back-end server with its guard.
type upstream struct {
	m       *model
	index   int
	target  call.Target
	guard   Admitter
	budget  *probe.UpstreamBudget
	calls   map[call.ID]*attempt
	served  float64
	epoch   uint64
	idle    int
	running int
	ticking bool
	history []call.UpstreamState
	first   *call.UpstreamState
	rand    *rand.Rand
}

// offer hands a call to the guard.
func (u *upstream) offer(a *attempt) {
	id := a.call.request.ID
	if _, ok := u.calls[id]; !ok {
		u.calls[id] = a
	}
	u.act(u.guard.Offer(u.m.now, admit.Request{
		ID: id, Class: a.call.request.Class, Deadline: a.call.request.Deadline,
	}))
	u.tick()
}

// tick lets the guard's queue time out.
func (u *upstream) tick() {
	if u.ticking || len(u.calls) == u.running {
		return
	}
	u.ticking = true
	u.m.after(clock.Millisecond, func() {
		u.ticking = false
		u.act(u.guard.Tick(u.m.now))
		u.tick()
	})
}

func (u *upstream) act(actions []admit.Decision) {
	for _, x := range actions {
		a := u.calls[x.ID]
		if a == nil {
			continue
		}
		if x.Admit {
			u.start(a)
			continue
		}
		delete(u.calls, x.ID)
		u.reply(a, call.Result{Outcome: call.OutcomeNotRun, Reason: x.Reason})
	}
}

// start runs a call.
func (u *upstream) start(a *attempt) {
	id, now := a.call.request.ID, u.m.now
	assert.That(now < a.call.request.Deadline, assert.TrueNotRun, "call started %v ms after its deadline", now-a.call.request.Deadline)
	a.call.runs++
	assert.That(a.call.request.Repeatable || a.call.runs == 1, assert.AtMostOnce, "id %s ran %d times", id, a.call.runs)
	u.running++
	r := admit.Result{Epoch: u.epoch}
	if u.idle > 0 {
		u.idle--
	} else {
		r.NewConnection = true
	}
	r.Latency, r.Failed = u.duration(a.call.request.Class)
	if r.NewConnection {
		r.Latency += newConnection
	}
	a.epoch, a.started = u.epoch, now
	u.m.after(r.Latency, func() {
		if !a.stopped {
			u.end(a, r)
		}
	})
}

// duration returns how long a call takes and whether it fails. A cold
// upstream is slow, and collapses when it runs more calls than it is warm
// for.
func (u *upstream) duration(c call.Class) (clock.Milli, bool) {
	s := &u.m.scenario
	if s.Fails != nil && s.Fails(u.index, u.m.now) {
		return failTime, true
	}
	t := serviceTime(u.rand, c) * clock.Milli(u.slowdown())
	if warmth := u.warmth(); warmth < 1 {
		t *= clock.Milli(1 + coldFactor*(1-warmth))
		if bears := 1 + warmth*Slots; float64(u.running) > bears {
			t *= clock.Milli(math.Pow(float64(u.running)/bears, 2))
		}
	}
	return t, false
}

func (u *upstream) slowdown() float64 {
	if u.m.scenario.ServiceTimeFactor == nil {
		return 1
	}
	return u.m.scenario.ServiceTimeFactor(u.index, u.m.now)
}

func (u *upstream) warmth() float64 {
	return min(1, u.served/warmCalls)
}

// restart makes the upstream cold. Calls in progress break off.
func (u *upstream) restart() {
	u.served, u.idle = 0, 0
	u.epoch++
	for _, a := range u.m.sorted(u.calls) {
		if a.started != 0 && !a.stopped {
			a.stopped = true
			u.finish(a, admit.Result{Failed: true, Latency: u.m.now - a.started, NewConnection: true},
				call.Result{Outcome: call.OutcomeUnknown, Reason: call.ReasonUpstreamFailed, Failed: true})
		}
	}
}

func (u *upstream) end(a *attempt, r admit.Result) {
	u.idle++
	// A call that took too long to be of use does not warm caches that
	// later calls need; this is what keeps a collapsed upstream cold.
	if !r.Failed && r.Latency < CallTimeout {
		u.served++
	}
	u.finish(a, r, call.Result{Outcome: call.OutcomeAnswered, Failed: r.Failed})
}

func (u *upstream) finish(a *attempt, r admit.Result, result call.Result) {
	u.running--
	delete(u.calls, a.call.request.ID)
	u.act(u.guard.Finish(u.m.now, a.call.request.ID, r))
	u.reply(a, result)
}

// cancel ends a call whose caller has its answer.
func (u *upstream) cancel(a *attempt) {
	id := a.call.request.ID
	if u.calls[id] != a || a.stopped {
		return
	}
	if a.started == 0 {
		u.act(u.guard.Cancel(u.m.now, id))
		return
	}
	a.stopped = true
	u.idle++
	u.finish(a, admit.Result{Cancelled: true, Latency: u.m.now - a.started, Epoch: u.epoch},
		call.Result{Outcome: call.OutcomeUnknown, Reason: call.ReasonCancelled})
}

func (u *upstream) reply(a *attempt, r call.Result) {
	v := u.report()
	r.State = &v
	u.m.after(a.oneway, func() { a.entry.ended(a, r) })
}

// report returns the view that the guard sends, with the scenario's faults.
func (u *upstream) report() call.UpstreamState {
	s := &u.m.scenario
	v := u.view()
	switch {
	case s.FreezeReports:
		if u.first == nil || u.m.now < clock.Second {
			u.first = &v
		}
		v = *u.first
	case s.ReportDelay > 0:
		if i := len(u.history) - 1 - int(s.ReportDelay/reportEvery); i >= 0 {
			v = u.history[i]
		}
	case s.ReportsIdle != nil && s.ReportsIdle(u.index):
		v.InProgress, v.Queued, v.Latency = 0, 0, 1
	}
	v.ReceivedAt = 0
	return v
}

func (u *upstream) view() call.UpstreamState {
	v := u.guard.UpstreamState(u.m.now)
	v.Target, v.Incarnation = u.target.ID, u.target.Incarnation
	return v
}

// record keeps views for stale reports.
func (u *upstream) record() {
	u.history = append(u.history, u.view())
	u.m.after(reportEvery, u.record)
}
