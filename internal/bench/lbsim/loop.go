// Package lbsim simulates load balancing in virtual time. Simulated entries and
// upstreams run the production decision core, baseline policies and an ideal
// central queue on the same scenarios.
package lbsim

import (
	"container/heap"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

type event struct {
	at  clock.Milli
	seq int
	run func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// loop is a discrete-event loop. It runs events in the order of their time, and
// events of the same time in the order in which they were scheduled.
type loop struct {
	now  clock.Milli
	seq  int
	heap events
}

func (l *loop) schedule(d clock.Milli, run func()) {
	l.seq++
	heap.Push(&l.heap, event{at: l.now + d, seq: l.seq, run: run})
}

func (l *loop) runUntil(end clock.Milli) {
	for len(l.heap) > 0 && l.heap[0].at <= end {
		e := heap.Pop(&l.heap).(event)
		l.now = e.at
		e.run()
	}
}
