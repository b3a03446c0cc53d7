package queue

import (
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// refusal returns why a call that has other targets left should go there.
func (l *Dispatcher) refusal(now clock.Milli) call.Reason {
	switch {
	case l.cold.limits(now) && !l.cold.ready(now):
		return call.ReasonCold
	case l.slow(now):
		return call.ReasonSlowVM
	default:
		return call.ReasonBusy
	}
}

// limit is how many calls may run at once. Upstreams that are nearly full slow
// down by more than the further calls add.
func (l *Dispatcher) limit() int {
	return max(1, int(easyPart*float64(l.slots)))
}

// slow reports whether the upstream's VM is slow at the moment.
func (l *Dispatcher) slow(now clock.Milli) bool {
	return l.paceNow(now) >= slowPace
}

// DelayedBySlowVM reports whether calls wait for the upstream's VM to become faster.
func (l *Dispatcher) DelayedBySlowVM(now clock.Milli) bool {
	return len(l.queue) > 0 && l.slow(now)
}

// SlowdownAge is how old the last report of the pace is.
func (l *Dispatcher) SlowdownAge(now clock.Milli) clock.Milli {
	return now - l.paceAt
}

// until is the last instant at which a call may start.
func (l *Dispatcher) until(now clock.Milli, t admit.Request) clock.Milli {
	wait := max(leastWait, deadlineShare*(t.Deadline-now))
	if t.SoftDeadline > 0 {
		wait = max(wait, aimShare*(t.SoftDeadline-now))
	}
	return min(t.Deadline, now+wait)
}

// place is the position of a call among those that wait: by rank, then by
// arrival.
func (l *Dispatcher) place(w waiting) int {
	at, _ := slices.BinarySearchFunc(l.queue, w, func(a, b waiting) int {
		if a.ticket.Priority != b.ticket.Priority {
			return a.ticket.Priority - b.ticket.Priority
		}
		return int(int64(a.seq) - int64(b.seq))
	})
	return at
}

// tooLate refuses a call at once that would not start in time.
func (l *Dispatcher) tooLate(now clock.Milli, ahead int, w waiting) call.Reason {
	if l.cold.limits(now) {
		if now+l.cold.wait(now, ahead) > w.until {
			return call.ReasonCold
		}
		return call.ReasonNone
	}
	if len(l.active) < l.limit() && ahead == 0 {
		return call.ReasonNone
	}
	wait := clock.Milli(float64(ahead+1)/float64(l.limit())) * l.typical
	if now+wait > w.until {
		return call.ReasonQueueFull
	}
	return call.ReasonNone
}

func (l *Dispatcher) paceNow(now clock.Milli) float64 {
	if l.pace == 0 || now-l.paceAt > paceLife {
		return 1
	}
	return l.pace
}

// fits reports whether a call may start now. A short call that has no other
// target starts on a slow VM too.
func (l *Dispatcher) fits(now clock.Milli, t admit.Request) bool {
	if len(l.active) >= l.limit() || !l.cold.ready(now) {
		return false
	}
	if !l.slow(now) {
		return true
	}
	return t.MayQueue && clock.Milli(l.paceNow(now)-1)*l.usual(t.Route) <= slowCost
}

func (l *Dispatcher) dispatch(now clock.Milli, actions []admit.Decision) []admit.Decision {
	for len(l.queue) > 0 && l.fits(now, l.queue[0].ticket) {
		w := l.queue[0]
		l.queue = l.queue[1:]
		actions = append(actions, l.admit(now, w.ticket))
	}
	return actions
}

// late reports whether a call that waited for a faster VM can still be
// answered, if late, by the slow one.
func (l *Dispatcher) late(now clock.Milli, w waiting) bool {
	return l.slow(now) && 2*len(l.active) < l.limit() && l.cold.ready(now) &&
		now+clock.Milli(l.paceNow(now))*l.usual(w.ticket.Route) < w.ticket.Deadline
}

func (l *Dispatcher) expire(now clock.Milli, actions []admit.Decision) []admit.Decision {
	kept := l.queue[:0]
	for _, w := range l.queue {
		switch {
		case now >= w.ticket.Deadline:
			actions = append(actions, admit.Decision{ID: w.ticket.ID, Reason: call.ReasonDeadline})
		case now >= w.until && l.late(now, w):
			actions = append(actions, l.admit(now, w.ticket))
		case now >= w.until:
			actions = append(actions, admit.Decision{ID: w.ticket.ID, Reason: call.ReasonQueueTimeout})
		default:
			kept = append(kept, w)
		}
	}
	l.queue = kept
	return actions
}
