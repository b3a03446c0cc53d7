package admit

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const numClasses = call.Background + 1

const (
	// maxQueuedPerSlot bounds the queued calls, in multiples of the capacity.
	maxQueuedPerSlot = 4
	// waitLimitFactor bounds how long a call is queued, in multiples of the
	// baseline latency.
	waitLimitFactor = 5
	minWaitLimit    = 20 * clock.Millisecond
	maxWaitLimit    = 100 * clock.Millisecond
	// backgroundWaitLimit is longer, as no user waits for background calls.
	backgroundWaitLimit = 500 * clock.Millisecond
)

type queuedCall struct {
	request   Request
	expiresAt clock.Milli
}

// queue holds the queued calls of one class, the oldest first.
type queue struct {
	calls []queuedCall
}

func (q *queue) len() int          { return len(q.calls) }
func (q *queue) empty() bool       { return len(q.calls) == 0 }
func (q *queue) push(c queuedCall) { q.calls = append(q.calls, c) }
func (q *queue) front() queuedCall { return q.calls[0] }

func (q *queue) remove(id call.ID) bool {
	for i := range q.calls {
		if q.calls[i].request.ID == id {
			q.calls = append(q.calls[:i], q.calls[i+1:]...)
			return true
		}
	}
	return false
}

// expire refuses the calls whose deadline or wait limit has passed. It checks all
// calls, as the queue is not ordered by deadline.
func (q *queue) expire(now clock.Milli, decisions []Decision) []Decision {
	kept := q.calls[:0]
	for _, queued := range q.calls {
		switch {
		case now >= queued.request.Deadline:
			decisions = append(decisions, Decision{ID: queued.request.ID, Reason: call.ReasonDeadline})
		case now >= queued.expiresAt:
			decisions = append(decisions, Decision{ID: queued.request.ID, Reason: call.ReasonQueueTimeout})
		default:
			kept = append(kept, queued)
		}
	}
	q.calls = kept
	return decisions
}

func (a *Admitter) expire(now clock.Milli, decisions []Decision) []Decision {
	for c := range a.queues {
		decisions = a.queues[c].expire(now, decisions)
	}
	return decisions
}

func (a *Admitter) isQueued(id call.ID) bool {
	for c := range a.queues {
		for _, queued := range a.queues[c].calls {
			if queued.request.ID == id {
				return true
			}
		}
	}
	return false
}

func (a *Admitter) queuedCount() int {
	n := 0
	for c := range a.queues {
		n += a.queues[c].len()
	}
	return n
}

// queueFull reports whether too many calls are queued or, for an interactive
// call, whether its expected wait exceeds the limit. With a slow upstream, calls
// are thus refused early, while they can still be sent to another target.
func (a *Admitter) queueFull(now clock.Milli, c call.Class) bool {
	n, capacity := a.queuedCount(), a.capacity()
	if n >= maxQueuedPerSlot*capacity {
		return true
	}
	if c != call.Interactive {
		return false
	}
	ahead := clock.Milli(a.queues[c].len()+1) / clock.Milli(capacity)
	return ahead*a.currentLatency(now) > a.waitLimit(c)
}

func (a *Admitter) waitLimit(c call.Class) clock.Milli {
	if c == call.Background {
		return backgroundWaitLimit
	}
	return min(maxWaitLimit, max(minWaitLimit, waitLimitFactor*a.limit.BaselineLatency()))
}

// evictLowerClass removes the newest queued call of a class that is shed before
// c. It returns false if there is none.
func (a *Admitter) evictLowerClass(c call.Class) (Decision, bool) {
	for class := call.Background; class > c; class-- {
		q := &a.queues[class]
		if q.empty() {
			continue
		}
		newest := q.calls[len(q.calls)-1]
		q.calls = q.calls[:len(q.calls)-1]
		return Decision{ID: newest.request.ID, Reason: a.overloadReason(class)}, true
	}
	return Decision{}, false
}

func (a *Admitter) overloadReason(c call.Class) call.Reason {
	switch {
	case a.ramp.Cold():
		return call.ReasonCold
	case c == call.Background:
		return call.ReasonBackgroundShed
	case c == call.Transfer:
		return call.ReasonTransferShare
	default:
		return call.ReasonQueueFull
	}
}

// dispatch admits queued calls into free slots, interactive ones first.
func (a *Admitter) dispatch(now clock.Milli, decisions []Decision) []Decision {
	for c := call.Interactive; c < numClasses; c++ {
		for !a.queues[c].empty() && a.mayStart(now, c) {
			queued := a.queues[c].front()
			a.queues[c].calls = a.queues[c].calls[1:]
			decisions = append(decisions, a.admit(now, queued.request))
		}
	}
	return decisions
}
