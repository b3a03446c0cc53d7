package admit_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const slots = 6

var idSource = rand.New(rand.NewPCG(7, 7))

func newRequest(c call.Class, deadline clock.Milli) admit.Request {
	return admit.Request{ID: call.NewID(idSource), Class: c, Deadline: deadline}
}

// newWarmAdmitter returns an admitter whose upstream is no longer cold, and the
// current time.
func newWarmAdmitter(t *testing.T) (*admit.Admitter, clock.Milli) {
	a := admit.New(slots)
	now := clock.Milli(1)
	for range 200 {
		x := newRequest(call.Interactive, now+1000)
		NewWithT(t).Expect(a.Offer(now, x)).To(ConsistOf(admit.Decision{ID: x.ID, Admit: true}))
		now += 10
		a.Finish(now, x.ID, admit.Result{Latency: 10, Epoch: 1})
	}
	NewWithT(t).Expect(a.UpstreamState(now).Cold).To(BeFalse())
	return a, now
}

// Guards against admitting a call whose deadline has passed, that is already in
// progress, or that arrives when the queue is full or the admitter drains.
func TestOfferRefuses(t *testing.T) {
	cases := map[string]struct {
		prepare func(a *admit.Admitter, now clock.Milli, x *admit.Request)
		reason  call.Reason
	}{
		"past the deadline": {func(_ *admit.Admitter, now clock.Milli, x *admit.Request) { x.Deadline = now }, call.ReasonDeadline},
		"runs already":      {func(a *admit.Admitter, now clock.Milli, x *admit.Request) { a.Offer(now, *x) }, call.ReasonDuplicate},
		"leaving":           {func(a *admit.Admitter, _ clock.Milli, _ *admit.Request) { a.Drain() }, call.ReasonLeaving},
		"queue full": {func(a *admit.Admitter, now clock.Milli, _ *admit.Request) {
			for range 10 * slots {
				a.Offer(now, newRequest(call.Interactive, now+1000))
			}
		}, call.ReasonQueueFull},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a, now := newWarmAdmitter(t)
			x := newRequest(call.Interactive, now+1000)
			c.prepare(a, now, &x)
			NewWithT(t).Expect(a.Offer(now, x)).To(ConsistOf(admit.Decision{ID: x.ID, Reason: c.reason}))
		})
	}
}

// Guards against a call that stays queued past its wait limit or its deadline.
func TestWaitingCallsTimeOut(t *testing.T) {
	cases := map[string]struct {
		deadline, after clock.Milli
		reason          call.Reason
	}{
		"wait limit": {1000, 150, call.ReasonQueueTimeout},
		"deadline":   {15, 15, call.ReasonDeadline},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, now := newWarmAdmitter(t)
			for range slots {
				a.Offer(now, newRequest(call.Interactive, now+1000))
			}
			x := newRequest(call.Interactive, now+c.deadline)
			g.Expect(a.Offer(now, x)).To(BeEmpty())
			g.Expect(a.Tick(now + c.after)).To(ConsistOf(admit.Decision{ID: x.ID, Reason: c.reason}))
		})
	}
}

// Guards against background calls and transfers that take the slots which
// interactive calls need.
func TestOtherClassesLeaveSlotsFree(t *testing.T) {
	for name, class := range map[string]call.Class{"transfer": call.Transfer, "background": call.Background} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, now := newWarmAdmitter(t)
			for range 4 * slots {
				a.Offer(now, newRequest(class, now+1000))
			}
			x := newRequest(call.Interactive, now+1000)
			g.Expect(a.Offer(now, x)).To(ContainElement(admit.Decision{ID: x.ID, Admit: true}))
		})
	}
}

// Guards against interactive calls that are refused while background calls are
// queued.
func TestBackgroundIsShedFirst(t *testing.T) {
	g := NewWithT(t)
	a, now := newWarmAdmitter(t)
	for range 10 * slots {
		a.Offer(now, newRequest(call.Background, now+1000))
	}
	shed := 0
	for range 2 * slots {
		x := newRequest(call.Interactive, now+1000)
		for _, decision := range a.Offer(now, x) {
			g.Expect(decision.ID == x.ID && !decision.Admit).To(BeFalse(), "interactive call refused: %s", decision.Reason)
			if decision.Reason == call.ReasonBackgroundShed {
				shed++
			}
		}
	}
	g.Expect(shed).To(BeNumerically(">", 0))
}

// Guards against a restarted upstream that receives its full load at once.
func TestRestartIsRamped(t *testing.T) {
	cases := map[string][]admit.Result{
		"epoch":       {{Latency: 10, Epoch: 2}},
		"connections": {{Latency: 80, NewConnection: true}, {Latency: 80, NewConnection: true}, {Latency: 80, NewConnection: true}},
	}
	for name, results := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, now := newWarmAdmitter(t)
			before := a.UpstreamState(now).Epoch
			for _, r := range results {
				x := newRequest(call.Interactive, now+1000)
				a.Offer(now, x)
				now += r.Latency
				a.Finish(now, x.ID, r)
			}
			state := a.UpstreamState(now)
			g.Expect(state.Cold).To(BeTrue())
			g.Expect(state.Limit).To(Equal(1))
			g.Expect(state.Epoch).To(Equal(before + 1))
		})
	}
}

// Guards against a sudden slowdown that is reported only after slow calls end.
func TestUpstreamStateShowsSlowCallsInProgress(t *testing.T) {
	g := NewWithT(t)
	a, now := newWarmAdmitter(t)
	for range slots {
		a.Offer(now, newRequest(call.Interactive, now+1000))
	}
	g.Expect(a.UpstreamState(now + 70).Latency).To(BeNumerically(">=", 70))
}

// Guards against event sequences in which the admitter exceeds its limits,
// decides twice on a call, admits one past its deadline or never decides on it.
// The tested packages assert cold_capacity and at_most_once themselves.
func TestInvariantsInRandomEventSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := admit.New(slots)
		now, epoch := clock.Milli(1), uint64(1)
		pending, running := map[call.ID]admit.Request{}, []call.ID{}
		check := func(decisions []admit.Decision) {
			for _, x := range decisions {
				req, ok := pending[x.ID]
				if !ok {
					t.Fatalf("decision %v for a call that is not pending", x)
				}
				delete(pending, x.ID)
				if x.Admit && now >= req.Deadline {
					t.Fatalf("admitted %v ms past the deadline", now-req.Deadline)
				}
				if x.Admit {
					running = append(running, x.ID)
				} else if x.Reason == call.ReasonNone {
					t.Fatalf("refusal without a reason")
				}
			}
			if len(running) > slots {
				t.Fatalf("%d calls in progress", len(running))
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += clock.Milli(rapid.Float64Range(0, 20).Draw(t, "gap"))
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1, 2:
				x := newRequest(call.Class(rapid.IntRange(0, 2).Draw(t, "class")), now+clock.Milli(rapid.Float64Range(-5, 100).Draw(t, "time")))
				pending[x.ID] = x
				check(a.Offer(now, x))
			case 3:
				check(a.Tick(now))
			default:
				if len(running) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				id := running[i]
				running = append(running[:i], running[i+1:]...)
				if rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
					epoch++
				}
				check(a.Finish(now, id, admit.Result{
					Latency: clock.Milli(rapid.Float64Range(0.1, 200).Draw(t, "latency")),
					Failed:  rapid.Bool().Draw(t, "failed"), Epoch: epoch,
				}))
			}
		}
		now += clock.Minute
		check(a.Tick(now))
		if len(pending) > 0 {
			t.Fatalf("%d calls without a decision", len(pending))
		}
	})
}
