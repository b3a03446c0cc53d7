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

func id(n byte) call.ID { return call.ID{n} }

func ticket(n byte, rank int, mayQueue bool) admit.Request {
	return admit.Request{
		ID: id(n), Priority: rank, MayQueue: mayQueue, Route: "r",
		SoftDeadline: start + 600, Deadline: start + 1500,
	}
}

// fill admits calls. From the fifth on, six slots would slow down.
func fill(l *queue.Dispatcher, n int) {
	for i := range n {
		l.Offer(start, ticket(byte(100+i), 0, true))
	}
}

// Guards against a call that is started, or waits, where another target would
// answer it sooner.
func TestOffer(t *testing.T) {
	tests := map[string]struct {
		before   func(l *queue.Dispatcher)
		mayQueue bool
		want     call.Reason
		admit    bool
		queued   int
	}{
		"idle":               {func(*queue.Dispatcher) {}, false, call.ReasonNone, true, 0},
		"almost full":        {func(l *queue.Dispatcher) { fill(l, 4) }, false, call.ReasonBusy, false, 0},
		"almost full, last":  {func(l *queue.Dispatcher) { fill(l, 4) }, true, call.ReasonNone, false, 1},
		"slow VM":            {func(l *queue.Dispatcher) { l.ObserveLoad(start, call.LoadReport{Slowdown: 4}) }, false, call.ReasonSlowVM, false, 0},
		"slow VM, last":      {func(l *queue.Dispatcher) { l.ObserveLoad(start, call.LoadReport{Slowdown: 4}) }, true, call.ReasonNone, false, 1},
		"slow VM, old news":  {func(l *queue.Dispatcher) { l.ObserveLoad(start-clock.Second, call.LoadReport{Slowdown: 4}) }, false, call.ReasonNone, true, 0},
		"leaving":            {func(l *queue.Dispatcher) { l.Drain() }, true, call.ReasonLeaving, false, 0},
		"cold, within rate":  {func(l *queue.Dispatcher) { l.LimitColdRate(start, start+3000, 5) }, false, call.ReasonNone, true, 0},
		"cold, rate is used": {func(l *queue.Dispatcher) { l.LimitColdRate(start, start+3000, 5); fill(l, 2) }, false, call.ReasonCold, false, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := queue.New(6)
			tt.before(l)
			actions := l.Offer(start, ticket(1, 1, tt.mayQueue))
			if tt.queued > 0 {
				g.Expect(actions).To(BeEmpty())
			} else {
				g.Expect(actions).To(HaveExactElements(admit.Decision{ID: id(1), Admit: tt.admit, Reason: tt.want}))
			}
			g.Expect(l.UpstreamState(start).Queued).To(Equal(tt.queued))
		})
	}
}

// Guards against a call of a lower rank that is served before one of a higher
// rank.
func TestRank(t *testing.T) {
	g := NewWithT(t)
	l := queue.New(3)
	fill(l, 2)
	g.Expect(l.Offer(start, ticket(1, 2, true))).To(BeEmpty())
	g.Expect(l.Offer(start, ticket(2, 1, true))).To(BeEmpty())
	g.Expect(l.Finish(start+100, id(100), admit.Result{Latency: 100})).To(HaveExactElements(admit.Decision{ID: id(2), Admit: true}))
	g.Expect(l.Finish(start+110, id(101), admit.Result{Latency: 110})).To(HaveExactElements(admit.Decision{ID: id(1), Admit: true}))
}

// Guards against a cold upstream that gets more in a second than it bears, and
// against one that is held back once it is warm.
func TestColdRate(t *testing.T) {
	g := NewWithT(t)
	const rate = 5.7
	l := queue.New(100)
	l.LimitColdRate(start, start+3*clock.Second, rate)
	admitted := 0
	for ms := clock.Milli(0); ms < clock.Second; ms += 10 {
		for _, a := range l.Offer(start+ms, admit.Request{ID: call.ID{byte(ms / 10), 1}, Deadline: start + 10000}) {
			if a.Admit {
				admitted++
			}
		}
	}
	g.Expect(admitted).To(BeNumerically("<=", rate*1.5+5))
	g.Expect(admitted).To(BeNumerically(">=", rate-1))
	l.LimitColdRate(start+1000, 0, rate)
	g.Expect(l.Offer(start+1000, ticket(1, 0, false))).To(HaveExactElements(admit.Decision{ID: id(1), Admit: true}))
}

// Guards against a call that waits until its deadline for an upstream that
// can't start it in time.
func TestHopelessCallIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	l := queue.New(1)
	for range 50 {
		l.Offer(start, ticket(100, 0, true))
		l.Finish(start, id(100), admit.Result{Latency: 400})
	}
	fill(l, 1)
	g.Expect(l.Offer(start, ticket(1, 0, true))).To(BeEmpty())
	actions := l.Offer(start, ticket(2, 0, true))
	g.Expect(actions).To(HaveExactElements(admit.Decision{ID: id(2), Reason: call.ReasonQueueFull}))
}

// Guards against calls that wait for a faster VM for ever: they start late
// where that still helps, and are refused where it does not.
func TestWaitForFasterVM(t *testing.T) {
	g := NewWithT(t)
	l := queue.New(6)
	l.ObserveLoad(start, call.LoadReport{Slowdown: 4})
	g.Expect(l.Offer(start, ticket(1, 0, true))).To(BeEmpty())
	l.ObserveLoad(start+100, call.LoadReport{Slowdown: 1})
	g.Expect(l.Tick(start + 100)).To(HaveExactElements(admit.Decision{ID: id(1), Admit: true}))

	l.ObserveLoad(start+200, call.LoadReport{Slowdown: 4})
	g.Expect(l.Offer(start+200, ticket(2, 0, true))).To(BeEmpty())
	l.ObserveLoad(start+600, call.LoadReport{Slowdown: 4})
	late := l.Tick(start + 600)
	g.Expect(late).To(HaveExactElements(admit.Decision{ID: id(2), Admit: true}))
}

// Guards against a short call that waits, and fails the call that needs it,
// where a slow VM would answer it in time.
func TestShortCallStartsOnSlowVM(t *testing.T) {
	g := NewWithT(t)
	l := queue.New(6)
	for range 20 {
		l.Offer(start, ticket(100, 0, true))
		l.Finish(start, id(100), admit.Result{Latency: 50})
	}
	l.ObserveLoad(start, call.LoadReport{Slowdown: 4})
	g.Expect(l.Offer(start, ticket(1, 0, false))).To(HaveExactElements(admit.Decision{ID: id(1), Reason: call.ReasonSlowVM}))
	g.Expect(l.Offer(start, ticket(2, 0, true))).To(HaveExactElements(admit.Decision{ID: id(2), Admit: true}))
}

// Guards against evidence on a version that counts what never ran.
func TestTallies(t *testing.T) {
	g := NewWithT(t)
	l := queue.New(6)
	results := []admit.Result{
		{Latency: 100}, {Latency: 200}, {Failed: true}, {NotRun: true}, {Cancelled: true},
	}
	for i, r := range results {
		l.Offer(start, ticket(byte(i), 0, true))
		l.Finish(start+10, id(byte(i)), r)
	}
	g.Expect(l.RouteStats()).To(HaveExactElements(call.RouteStats{Route: "r", Calls: 3, Failed: 1, TotalServiceTime: 300}))
	l.Reset(6)
	g.Expect(l.RouteStats()).To(BeEmpty())
}
