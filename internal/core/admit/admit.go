// Package admit decides which calls a guard hands to its upstream.
package admit

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/limit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/ramp"
)

// Request is a call that asks for admission.
type Request struct {
	ID       call.ID
	Class    call.Class
	Deadline clock.Milli
	Priority int
	// SoftDeadline is the instant until which a response has its full value, zero if
	// none was set.
	SoftDeadline clock.Milli
	Route        string
	// MayQueue says that the call waits, as no other target is left.
	MayQueue bool
}

// Decision admits or refuses one call.
type Decision struct {
	ID     call.ID
	Admit  bool
	Reason call.Reason
}

// Result is how an admitted call ended at the upstream.
type Result struct {
	// Latency is the time from handing over to the response's first byte.
	Latency clock.Milli
	Failed  bool
	// Cancelled says that the caller gave up, so the latency is not the
	// upstream's.
	Cancelled bool
	// NewConnection says that the call had to open a connection.
	NewConnection bool
	// Epoch is what the upstream reports of its start, zero when it does not.
	Epoch uint64
	// NotRun says that the upstream refused the call unrun.
	NotRun bool
	// Load is what the upstream reported of itself, nil for nothing.
	Load *call.LoadReport
}

type running struct {
	class   call.Class
	started clock.Milli
}

// Admitter holds the calls of one upstream. It is not safe for concurrent use.
type Admitter struct {
	slots   int
	limit   *limit.Limiter
	ramp    *ramp.Ramp
	active  map[call.ID]running
	byClass [classes]int
	queue   [classes]queue
	recent  recent
	need    need
	leaving bool
}

// New returns an admitter for an upstream with a number of slots.
func New(slots int) *Admitter {
	slots = max(1, slots)
	return &Admitter{
		slots:  slots,
		limit:  limit.New(slots),
		ramp:   ramp.New(slots),
		active: make(map[call.ID]running, slots),
	}
}

// Drain refuses all calls that come from now on; calls that wait are served.
func (a *Admitter) Drain() {
	a.leaving = true
}

// Offer asks for admission of a call.
func (a *Admitter) Offer(now clock.Milli, t Request) []Decision {
	actions := a.expire(now, nil)
	if r := a.barred(now, t); r != call.ReasonNone {
		return append(actions, Decision{ID: t.ID, Reason: r})
	}
	if t.Class == call.Interactive {
		a.need.note(now, a.interactive())
	}
	if a.queue[t.Class].empty() && a.fits(now, t.Class) {
		return append(actions, a.admit(now, t))
	}
	if a.full(now, t.Class) {
		victim, ok := a.yield(t.Class)
		if !ok {
			return append(actions, Decision{ID: t.ID, Reason: a.fullReason(t.Class)})
		}
		actions = append(actions, victim)
	}
	a.queue[t.Class].push(waiting{ticket: t, until: min(t.Deadline, now+a.maxWait(t.Class))})
	return a.dispatch(now, actions)
}

// barred returns why a call is refused whatever the load is.
func (a *Admitter) barred(now clock.Milli, t Request) call.Reason {
	_, runs := a.active[t.ID]
	switch {
	case runs || a.queued(t.ID):
		return call.ReasonDuplicate
	case now >= t.Deadline:
		return call.ReasonDeadline
	case a.leaving:
		return call.ReasonLeaving
	case t.Class < 0 || t.Class >= classes:
		return call.ReasonBadRequest
	default:
		return call.ReasonNone
	}
}

// Finish takes in the end of an admitted call.
func (a *Admitter) Finish(now clock.Milli, id call.ID, r Result) []Decision {
	run, ok := a.active[id]
	if !ok {
		return nil
	}
	delete(a.active, id)
	a.byClass[run.class]--
	if !r.Cancelled {
		a.learn(now, run.class, r)
	}
	return a.dispatch(now, a.expire(now, nil))
}

func (a *Admitter) learn(now clock.Milli, c call.Class, r Result) {
	// A transfer lasts as long as its body takes to arrive, and background
	// work runs longer by nature: beside interactive calls, both would look
	// like a slow upstream.
	typical := c == call.Interactive || (c == call.Background && a.need.value(now) < idleNeed)
	if typical {
		a.limit.Observe(r.Latency, r.Failed)
		if !r.Failed {
			a.recent.add(now, r.Latency)
		}
	}
	s := ramp.Sample{
		Latency: r.Latency, BaselineLatency: a.limit.BaselineLatency(), Failed: r.Failed,
		NewConnection: r.NewConnection, Epoch: r.Epoch,
	}
	if !typical {
		s.Latency = a.limit.BaselineLatency()
	}
	a.ramp.Observe(s)
}

// Cancel removes a call that still waits for admission.
func (a *Admitter) Cancel(now clock.Milli, id call.ID) []Decision {
	for c := range a.queue {
		if a.queue[c].remove(id) {
			return a.dispatch(now, a.expire(now, []Decision{{ID: id, Reason: call.ReasonCancelled}}))
		}
	}
	return nil
}

// Tick lets waiting calls time out.
func (a *Admitter) Tick(now clock.Milli) []Decision {
	return a.dispatch(now, a.expire(now, nil))
}

// UpstreamState reports the state of the upstream. Background calls that wait are
// left out, as they delay nobody.
func (a *Admitter) UpstreamState(now clock.Milli) call.UpstreamState {
	return call.UpstreamState{
		Epoch:      a.ramp.ColdStarts(),
		InProgress: len(a.active),
		Queued:     a.queue[call.Interactive].len() + a.queue[call.Transfer].len(),
		Limit:      a.capacity(),
		Slots:      a.slots,
		Latency:    a.latency(now),
		Cold:       a.ramp.Cold(),
		Leaving:    a.leaving,
	}
}

// capacity is how many calls may be in progress now.
func (a *Admitter) capacity() int {
	return min(a.limit.Limit(), a.ramp.Limit())
}

func (a *Admitter) admit(now clock.Milli, t Request) Decision {
	_, twice := a.active[t.ID]
	assert.That(!twice, assert.AtMostOnce, "id %s admitted while it runs", t.ID)
	a.active[t.ID] = running{class: t.Class, started: now}
	a.byClass[t.Class]++
	assert.That(!a.ramp.Cold() || len(a.active) <= a.ramp.Limit(), assert.ColdCapacity,
		"%d calls in progress, ramp allows %d", len(a.active), a.ramp.Limit())
	return Decision{ID: t.ID, Admit: true}
}
