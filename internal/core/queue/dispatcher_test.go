package queue_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/queue"
)

const start = 1000 * clock.Second

func callID(n byte) call.ID { return call.ID{n} }

func newRequest(n byte, priority int, mayQueue bool) admit.Request {
	return admit.Request{
		ID: callID(n), Priority: priority, MayQueue: mayQueue, Route: "r",
		SoftDeadline: start + 600, Deadline: start + 1500,
	}
}

// offerCalls offers n calls. An upstream with six slots runs four at the same time, as
// it would slow down from the fifth on.
func offerCalls(d *queue.Dispatcher, n int) {
	for i := range n {
		d.Offer(start, newRequest(byte(100+i), 0, true))
	}
}

// Guards against starting or queueing a call that another target would answer sooner.
func TestOffer(t *testing.T) {
	tests := map[string]struct {
		setup    func(d *queue.Dispatcher)
		mayQueue bool
		want     call.Reason
		admit    bool
		queued   int
	}{
		"idle":                   {func(*queue.Dispatcher) {}, false, call.ReasonNone, true, 0},
		"almost full":            {func(d *queue.Dispatcher) { offerCalls(d, 4) }, false, call.ReasonBusy, false, 0},
		"almost full, may queue": {func(d *queue.Dispatcher) { offerCalls(d, 4) }, true, call.ReasonNone, false, 1},
		"slow VM":                {func(d *queue.Dispatcher) { d.ObserveLoad(start, call.LoadReport{Slowdown: 4}) }, false, call.ReasonSlowVM, false, 0},
		"slow VM, may queue":     {func(d *queue.Dispatcher) { d.ObserveLoad(start, call.LoadReport{Slowdown: 4}) }, true, call.ReasonNone, false, 1},
		"slow VM, outdated":      {func(d *queue.Dispatcher) { d.ObserveLoad(start-clock.Second, call.LoadReport{Slowdown: 4}) }, false, call.ReasonNone, true, 0},
		"leaving":                {func(d *queue.Dispatcher) { d.Drain() }, true, call.ReasonLeaving, false, 0},
		"cold, within rate":      {func(d *queue.Dispatcher) { d.LimitColdRate(start, start+3000, 5) }, false, call.ReasonNone, true, 0},
		"cold, rate is used":     {func(d *queue.Dispatcher) { d.LimitColdRate(start, start+3000, 5); offerCalls(d, 2) }, false, call.ReasonCold, false, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := queue.New(6)
			tt.setup(d)
			decisions := d.Offer(start, newRequest(1, 1, tt.mayQueue))
			if tt.queued > 0 {
				g.Expect(decisions).To(BeEmpty())
			} else {
				g.Expect(decisions).To(HaveExactElements(admit.Decision{ID: callID(1), Admit: tt.admit, Reason: tt.want}))
			}
			g.Expect(d.UpstreamState(start).Queued).To(Equal(tt.queued))
		})
	}
}

// Guards against an upstream that gets no calls because its guard states an assumed service
// time, which is longer than what others have measured.
func TestStatesOnlyMeasuredServiceTime(t *testing.T) {
	g := NewWithT(t)
	d := queue.New(6)
	g.Expect(d.UpstreamState(start).Latency).To(BeZero())
	d.Offer(start, newRequest(1, 1, false))
	d.Finish(start+3, callID(1), admit.Result{Latency: 3})
	g.Expect(d.UpstreamState(start).Latency).To(Equal(3 * clock.Millisecond))
}

// Guards against serving a call with a higher Priority value before one with a lower
// value.
func TestServesByPriority(t *testing.T) {
	g := NewWithT(t)
	d := queue.New(3)
	offerCalls(d, 2)
	g.Expect(d.Offer(start, newRequest(1, 2, true))).To(BeEmpty())
	g.Expect(d.Offer(start, newRequest(2, 1, true))).To(BeEmpty())
	g.Expect(d.Finish(start+100, callID(100), admit.Result{Latency: 100})).To(HaveExactElements(admit.Decision{ID: callID(2), Admit: true}))
	g.Expect(d.Finish(start+110, callID(101), admit.Result{Latency: 110})).To(HaveExactElements(admit.Decision{ID: callID(1), Admit: true}))
}

// Guards against sending a cold upstream more calls per second than its cold rate, and
// against limiting it once it is warm.
func TestColdRate(t *testing.T) {
	g := NewWithT(t)
	const rate = 5.7
	d := queue.New(100)
	d.LimitColdRate(start, start+3*clock.Second, rate)
	admitted := 0
	for ms := clock.Milli(0); ms < clock.Second; ms += 10 {
		for _, decision := range d.Offer(start+ms, admit.Request{ID: call.ID{byte(ms / 10), 1}, Deadline: start + 10000}) {
			if decision.Admit {
				admitted++
			}
		}
	}
	g.Expect(admitted).To(BeNumerically("<=", rate*1.5+5))
	g.Expect(admitted).To(BeNumerically(">=", rate-1))
	d.LimitColdRate(start+1000, 0, rate)
	g.Expect(d.Offer(start+1000, newRequest(1, 0, false))).To(HaveExactElements(admit.Decision{ID: callID(1), Admit: true}))
}

// Guards against queueing a call until its deadline for an upstream that can't start
// it in time.
func TestCallThatCannotStartInTimeIsRefused(t *testing.T) {
	g := NewWithT(t)
	d := queue.New(1)
	for range 50 {
		d.Offer(start, newRequest(100, 0, true))
		d.Finish(start, callID(100), admit.Result{Latency: 400})
	}
	offerCalls(d, 1)
	g.Expect(d.Offer(start, newRequest(1, 0, true))).To(BeEmpty())
	decisions := d.Offer(start, newRequest(2, 0, true))
	g.Expect(decisions).To(HaveExactElements(admit.Decision{ID: callID(2), Reason: call.ReasonQueueFull}))
}

// Guards against calls that wait for the VM to become faster until they time out: they
// start when it does, or late on the slow VM if that still meets the deadline, and are
// refused otherwise.
func TestWaitForFasterVM(t *testing.T) {
	g := NewWithT(t)
	d := queue.New(6)
	d.ObserveLoad(start, call.LoadReport{Slowdown: 4})
	g.Expect(d.Offer(start, newRequest(1, 0, true))).To(BeEmpty())
	d.ObserveLoad(start+100, call.LoadReport{Slowdown: 1})
	g.Expect(d.Tick(start + 100)).To(HaveExactElements(admit.Decision{ID: callID(1), Admit: true}))

	d.ObserveLoad(start+200, call.LoadReport{Slowdown: 4})
	g.Expect(d.Offer(start+200, newRequest(2, 0, true))).To(BeEmpty())
	d.ObserveLoad(start+600, call.LoadReport{Slowdown: 4})
	decisions := d.Tick(start + 600)
	g.Expect(decisions).To(HaveExactElements(admit.Decision{ID: callID(2), Admit: true}))
}

// Guards against queueing a short call, and thereby failing the call that depends on
// it, where a slow VM would answer in time.
func TestShortCallStartsOnSlowVM(t *testing.T) {
	g := NewWithT(t)
	d := queue.New(6)
	for range 20 {
		d.Offer(start, newRequest(100, 0, true))
		d.Finish(start, callID(100), admit.Result{Latency: 50})
	}
	d.ObserveLoad(start, call.LoadReport{Slowdown: 4})
	g.Expect(d.Offer(start, newRequest(1, 0, false))).To(HaveExactElements(admit.Decision{ID: callID(1), Reason: call.ReasonSlowVM}))
	g.Expect(d.Offer(start, newRequest(2, 0, true))).To(HaveExactElements(admit.Decision{ID: callID(2), Admit: true}))
}

// Guards against counting calls that never ran, or were cancelled, in the counts by which a
// version is judged, and against losing the times of cancelled and running ones.
func TestRouteStats(t *testing.T) {
	g := NewWithT(t)
	d := queue.New(6)
	results := []admit.Result{
		{Latency: 100}, {Latency: 200}, {Failed: true}, {NotRun: true}, {Latency: 400, Cancelled: true},
	}
	for i, r := range results {
		d.Offer(start, newRequest(byte(i), 0, true))
		d.Finish(start+10, callID(byte(i)), r)
	}
	d.Offer(start+10, newRequest(9, 0, true))
	want := call.RouteStats{Route: "r", Calls: 3, Failed: 1, TotalServiceTime: 300}
	want.Answered.Observe(100)
	want.Answered.Observe(200)
	want.CutOff.Observe(400)
	want.Running.Observe(50)
	g.Expect(d.RouteStats(start + 60)).To(HaveExactElements(want))
	d.Finish(start+60, callID(9), admit.Result{NotRun: true})
	d.Reset(6)
	g.Expect(d.RouteStats(start + 60)).To(BeEmpty())
}
