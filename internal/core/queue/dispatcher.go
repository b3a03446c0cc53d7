// Package queue orders the calls that wait for one upstream by priority and
// dispatches them within the slots of the upstream, the rate limit that it states, and its
// rate limit while it is cold. It is meant for a load close to or above the capacity of the
// upstream.
package queue

import (
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/share"
)

const (
	// initialServiceTime is the assumed service time before any call has ended.
	initialServiceTime = 200 * clock.Millisecond
	// serviceTimeEWMAWeight is the weight of one call in the mean service times.
	serviceTimeEWMAWeight = 0.1
	// slowdownTTL is how long a reported slowdown is used. The slowdown of a VM
	// changes several times a second.
	slowdownTTL = 500 * clock.Millisecond
	// maxQueuedPerSlot limits the queue length, in multiples of the slots.
	maxQueuedPerSlot = 3
	// deadlineWaitFraction is the fraction of the time until its deadline that a call may
	// wait if it can't end within its soft deadline.
	deadlineWaitFraction = 0.3
	// serviceTimeMargin covers calls that take longer than the mean of their route.
	serviceTimeMargin = 1.5
	// maxSlowVMDelay is the longest delay by a slow VM for which a call is still
	// started on it. A VM's slowdown changes after about that time, so waiting is
	// better if the delay would be longer.
	maxSlowVMDelay = 200 * clock.Millisecond
	// minQueueWait lets calls of a short burst queue even after their soft deadline.
	minQueueWait = 30 * clock.Millisecond
	// maxSlotUtilisation is the fraction of the slots that is used. Above it,
	// upstreams slow down.
	maxSlotUtilisation = 0.8
)

type runningCall struct {
	route     string
	startedAt clock.Milli
	// slowdown is the slowdown of the VM at the start of the call.
	slowdown float64
}

// serviceTime returns a duration at the upstream without the slowdown of the VM.
func (r *runningCall) serviceTime(d clock.Milli) clock.Milli {
	if r.slowdown > 0 {
		return d / clock.Milli(r.slowdown)
	}
	return d
}

type queuedCall struct {
	request     admit.Request
	seq         uint64
	latestStart clock.Milli
	// latestTimelyStart is the latest start to end within the soft deadline, zero if the call
	// has none.
	latestTimelyStart clock.Milli
	// latestLimitedStart replaces latestStart while the stated rate limit delays the call.
	latestLimitedStart clock.Milli
	// turn orders calls of the same priority at a cold upstream.
	turn coldTurn
}

// Dispatcher holds the queued and running calls of one upstream. It is not safe for
// concurrent use.
type Dispatcher struct {
	slots     int
	coldLimit coldLimiter
	// statedLimit applies the upstream's own rate limit, returns spaces the callers that
	// it refuses.
	statedLimit statedLimiter
	returns     returnSchedule
	inProgress  map[call.ID]runningCall
	// runningByRoute counts inProgress by route.
	runningByRoute map[string]int
	demand         share.Table
	// shortAt is when the slots last did not suffice for the demand, zero for never.
	shortAt clock.Milli
	queue   []queuedCall
	seq     uint64
	// serviceTimes and meanServiceTime are the mean service times by route and of all
	// calls, without slowdown of the VM. meanServiceTime is that of measuredCalls.
	serviceTimes    map[string]clock.Milli
	meanServiceTime clock.Milli
	measuredCalls   int
	slowdown        float64
	slowdownAt      clock.Milli
	// coldSlowdown is the least slowdown reported while the upstream is cold, zero if none
	// was: the part of the slowdown that is not the VM's.
	coldSlowdown float64
	routeStats   map[string]*call.RouteStats
	draining     bool
}

// New returns a dispatcher for an upstream with the given number of slots, at least
// one.
func New(slots int) *Dispatcher {
	return &Dispatcher{
		slots:          max(1, slots),
		inProgress:     make(map[call.ID]runningCall),
		runningByRoute: make(map[string]int),
		serviceTimes:   make(map[string]clock.Milli),
		routeStats:     make(map[string]*call.RouteStats),
	}
}

// Reset clears the route statistics and the slowdown after the upstream was replaced,
// and sets the number of slots.
func (d *Dispatcher) Reset(slots int) {
	d.slots = max(1, slots)
	d.routeStats = make(map[string]*call.RouteStats)
	d.slowdown, d.coldSlowdown = 0, 0
}

// LimitColdRate limits the calls per second until an instant. A rate of zero removes
// the limit.
func (d *Dispatcher) LimitColdRate(now, until clock.Milli, perSecond float64) {
	d.coldLimit.setRate(now, until, perSecond)
}

// ObserveLoad records the slowdown that the upstream reports; zero is ignored.
func (d *Dispatcher) ObserveLoad(now clock.Milli, load call.LoadReport) {
	if load.Slowdown > 0 {
		d.slowdown, d.slowdownAt = load.Slowdown, now
	}
	d.observeColdSlowdown(now, load.Slowdown)
}

// ObserveNotice applies the rate limit that the upstream states, or ends it.
func (d *Dispatcher) ObserveNotice(now clock.Milli, notice call.Notice) {
	d.statedLimit.observe(now, notice)
}

// RemoveStatedLimit removes the rate limit of an instance that was replaced.
func (d *Dispatcher) RemoveStatedLimit() {
	d.statedLimit, d.returns = statedLimiter{}, returnSchedule{}
}

// Drain makes Offer refuse all further calls. Queued calls are still served.
func (d *Dispatcher) Drain() {
	d.draining = true
}

// Offer requests admission of a call and returns the decisions that are due. A call
// without a decision is queued.
func (d *Dispatcher) Offer(now clock.Milli, req admit.Request) []admit.Decision {
	decisions := d.expireQueued(now, nil)
	switch {
	case d.draining:
		return append(decisions, admit.Decision{ID: req.ID, Reason: call.ReasonLeaving})
	case now >= req.Deadline:
		return append(decisions, admit.Decision{ID: req.ID, Reason: call.ReasonDeadline})
	case d.endsTooLate(now, req):
		return append(decisions, admit.Decision{ID: req.ID, Reason: call.ReasonTooLate})
	}
	// What is left in the queue can't start, so it need not come first.
	decisions = d.dispatchQueued(now, decisions)
	if d.passesQueue(now, req) && d.canStart(now, req) {
		d.demand.Observe(now, req.Route, req.Priority)
		return append(decisions, d.admit(now, req))
	}
	if !req.MayQueue {
		reason := d.refusalReason(now, req)
		return append(decisions, admit.Decision{ID: req.ID, Reason: reason, RetryIn: d.rateLimitWait(now, reason)})
	}
	// A call that is sent elsewhere instead is no demand for the slots here.
	d.demand.Observe(now, req.Route, req.Priority)
	d.seq++
	queued := queuedCall{request: req, seq: d.seq, latestStart: d.latestStart(now, req), latestTimelyStart: d.latestTimelyStart(now, req)}
	queued.turn = d.coldTurn(now, req)
	queued.latestLimitedStart = d.latestLimitedStart(now, queued.latestStart, req)
	position := d.queuePosition(now, queued)
	if reason := d.lateStartReason(now, position, queued); reason != call.ReasonNone && !d.isStarved(now, req.Route) {
		return append(decisions, d.refuseLate(now, req, reason))
	}
	d.queue = slices.Insert(d.queue, position, queued)
	if len(d.queue) > maxQueuedPerSlot*d.slots {
		last := d.queue[len(d.queue)-1]
		d.queue = d.queue[:len(d.queue)-1]
		decisions = append(decisions, admit.Decision{ID: last.request.ID, Reason: call.ReasonQueueFull})
	}
	return d.dispatchQueued(now, decisions)
}

// baselineServiceTime returns the mean service time of a route without slowdown of the
// VM, or that of all routes if no call of the route has ended.
func (d *Dispatcher) baselineServiceTime(route string) clock.Milli {
	if s, ok := d.serviceTimes[route]; ok {
		return s
	}
	return d.expectedServiceTime()
}

// expectedServiceTime returns the mean service time of all calls, or an assumed one if none
// has ended. Only a measured one is stated to entries, which compare it with others.
func (d *Dispatcher) expectedServiceTime() clock.Milli {
	if d.measuredCalls == 0 {
		return initialServiceTime
	}
	return d.meanServiceTime
}

// Finish records the result of an admitted call and returns the decisions on queued
// calls that are due.
func (d *Dispatcher) Finish(now clock.Milli, id call.ID, r admit.Result) []admit.Decision {
	run, ok := d.inProgress[id]
	if !ok {
		return nil
	}
	delete(d.inProgress, id)
	d.countRunning(run.route, -1)
	if r.Load != nil {
		d.ObserveLoad(now, *r.Load)
	}
	if !r.NotRun {
		d.countResult(run, r)
	}
	return d.dispatchQueued(now, d.expireQueued(now, nil))
}

func (d *Dispatcher) countResult(run runningCall, r admit.Result) {
	stats := d.statsOf(run.route)
	serviceTime := run.serviceTime(r.Latency)
	if r.Cancelled {
		stats.CutOff.Observe(serviceTime)
		return
	}
	stats.Calls++
	if r.Failed {
		stats.Failed++
		return
	}
	stats.TotalServiceTime += r.Latency
	stats.Answered.Observe(serviceTime)
	d.updateMeans(run.route, serviceTime)
}

// updateMeans adds a service time without slowdown of the VM to the mean ones.
func (d *Dispatcher) updateMeans(route string, serviceTime clock.Milli) {
	d.measuredCalls++
	weight := max(serviceTimeEWMAWeight, 1/float64(d.measuredCalls))
	d.meanServiceTime += clock.Milli(weight) * (serviceTime - d.meanServiceTime)
	if old, ok := d.serviceTimes[route]; ok {
		serviceTime = old + serviceTimeEWMAWeight*(serviceTime-old)
	}
	d.serviceTimes[route] = serviceTime
}

// Cancel removes a queued call and returns the decisions that are due. It returns nil
// if the call is not queued.
func (d *Dispatcher) Cancel(now clock.Milli, id call.ID) []admit.Decision {
	for i := range d.queue {
		if d.queue[i].request.ID == id {
			d.queue = slices.Delete(d.queue, i, i+1)
			return d.dispatchQueued(now, d.expireQueued(now, []admit.Decision{{ID: id, Reason: call.ReasonCancelled}}))
		}
	}
	return nil
}

// Tick returns the decisions on queued calls that have timed out or may start.
func (d *Dispatcher) Tick(now clock.Milli) []admit.Decision {
	return d.dispatchQueued(now, d.expireQueued(now, nil))
}

func (d *Dispatcher) admit(now clock.Milli, req admit.Request) admit.Decision {
	_, running := d.inProgress[req.ID]
	assert.That(!running, assert.AtMostOnce, "id %s admitted while it runs", req.ID)
	d.coldLimit.takeToken(now)
	d.statedLimit.takeToken(now)
	d.inProgress[req.ID] = runningCall{route: req.Route, startedAt: now, slowdown: d.currentSlowdown(now)}
	d.countRunning(req.Route, 1)
	d.demand.RecordStart(now, req.Route)
	return admit.Decision{ID: req.ID, Admit: true}
}

func (d *Dispatcher) countRunning(route string, change int) {
	d.runningByRoute[route] += change
	if d.runningByRoute[route] == 0 {
		delete(d.runningByRoute, route)
	}
}
