// Package admit decides which calls a guard dispatches to its upstream, which
// ones it queues and which ones it refuses.
package admit

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/limit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/ramp"
)

// Request describes a call that is offered for admission.
type Request struct {
	ID       call.ID
	Class    call.Class
	Deadline clock.Milli
	Priority int
	// SoftDeadline is the instant until which a response has its full value, zero if
	// none was set.
	SoftDeadline clock.Milli
	Route        string
	// MayQueue allows the call to queue, as no other target is left for it. An
	// Admitter ignores it and may queue any call.
	MayQueue bool
}

// Decision admits or refuses one call. Reason is ReasonNone for an admitted one.
type Decision struct {
	ID     call.ID
	Admit  bool
	Reason call.Reason
	// RetryIn is the time after which the caller of a refused call should retry, zero if
	// it is not known.
	RetryIn clock.Milli
}

// Result is the result of an admitted call at the upstream.
type Result struct {
	// Latency is the time from dispatch to the first byte of the response.
	Latency clock.Milli
	Failed  bool
	// Cancelled reports that the caller gave up, so that Latency does not
	// reflect the upstream's speed.
	Cancelled bool
	// NewConnection reports that the call opened a connection.
	NewConnection bool
	// Epoch is the restart counter that the upstream reported, zero if none.
	Epoch uint64
	// NotRun reports that the upstream refused the call without running it.
	NotRun bool
	// Load is the load that the upstream reported, nil if none.
	Load *call.LoadReport
}

type activeCall struct {
	class     call.Class
	startedAt clock.Milli
}

// Admitter tracks the calls in progress and the queued calls of one upstream,
// and limits both. It is not safe for concurrent use.
type Admitter struct {
	slots             int
	limit             *limit.Limiter
	ramp              *ramp.Ramp
	active            map[call.ID]activeCall
	activeByClass     [numClasses]int
	queues            [numClasses]queue
	latencies         latencyWindow
	interactiveDemand demand
	draining          bool
}

// New returns an admitter for an upstream that runs at most slots calls at
// once. The upstream counts as cold at first.
func New(slots int) *Admitter {
	slots = max(1, slots)
	return &Admitter{
		slots:  slots,
		limit:  limit.New(slots),
		ramp:   ramp.New(slots),
		active: make(map[call.ID]activeCall, slots),
	}
}

// Drain makes the admitter refuse all further calls. Queued calls are still
// served.
func (a *Admitter) Drain() {
	a.draining = true
}

// Offer admits, queues or refuses a call. The decisions may also concern queued
// calls; a call without a decision is queued.
func (a *Admitter) Offer(now clock.Milli, req Request) []Decision {
	decisions := a.expire(now, nil)
	if r := a.rejectReason(now, req); r != call.ReasonNone {
		return append(decisions, Decision{ID: req.ID, Reason: r})
	}
	if req.Class == call.Interactive {
		a.interactiveDemand.observe(now, a.interactiveCount())
	}
	if a.queues[req.Class].empty() && a.mayStart(now, req.Class) {
		return append(decisions, a.admit(now, req))
	}
	if a.queueFull(now, req.Class) {
		evicted, ok := a.evictLowerClass(req.Class)
		if !ok {
			return append(decisions, Decision{ID: req.ID, Reason: a.overloadReason(req.Class)})
		}
		decisions = append(decisions, evicted)
	}
	a.queues[req.Class].push(queuedCall{request: req, expiresAt: min(req.Deadline, now+a.waitLimit(req.Class))})
	return a.dispatch(now, decisions)
}

// rejectReason returns why a call is refused regardless of the load, or
// ReasonNone if it is not.
func (a *Admitter) rejectReason(now clock.Milli, req Request) call.Reason {
	_, inProgress := a.active[req.ID]
	switch {
	case inProgress || a.isQueued(req.ID):
		return call.ReasonDuplicate
	case now >= req.Deadline:
		return call.ReasonDeadline
	case a.draining:
		return call.ReasonLeaving
	case req.Class < 0 || req.Class >= numClasses:
		return call.ReasonBadRequest
	default:
		return call.ReasonNone
	}
}

// Finish records the result of an admitted call and returns the decisions on
// queued calls that follow. An unknown id is ignored.
func (a *Admitter) Finish(now clock.Milli, id call.ID, r Result) []Decision {
	ended, ok := a.active[id]
	if !ok {
		return nil
	}
	delete(a.active, id)
	a.activeByClass[ended.class]--
	if !r.Cancelled {
		a.recordResult(now, ended.class, r)
	}
	return a.dispatch(now, a.expire(now, nil))
}

func (a *Admitter) recordResult(now clock.Milli, c call.Class, r Result) {
	// A transfer lasts as long as its body takes to arrive, and background
	// calls run longer than interactive ones. Mixed with the latencies of
	// interactive calls, both would look like a slow upstream.
	representative := c == call.Interactive || (c == call.Background && a.interactiveDemand.estimate(now) < idleDemandThreshold)
	if representative {
		a.limit.Observe(r.Latency, r.Failed)
		if !r.Failed {
			a.latencies.add(now, r.Latency)
		}
	}
	s := ramp.Sample{
		Latency: r.Latency, BaselineLatency: a.limit.BaselineLatency(), Failed: r.Failed,
		NewConnection: r.NewConnection, Epoch: r.Epoch,
	}
	if !representative {
		s.Latency = a.limit.BaselineLatency()
	}
	a.ramp.Observe(s)
}

// Cancel removes a queued call. It has no effect on a call in progress.
func (a *Admitter) Cancel(now clock.Milli, id call.ID) []Decision {
	for c := range a.queues {
		if a.queues[c].remove(id) {
			return a.dispatch(now, a.expire(now, []Decision{{ID: id, Reason: call.ReasonCancelled}}))
		}
	}
	return nil
}

// Tick refuses queued calls that timed out and admits others in their place.
func (a *Admitter) Tick(now clock.Milli) []Decision {
	return a.dispatch(now, a.expire(now, nil))
}

// UpstreamState returns the state of the upstream. Queued background calls are
// not counted, as they delay no other calls.
func (a *Admitter) UpstreamState(now clock.Milli) call.UpstreamState {
	return call.UpstreamState{
		Epoch:      a.ramp.ColdStarts(),
		InProgress: len(a.active),
		Queued:     a.queues[call.Interactive].len() + a.queues[call.Transfer].len(),
		Limit:      a.capacity(),
		Slots:      a.slots,
		Latency:    a.currentLatency(now),
		Cold:       a.ramp.Cold(),
		Leaving:    a.draining,
	}
}

// capacity returns the number of calls that may be in progress now.
func (a *Admitter) capacity() int {
	return min(a.limit.Limit(), a.ramp.Limit())
}

func (a *Admitter) admit(now clock.Milli, req Request) Decision {
	_, duplicate := a.active[req.ID]
	assert.That(!duplicate, assert.AtMostOnce, "call %s admitted while it is in progress", req.ID)
	a.active[req.ID] = activeCall{class: req.Class, startedAt: now}
	a.activeByClass[req.Class]++
	assert.That(!a.ramp.Cold() || len(a.active) <= a.ramp.Limit(), assert.ColdCapacity,
		"%d calls in progress, ramp allows %d", len(a.active), a.ramp.Limit())
	return Decision{ID: req.ID, Admit: true}
}
