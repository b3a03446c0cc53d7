package lbsim

import (
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// ideal is one central queue that knows the state of every upstream and
// reaches it without delay; only the network between entry and upstream
// counts, and it holds no slot. Interactive calls come first, background work takes what is left.
type ideal struct {
	model
	busy  []int
	queue [call.Background + 1][]waiter
}

type waiter struct {
	call  *caller
	entry int
}

// RunIdeal runs a scenario with the central queue.
func RunIdeal(s Scenario, seed uint64) Result {
	q := &ideal{busy: make([]int, s.Targets)}
	q.scenario, q.stats = s, newStats(s)
	q.byID = map[string]*upstream{}
	q.policy = Policies()[0]
	q.addUpstreams(seed)
	// The central queue keeps a cold upstream at the number of calls that it
	// bears, so restarts break no calls off.
	r := rand.New(rand.NewPCG(seed, 2))
	arrivals(&q.loop, &s, seed, func(i int, c call.Class) {
		x := &caller{start: q.now, request: call.Request{ID: call.NewID(r), Class: c, Deadline: q.now + CallTimeout}}
		if c != call.Interactive {
			x.request.Deadline = q.now + 10*CallTimeout
		}
		q.stats.arrived(x)
		q.queue[c] = append(q.queue[c], waiter{x, i})
		q.serve()
	})
	q.until(s.Duration)
	return q.stats.result(s.Entries)
}

// serve starts the calls at the head of the queues.
func (q *ideal) serve() {
	for c := range q.queue {
		for len(q.queue[c]) > 0 {
			w := q.queue[c][0]
			if q.now+slack(call.Class(c)) >= w.call.request.Deadline {
				q.queue[c] = q.queue[c][1:]
				q.stats.refused(w.call)
				continue
			}
			u := q.choose(w, call.Class(c))
			if u == nil {
				break
			}
			q.queue[c] = q.queue[c][1:]
			q.start(u, w)
		}
	}
}

// slack is the time that must be left for a call to be started: a service
// time that few calls exceed, so that no started call is late.
func slack(c call.Class) clock.Milli {
	return 4 * MeanServiceTime * clock.Milli(classFactor(c))
}

// choose returns the upstream with a free slot where the call is answered
// first, or nil when waiting for a faster one is better.
func (q *ideal) choose(w waiter, c call.Class) *upstream {
	var best *upstream
	var least clock.Milli
	free := 0
	for _, u := range q.upstreams {
		bears := min(Slots, int(1+u.warmth()*Slots))
		if q.busy[u.index] >= bears || q.scenario.Fails != nil && q.scenario.Fails(u.index, q.now) {
			continue
		}
		free += bears - q.busy[u.index]
		t := clock.Milli(u.slowdown()*(1+coldFactor*(1-u.warmth())))*MeanServiceTime + 2*q.distance(w.entry, u)
		if best == nil || t < least {
			best, least = u, t
		}
	}
	// A slot on a much slower upstream is worse than the next free one.
	if best != nil && least > 4*MeanServiceTime && q.anyFast() {
		return nil
	}
	if c == call.Background && free <= q.scenario.Targets {
		return nil
	}
	return best
}

func (q *ideal) anyFast() bool {
	for _, u := range q.upstreams {
		if u.slowdown() < 2 && u.warmth() > 0.5 && (q.scenario.Fails == nil || !q.scenario.Fails(u.index, q.now)) {
			return true
		}
	}
	return false
}

func (q *ideal) distance(entry int, u *upstream) clock.Milli {
	if centreOf(entry, q.scenario.Centres) == u.target.Centre {
		return inside
	}
	return CrossCentreLatency
}

func (q *ideal) start(u *upstream, w waiter) {
	q.busy[u.index]++
	u.running = q.busy[u.index]
	d := q.distance(w.entry, u)
	q.stats.attempts++
	if d == inside {
		q.stats.local++
	}
	t, _ := u.duration(w.call.request.Class)
	q.after(t, func() {
		q.busy[u.index]--
		u.served++
		q.serve()
		q.after(2*d, func() { q.stats.answered(q.now, w.call) })
	})
}
