package queue

import (
	"cmp"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// sortQueue sorts the queued calls into the order in which they start.
func (d *Dispatcher) sortQueue(now clock.Milli) {
	slices.SortFunc(d.queue, func(a, b queuedCall) int { return compareQueued(now, &a, &b) })
}

// queuePosition returns the index at which a call is inserted into the sorted queue.
func (d *Dispatcher) queuePosition(now clock.Milli, queued queuedCall) int {
	position, _ := slices.BinarySearchFunc(d.queue, queued, func(a, b queuedCall) int { return compareQueued(now, &a, &b) })
	return position
}

// compareQueued orders calls by priority, then by their turns at a cold upstream. Among equals,
// those that can still end within their soft deadline come first, by the latest start at which
// they do: a call that is late already loses less by waiting. The others, and calls without a
// soft deadline, are ordered by arrival.
func compareQueued(now clock.Milli, a, b *queuedCall) int {
	timelyA, timelyB := now <= a.latestTimelyStart, now <= b.latestTimelyStart
	switch {
	case a.request.Priority != b.request.Priority:
		return cmp.Compare(a.request.Priority, b.request.Priority)
	case a.turn != turnInTime || b.turn != turnInTime:
		return cmp.Or(compareTurns(a, b), cmp.Compare(a.seq, b.seq))
	case timelyA != timelyB && timelyA:
		return -1
	case timelyA != timelyB:
		return 1
	case timelyA && a.latestTimelyStart != b.latestTimelyStart:
		return cmp.Compare(a.latestTimelyStart, b.latestTimelyStart)
	default:
		return cmp.Compare(a.seq, b.seq)
	}
}
