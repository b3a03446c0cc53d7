package admit

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const classes = call.Background + 1

const (
	// queuePerSlot bounds the calls that wait, in multiples of the capacity.
	queuePerSlot = 4
	// waitRounds bounds how long a call waits, in multiples of the recent
	// latency.
	waitRounds = 5
	minWait    = 20 * clock.Millisecond
	maxWait    = 100 * clock.Millisecond
	// backgroundWait is how long background work waits; nobody waits for it.
	backgroundWait = 500 * clock.Millisecond
)

type waiting struct {
	ticket Request
	until  clock.Milli
}

// queue holds the waiting calls of one class, the oldest first.
type queue struct {
	calls []waiting
}

func (q *queue) len() int        { return len(q.calls) }
func (q *queue) empty() bool     { return len(q.calls) == 0 }
func (q *queue) push(w waiting)  { q.calls = append(q.calls, w) }
func (q *queue) oldest() waiting { return q.calls[0] }

func (q *queue) remove(id call.ID) bool {
	for i := range q.calls {
		if q.calls[i].ticket.ID == id {
			q.calls = append(q.calls[:i], q.calls[i+1:]...)
			return true
		}
	}
	return false
}

// expire removes the calls whose time is over. Their order by time is not
// given, as deadlines differ.
func (q *queue) expire(now clock.Milli, actions []Decision) []Decision {
	kept := q.calls[:0]
	for _, w := range q.calls {
		switch {
		case now >= w.ticket.Deadline:
			actions = append(actions, Decision{ID: w.ticket.ID, Reason: call.ReasonDeadline})
		case now >= w.until:
			actions = append(actions, Decision{ID: w.ticket.ID, Reason: call.ReasonQueueTimeout})
		default:
			kept = append(kept, w)
		}
	}
	q.calls = kept
	return actions
}

func (a *Admitter) expire(now clock.Milli, actions []Decision) []Decision {
	for c := range a.queue {
		actions = a.queue[c].expire(now, actions)
	}
	return actions
}

func (a *Admitter) queued(id call.ID) bool {
	for c := range a.queue {
		for _, w := range a.queue[c].calls {
			if w.ticket.ID == id {
				return true
			}
		}
	}
	return false
}

func (a *Admitter) waiting() int {
	n := 0
	for c := range a.queue {
		n += a.queue[c].len()
	}
	return n
}

// full reports whether a call would wait too long or behind too many others.
// A slow upstream refuses early, while the call can still go elsewhere.
func (a *Admitter) full(now clock.Milli, c call.Class) bool {
	n, capacity := a.waiting(), a.capacity()
	if n >= queuePerSlot*capacity {
		return true
	}
	if c != call.Interactive {
		return false
	}
	ahead := clock.Milli(a.queue[c].len()+1) / clock.Milli(capacity)
	return ahead*a.latency(now) > a.maxWait(c)
}

func (a *Admitter) maxWait(c call.Class) clock.Milli {
	if c == call.Background {
		return backgroundWait
	}
	return min(maxWait, max(minWait, waitRounds*a.limit.BaselineLatency()))
}

// yield drops the newest waiting call of a class that is shed before c.
func (a *Admitter) yield(c call.Class) (Decision, bool) {
	for victim := call.Background; victim > c; victim-- {
		q := &a.queue[victim]
		if q.empty() {
			continue
		}
		last := q.calls[len(q.calls)-1]
		q.calls = q.calls[:len(q.calls)-1]
		return Decision{ID: last.ticket.ID, Reason: a.fullReason(victim)}, true
	}
	return Decision{}, false
}

func (a *Admitter) fullReason(c call.Class) call.Reason {
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

// dispatch admits waiting calls into free slots, interactive ones first.
func (a *Admitter) dispatch(now clock.Milli, actions []Decision) []Decision {
	for c := call.Interactive; c < classes; c++ {
		for !a.queue[c].empty() && a.fits(now, c) {
			w := a.queue[c].oldest()
			a.queue[c].calls = a.queue[c].calls[1:]
			actions = append(actions, a.admit(now, w.ticket))
		}
	}
	return actions
}
