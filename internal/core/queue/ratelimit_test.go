package queue_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/queue"
)

func statedLimit(rate float64, requestedAt clock.Milli) call.Notice {
	return call.Notice{Instance: "u", Limited: true, RateLimit: rate, RequestedAt: requestedAt}
}

// playLoad offers a call every interval and ends each admitted one after serviceTime. It
// returns when calls were admitted.
func playLoad(d *queue.Dispatcher, from, until, interval, serviceTime clock.Milli, mayQueue bool) []clock.Milli {
	var admittedAt []clock.Milli
	ends := make(map[call.ID]clock.Milli)
	seq := 0
	for now := from; now < until; now++ {
		decisions := d.Tick(now)
		for id, at := range ends {
			if now >= at {
				delete(ends, id)
				decisions = append(decisions, d.Finish(now, id, admit.Result{Latency: serviceTime})...)
			}
		}
		if int(now-from)%int(interval) == 0 {
			seq++
			decisions = append(decisions, d.Offer(now, admit.Request{
				ID: call.ID{byte(seq), byte(seq >> 8), 1}, MayQueue: mayQueue, SoftDeadline: now + 600, Deadline: now + 1500,
			})...)
		}
		for _, decision := range decisions {
			if decision.Admit {
				ends[decision.ID] = now + serviceTime
				admittedAt = append(admittedAt, now)
			}
		}
	}
	return admittedAt
}

// maxInWindow returns the most instants within any span of the given length.
func maxInWindow(at []clock.Milli, length clock.Milli) int {
	most, first := 0, 0
	for i := range at {
		for at[i]-at[first] >= length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against sending an upstream more calls than the rate that it states, and against
// leaving a part of that rate unused.
func TestStatedRateIsKept(t *testing.T) {
	const window = 4 * clock.Second
	tests := map[string]struct {
		rate     float64
		mayQueue bool
		notices  func(d *queue.Dispatcher)
		min, max int
	}{
		"few a second":       {1.2, true, func(*queue.Dispatcher) {}, 18, 6},
		"many a second":      {9, true, func(*queue.Dispatcher) {}, 160, 42},
		"other targets left": {2.4, false, func(*queue.Dispatcher) {}, 40, 12},
		"none":               {0, true, func(*queue.Dispatcher) {}, 1, 1},
		"lowered":            {9, true, func(d *queue.Dispatcher) { d.ObserveNotice(start, statedLimit(2, start)) }, 38, 10},
		"overtaken response": {2, true, func(d *queue.Dispatcher) {
			d.ObserveNotice(start+5, call.Notice{Instance: "u", RequestedAt: start - 50})
		}, 38, 10},
		"slots change":        {2, true, func(d *queue.Dispatcher) { d.Reset(12) }, 38, 10},
		"comes and goes":      {2, true, flapLimit, 38, 10},
		"cold at a high rate": {2, true, func(d *queue.Dispatcher) { d.LimitColdRate(start, start+20*clock.Second, 50) }, 38, 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := queue.New(6)
			d.ObserveNotice(start, statedLimit(tt.rate, start))
			tt.notices(d)
			admittedAt := playLoad(d, start+10, start+20*clock.Second, 40, 100, tt.mayQueue)
			g.Expect(len(admittedAt)).To(BeNumerically(">=", tt.min))
			g.Expect(maxInWindow(admittedAt, window)).To(BeNumerically("<=", tt.max))
		})
	}
}

// flapLimit ends and states the limit repeatedly.
func flapLimit(d *queue.Dispatcher) {
	for at := start; at < start+10; at += 2 {
		d.ObserveNotice(at, call.Notice{Instance: "u", RequestedAt: at})
		d.ObserveNotice(at+1, statedLimit(2, at))
	}
}

// Guards against tokens that a pause of the process stores: after it, calls start no faster
// than the burst and the rate allow.
func TestPauseStoresNoTokens(t *testing.T) {
	g := NewWithT(t)
	d := queue.New(6)
	d.ObserveNotice(start, statedLimit(2, start))
	const pause = 30 * clock.Second
	admittedAt := playLoad(d, start+pause, start+pause+clock.Second, 20, 10, true)
	g.Expect(len(admittedAt)).To(BeNumerically("<=", 3))
}

// Guards against calls that stay limited after the upstream lifted its limit or was
// replaced.
func TestStatedRateEnds(t *testing.T) {
	tests := map[string]func(d *queue.Dispatcher){
		"lifted": func(d *queue.Dispatcher) {
			d.ObserveNotice(start+20, call.Notice{Instance: "u", RequestedAt: start + 10})
		},
		"replaced": func(d *queue.Dispatcher) { d.RemoveStatedLimit() },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := queue.New(6)
			d.ObserveNotice(start, statedLimit(0.5, start))
			end(d)
			admittedAt := playLoad(d, start+30, start+30+clock.Second, 100, 50, true)
			g.Expect(admittedAt).To(HaveLen(10))
			g.Expect(d.UpstreamState(start + 30).CallInterval).To(BeZero())
		})
	}
}

// Guards against holding a call that the limit can't admit in time, also when calls of
// higher priority arrive after it or the limit is lowered.
func TestCallBeyondLimitIsRefusedAtOnce(t *testing.T) {
	tests := map[string]func(d *queue.Dispatcher) []admit.Decision{
		"queue is long":   func(*queue.Dispatcher) []admit.Decision { return nil },
		"higher priority": func(d *queue.Dispatcher) []admit.Decision { return d.Offer(start, newRequest(50, 0, true)) },
		"lower limit": func(d *queue.Dispatcher) []admit.Decision {
			d.ObserveNotice(start, statedLimit(0.1, start))
			return nil
		},
	}
	for name, then := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := queue.New(6)
			d.ObserveNotice(start, statedLimit(4, start))
			var decisions []admit.Decision
			for n := byte(1); n <= 3; n++ {
				decisions = append(decisions, d.Offer(start, newRequest(n, 2, true))...)
			}
			decisions = append(decisions, then(d)...)
			decisions = append(decisions, d.Tick(start+4)...)
			refused := 0
			for _, decision := range decisions {
				if !decision.Admit {
					g.Expect(decision.Reason).To(Equal(call.ReasonRateLimit))
					g.Expect(decision.RetryIn).To(BeNumerically(">", 0))
					refused++
				}
			}
			g.Expect(refused).To(BeNumerically(">=", 1))
		})
	}
}

// Guards against a Retry-After that does not hold: callers that are refused at the same
// time and return when they were told to all start, one after the other.
func TestRefusedCallersStartWhenTheyReturn(t *testing.T) {
	g := NewWithT(t)
	d := queue.New(6)
	d.ObserveNotice(start, statedLimit(4, start))
	returnAt := make(map[byte]clock.Milli)
	for n := byte(1); n <= 6; n++ {
		for _, decision := range d.Offer(start, newRequest(n, 0, true)) {
			if !decision.Admit {
				returnAt[n] = start + decision.RetryIn
			}
		}
	}
	g.Expect(len(returnAt)).To(BeNumerically(">=", 3))
	admitted := make(map[call.ID]bool)
	for now := start; now < start+3*clock.Second; now++ {
		decisions := d.Tick(now)
		for n, at := range returnAt {
			if now >= at {
				delete(returnAt, n)
				r := newRequest(100+n, 0, true)
				r.SoftDeadline, r.Deadline = now+600, now+1500
				decisions = append(decisions, d.Offer(now, r)...)
			}
		}
		for _, decision := range decisions {
			g.Expect(decision.Admit).To(BeTrue(), "refused at %v: %v", now-start, decision.Reason)
			admitted[decision.ID] = true
			d.Finish(now, decision.ID, admit.Result{Latency: 1})
		}
	}
	g.Expect(returnAt).To(BeEmpty())
	g.Expect(admitted).To(HaveLen(5))
}

// Guards against a persistent load above the limit that makes all callers wait until nearly
// each response is late.
func TestCallsWithinLimitAreAnsweredInTime(t *testing.T) {
	g := NewWithT(t)
	const serviceTime, softDeadline, interval = 150, 350, 40
	d := queue.New(6)
	for range 50 {
		d.Offer(start, newRequest(200, 0, true))
		d.Finish(start, callID(200), admit.Result{Latency: serviceTime})
	}
	d.ObserveNotice(start, statedLimit(10, start))
	offeredAt := make(map[call.ID]clock.Milli)
	inTime, late := 0, 0
	for now := start; now < start+20*clock.Second; now++ {
		decisions := d.Tick(now)
		if int(now-start)%interval == 0 {
			id := call.ID{byte(len(offeredAt)), byte(len(offeredAt) >> 8), 1}
			offeredAt[id] = now
			decisions = append(decisions, d.Offer(now, admit.Request{ID: id, Route: "r", MayQueue: true, SoftDeadline: now + softDeadline, Deadline: now + 1000})...)
		}
		for _, decision := range decisions {
			if !decision.Admit {
				continue
			}
			if now+serviceTime <= offeredAt[decision.ID]+softDeadline {
				inTime++
			} else {
				late++
			}
			d.Finish(now, decision.ID, admit.Result{Latency: serviceTime})
		}
	}
	g.Expect(inTime).To(BeNumerically(">=", 190))
	g.Expect(late).To(BeNumerically("<=", 2))
}
