// Package queue orders the calls that wait for one upstream by rank and hands
// them over within the upstream's slots and, while it is cold, within its rate.
// It answers a load that is close to or above what the upstream can bear.
package queue

import (
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// initialService stands in for the service time before any call has ended.
	initialService = 200 * clock.Millisecond
	// serviceSmooth is the weight of one call in the mean service time.
	serviceSmooth = 0.1
	// paceLife is how long a reported pace counts: it changes several times a
	// second.
	paceLife = 500 * clock.Millisecond
	// queuePerSlot bounds the calls that wait, in multiples of the slots.
	queuePerSlot = 3
	// aimShare and deadlineShare are the parts of the time until a call's aim
	// and its deadline that it may wait; the longer one counts.
	aimShare      = 0.5
	deadlineShare = 0.3
	// slowCost is the time that a call may lose on a slow VM before it is better
	// to wait: a VM's pace changes about as soon.
	slowCost = 200 * clock.Millisecond
	// leastWait lets a short burst queue where the aim has passed.
	leastWait = 30 * clock.Millisecond
	// easyPart is the part of the slots up to which upstreams do not slow down.
	easyPart = 0.8
	// slowPace is the pace from which on a call is better started later or
	// elsewhere: the pace at its start decides how long a call takes.
	slowPace = 1.8
)

type running struct {
	route string
	// pace is that of the VM at the start of the call.
	pace float64
}

type waiting struct {
	ticket admit.Request
	seq    uint64
	until  clock.Milli
}

// Dispatcher holds the calls of one upstream. It is not safe for concurrent use.
type Dispatcher struct {
	slots   int
	cold    pacer
	active  map[call.ID]running
	queue   []waiting
	seq     uint64
	service map[string]clock.Milli
	// typical is the mean service time of all calls at the usual pace.
	typical clock.Milli
	pace    float64
	paceAt  clock.Milli
	tallies map[string]*call.RouteStats
	leaving bool
}

// New returns a lane of an upstream with a number of slots.
func New(slots int) *Dispatcher {
	return &Dispatcher{
		slots:   max(1, slots),
		active:  make(map[call.ID]running),
		service: make(map[string]clock.Milli),
		tallies: make(map[string]*call.RouteStats),
		typical: initialService,
	}
}

// Reset forgets what was counted of an upstream that was replaced, and sets
// its slots.
func (l *Dispatcher) Reset(slots int) {
	l.slots = max(1, slots)
	l.tallies = make(map[string]*call.RouteStats)
	l.pace = 0
}

// LimitColdRate bounds the calls a second until an instant. A rate of zero sets no
// bound.
func (l *Dispatcher) LimitColdRate(now, until clock.Milli, perSecond float64) {
	l.cold.set(now, until, perSecond)
}

// ObserveLoad takes in what the upstream said of itself.
func (l *Dispatcher) ObserveLoad(now clock.Milli, load call.LoadReport) {
	if load.Slowdown > 0 {
		l.pace, l.paceAt = load.Slowdown, now
	}
}

// Drain refuses all calls that come from now on; calls that wait are served.
func (l *Dispatcher) Drain() {
	l.leaving = true
}

// Offer asks for admission of a call.
func (l *Dispatcher) Offer(now clock.Milli, t admit.Request) []admit.Decision {
	actions := l.expire(now, nil)
	switch {
	case l.leaving:
		return append(actions, admit.Decision{ID: t.ID, Reason: call.ReasonLeaving})
	case now >= t.Deadline:
		return append(actions, admit.Decision{ID: t.ID, Reason: call.ReasonDeadline})
	}
	if len(l.queue) == 0 && l.fits(now, t) {
		return append(actions, l.admit(now, t))
	}
	if reason := l.refusal(now); reason != call.ReasonNone && !t.MayQueue {
		return append(actions, admit.Decision{ID: t.ID, Reason: reason})
	}
	l.seq++
	w := waiting{ticket: t, seq: l.seq, until: l.until(now, t)}
	at := l.place(w)
	if reason := l.tooLate(now, at, w); reason != call.ReasonNone {
		return append(actions, admit.Decision{ID: t.ID, Reason: reason})
	}
	l.queue = slices.Insert(l.queue, at, w)
	if len(l.queue) > queuePerSlot*l.slots {
		last := l.queue[len(l.queue)-1]
		l.queue = l.queue[:len(l.queue)-1]
		actions = append(actions, admit.Decision{ID: last.ticket.ID, Reason: call.ReasonQueueFull})
	}
	return l.dispatch(now, actions)
}

// usual is the service time of a route at the usual pace.
func (l *Dispatcher) usual(route string) clock.Milli {
	if s, ok := l.service[route]; ok {
		return s
	}
	return l.typical
}

// Finish takes in the end of an admitted call.
func (l *Dispatcher) Finish(now clock.Milli, id call.ID, r admit.Result) []admit.Decision {
	run, ok := l.active[id]
	if !ok {
		return nil
	}
	delete(l.active, id)
	if r.Load != nil {
		l.ObserveLoad(now, *r.Load)
	}
	if !r.Cancelled && !r.NotRun {
		l.count(run, r)
	}
	return l.dispatch(now, l.expire(now, nil))
}

func (l *Dispatcher) count(run running, r admit.Result) {
	route, pace := run.route, run.pace
	t := l.tallies[route]
	if t == nil {
		t = &call.RouteStats{Route: route}
		l.tallies[route] = t
	}
	t.Calls++
	if r.Failed {
		t.Failed++
		return
	}
	t.TotalServiceTime += r.Latency
	if pace > 0 {
		r.Latency /= clock.Milli(pace)
	}
	l.typical += serviceSmooth * (r.Latency - l.typical)
	if old, ok := l.service[route]; ok {
		r.Latency = old + serviceSmooth*(r.Latency-old)
	}
	l.service[route] = r.Latency
}

// Cancel removes a call that still waits for admission.
func (l *Dispatcher) Cancel(now clock.Milli, id call.ID) []admit.Decision {
	for i := range l.queue {
		if l.queue[i].ticket.ID == id {
			l.queue = slices.Delete(l.queue, i, i+1)
			return l.dispatch(now, l.expire(now, []admit.Decision{{ID: id, Reason: call.ReasonCancelled}}))
		}
	}
	return nil
}

// Tick lets waiting calls time out or start.
func (l *Dispatcher) Tick(now clock.Milli) []admit.Decision {
	return l.dispatch(now, l.expire(now, nil))
}

// UpstreamState reports the state of the upstream.
func (l *Dispatcher) UpstreamState(now clock.Milli) call.UpstreamState {
	v := call.UpstreamState{
		InProgress: len(l.active),
		Queued:     len(l.queue),
		Limit:      l.limit(),
		Slots:      l.slots,
		Latency:    l.typical,
		Cold:       l.cold.limits(now),
		Slowdown:   l.paceNow(now),
		Leaving:    l.leaving,
	}
	if v.Cold {
		v.Limit = max(1, min(l.limit(), int(l.cold.tokens(now))))
	}
	return v
}

// RouteStats returns the counts by route since the upstream's start.
func (l *Dispatcher) RouteStats() []call.RouteStats {
	out := make([]call.RouteStats, 0, len(l.tallies))
	for _, t := range l.tallies {
		out = append(out, *t)
	}
	return out
}

func (l *Dispatcher) admit(now clock.Milli, t admit.Request) admit.Decision {
	_, twice := l.active[t.ID]
	assert.That(!twice, assert.AtMostOnce, "id %s admitted while it runs", t.ID)
	l.cold.take(now)
	l.active[t.ID] = running{route: t.Route, pace: l.paceNow(now)}
	return admit.Decision{ID: t.ID, Admit: true}
}
