package lane_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/lane"
)

const start = 1000 * clock.Second

func id(n byte) call.ID { return call.ID{n} }

func ticket(n byte, rank int, mayQueue bool) admit.Ticket {
	return admit.Ticket{
		ID: id(n), Rank: rank, MayQueue: mayQueue, Route: "r",
		Aim: start + 600, Deadline: start + 1500,
	}
}

// fill admits calls. From the fifth on, six slots would slow down.
func fill(l *lane.Lane, n int) {
	for i := range n {
		l.Offer(start, ticket(byte(100+i), 0, true))
	}
}

// Guards against a call that is started, or waits, where another target would
// answer it sooner.
func TestOffer(t *testing.T) {
	tests := map[string]struct {
		before   func(l *lane.Lane)
		mayQueue bool
		want     call.Reason
		admit    bool
		queued   int
	}{
		"idle":               {func(*lane.Lane) {}, false, call.ReasonNone, true, 0},
		"almost full":        {func(l *lane.Lane) { fill(l, 4) }, false, call.ReasonBusy, false, 0},
		"almost full, last":  {func(l *lane.Lane) { fill(l, 4) }, true, call.ReasonNone, false, 1},
		"slow VM":            {func(l *lane.Lane) { l.Report(start, call.Load{Pace: 4}) }, false, call.ReasonSlowVM, false, 0},
		"slow VM, last":      {func(l *lane.Lane) { l.Report(start, call.Load{Pace: 4}) }, true, call.ReasonNone, false, 1},
		"slow VM, old news":  {func(l *lane.Lane) { l.Report(start-clock.Second, call.Load{Pace: 4}) }, false, call.ReasonNone, true, 0},
		"leaving":            {func(l *lane.Lane) { l.Leave() }, true, call.ReasonLeaving, false, 0},
		"cold, within rate":  {func(l *lane.Lane) { l.Cold(start, start+3000, 5) }, false, call.ReasonNone, true, 0},
		"cold, rate is used": {func(l *lane.Lane) { l.Cold(start, start+3000, 5); fill(l, 2) }, false, call.ReasonCold, false, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := lane.New(6)
			tt.before(l)
			actions := l.Offer(start, ticket(1, 1, tt.mayQueue))
			if tt.queued > 0 {
				g.Expect(actions).To(BeEmpty())
			} else {
				g.Expect(actions).To(HaveExactElements(admit.Action{ID: id(1), Admit: tt.admit, Reason: tt.want}))
			}
			g.Expect(l.View(start).Queued).To(Equal(tt.queued))
		})
	}
}

// Guards against a call of a lower rank that is served before one of a higher
// rank.
func TestRank(t *testing.T) {
	g := NewWithT(t)
	l := lane.New(3)
	fill(l, 2)
	g.Expect(l.Offer(start, ticket(1, 2, true))).To(BeEmpty())
	g.Expect(l.Offer(start, ticket(2, 1, true))).To(BeEmpty())
	g.Expect(l.Done(start+100, id(100), admit.Result{Latency: 100})).To(HaveExactElements(admit.Action{ID: id(2), Admit: true}))
	g.Expect(l.Done(start+110, id(101), admit.Result{Latency: 110})).To(HaveExactElements(admit.Action{ID: id(1), Admit: true}))
}

// Guards against a cold upstream that gets more in a second than it bears, and
// against one that is held back once it is warm.
func TestColdRate(t *testing.T) {
	g := NewWithT(t)
	const rate = 5.7
	l := lane.New(100)
	l.Cold(start, start+3*clock.Second, rate)
	admitted := 0
	for ms := clock.Milli(0); ms < clock.Second; ms += 10 {
		for _, a := range l.Offer(start+ms, admit.Ticket{ID: call.ID{byte(ms / 10), 1}, Deadline: start + 10000}) {
			if a.Admit {
				admitted++
			}
		}
	}
	g.Expect(admitted).To(BeNumerically("<=", rate*1.5+5))
	g.Expect(admitted).To(BeNumerically(">=", rate-1))
	l.Cold(start+1000, 0, rate)
	g.Expect(l.Offer(start+1000, ticket(1, 0, false))).To(HaveExactElements(admit.Action{ID: id(1), Admit: true}))
}

// Guards against a call that waits until its deadline for an upstream that
// can't start it in time.
func TestHopelessCallIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	l := lane.New(1)
	for range 50 {
		l.Offer(start, ticket(100, 0, true))
		l.Done(start, id(100), admit.Result{Latency: 400})
	}
	fill(l, 1)
	g.Expect(l.Offer(start, ticket(1, 0, true))).To(BeEmpty())
	actions := l.Offer(start, ticket(2, 0, true))
	g.Expect(actions).To(HaveExactElements(admit.Action{ID: id(2), Reason: call.ReasonQueueFull}))
}

// Guards against calls that wait for a faster VM for ever: they start late
// where that still helps, and are refused where it does not.
func TestWaitForFasterVM(t *testing.T) {
	g := NewWithT(t)
	l := lane.New(6)
	l.Report(start, call.Load{Pace: 4})
	g.Expect(l.Offer(start, ticket(1, 0, true))).To(BeEmpty())
	l.Report(start+100, call.Load{Pace: 1})
	g.Expect(l.Tick(start + 100)).To(HaveExactElements(admit.Action{ID: id(1), Admit: true}))

	l.Report(start+200, call.Load{Pace: 4})
	g.Expect(l.Offer(start+200, ticket(2, 0, true))).To(BeEmpty())
	l.Report(start+600, call.Load{Pace: 4})
	late := l.Tick(start + 600)
	g.Expect(late).To(HaveExactElements(admit.Action{ID: id(2), Admit: true}))
}

// Guards against a short call that waits, and fails the call that needs it,
// where a slow VM would answer it in time.
func TestShortCallStartsOnSlowVM(t *testing.T) {
	g := NewWithT(t)
	l := lane.New(6)
	for range 20 {
		l.Offer(start, ticket(100, 0, true))
		l.Done(start, id(100), admit.Result{Latency: 50})
	}
	l.Report(start, call.Load{Pace: 4})
	g.Expect(l.Offer(start, ticket(1, 0, false))).To(HaveExactElements(admit.Action{ID: id(1), Reason: call.ReasonSlowVM}))
	g.Expect(l.Offer(start, ticket(2, 0, true))).To(HaveExactElements(admit.Action{ID: id(2), Admit: true}))
}

// Guards against evidence on a version that counts what never ran.
func TestTallies(t *testing.T) {
	g := NewWithT(t)
	l := lane.New(6)
	results := []admit.Result{
		{Latency: 100}, {Latency: 200}, {Failed: true}, {NotRun: true}, {Cancelled: true},
	}
	for i, r := range results {
		l.Offer(start, ticket(byte(i), 0, true))
		l.Done(start+10, id(byte(i)), r)
	}
	g.Expect(l.Tallies()).To(HaveExactElements(call.Tally{Route: "r", Calls: 3, Failed: 1, Spent: 300}))
	l.Restart(6)
	g.Expect(l.Tallies()).To(BeEmpty())
}
