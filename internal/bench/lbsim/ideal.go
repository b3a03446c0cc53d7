package lbsim

import (
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// centralQueue is the ideal policy: one queue for all upstreams that knows their
// current state and dispatches without delay. Network latency adds to the latency
// of a call but occupies no slot. Interactive calls have the highest priority,
// background calls the lowest.
type centralQueue struct {
	simulation
	busySlots []int
	queues    [call.Background + 1][]queuedCall
}

type queuedCall struct {
	call  *clientCall
	entry int
}

// RunIdeal runs a scenario with the ideal central queue. Runs with the same seed
// are identical.
func RunIdeal(s Scenario, seed uint64) Result {
	q := &centralQueue{busySlots: make([]int, s.Targets)}
	q.scenario, q.stats = s, newStats(s)
	q.upstreamsByID = map[string]*upstream{}
	q.policy = Policies()[0]
	q.addUpstreams(seed)
	// The central queue limits a cold upstream to its current capacity, so
	// restarts interrupt no calls.
	r := rand.New(rand.NewPCG(seed, 2))
	scheduleArrivals(&q.loop, &s, seed, func(entry int, c call.Class) {
		cc := &clientCall{start: q.now, request: call.Request{ID: call.NewID(r), Class: c, Deadline: q.now + CallTimeout}}
		if c != call.Interactive {
			cc.request.Deadline = q.now + 10*CallTimeout
		}
		q.stats.recordArrival(cc)
		q.queues[c] = append(q.queues[c], queuedCall{cc, entry})
		q.dispatch()
	})
	q.runUntil(s.Duration)
	return q.stats.result(s.Entries)
}

// dispatch starts queued calls in order of priority and arrival, and refuses
// those that are unlikely to meet their deadline.
func (q *centralQueue) dispatch() {
	for c := range q.queues {
		for len(q.queues[c]) > 0 {
			qc := q.queues[c][0]
			if q.now+minTimeLeft(call.Class(c)) >= qc.call.request.Deadline {
				q.queues[c] = q.queues[c][1:]
				q.stats.recordRefusal(qc.call)
				continue
			}
			u := q.chooseUpstream(qc, call.Class(c))
			if u == nil {
				break
			}
			q.queues[c] = q.queues[c][1:]
			q.startCall(u, qc)
		}
	}
}

// minTimeLeft returns the minimum time before the deadline at which a call is
// still started. Few calls have a longer service time, so few started calls are
// late.
func minTimeLeft(c call.Class) clock.Milli {
	return 4 * MeanServiceTime * clock.Milli(classServiceFactor(c))
}

// chooseUpstream returns the upstream with a free slot and the lowest expected
// latency, or nil if the call has to wait. Background calls wait unless the number
// of free slots exceeds the number of upstreams.
func (q *centralQueue) chooseUpstream(qc queuedCall, c call.Class) *upstream {
	var best *upstream
	var shortest clock.Milli
	freeSlots := 0
	for _, u := range q.upstreams {
		capacity := min(Slots, int(1+u.warmupFraction()*Slots))
		if q.busySlots[u.index] >= capacity || q.scenario.Fails != nil && q.scenario.Fails(u.index, q.now) {
			continue
		}
		freeSlots += capacity - q.busySlots[u.index]
		expected := clock.Milli(u.slowdown()*(1+coldSlowdown*(1-u.warmupFraction())))*MeanServiceTime + 2*q.latencyTo(qc.entry, u)
		if best == nil || expected < shortest {
			best, shortest = u, expected
		}
	}
	// Waiting for a slot on a fast upstream takes less time than running the
	// call on a much slower one.
	if best != nil && shortest > 4*MeanServiceTime && q.hasFastUpstream() {
		return nil
	}
	if c == call.Background && freeSlots <= q.scenario.Targets {
		return nil
	}
	return best
}

func (q *centralQueue) hasFastUpstream() bool {
	for _, u := range q.upstreams {
		if u.slowdown() < 2 && u.warmupFraction() > 0.5 && (q.scenario.Fails == nil || !q.scenario.Fails(u.index, q.now)) {
			return true
		}
	}
	return false
}

func (q *centralQueue) latencyTo(entry int, u *upstream) clock.Milli {
	if centreName(entry, q.scenario.Centres) == u.target.Centre {
		return sameCentreLatency
	}
	return CrossCentreLatency
}

func (q *centralQueue) startCall(u *upstream, qc queuedCall) {
	q.busySlots[u.index]++
	u.running = q.busySlots[u.index]
	delay := q.latencyTo(qc.entry, u)
	q.stats.attempts++
	if delay == sameCentreLatency {
		q.stats.localAttempts++
	}
	t, _ := u.drawDuration(qc.call.request.Class)
	q.schedule(t, func() {
		q.busySlots[u.index]--
		u.warmupCallsDone++
		q.dispatch()
		q.schedule(2*delay, func() { q.stats.recordAnswer(q.now, qc.call) })
	})
}
