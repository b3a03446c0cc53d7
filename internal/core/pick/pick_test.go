package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
)

func newTargets(n int) []call.Target {
	list := make([]call.Target, n)
	for i := range list {
		list[i] = call.Target{ID: fmt.Sprintf("t%d", i), Incarnation: 1, Centre: fmt.Sprintf("c%d", i%3), Slots: 6}
	}
	return list
}

func newState(id string, load int) call.UpstreamState {
	return call.UpstreamState{Target: id, Incarnation: 1, InProgress: min(load, 6), Queued: max(0, load-6), Limit: 6, Slots: 6, Latency: 10}
}

func choiceCounts(p *pick.Picker, now clock.Milli, n int) map[string]int {
	counts := map[string]int{}
	for range n {
		counts[p.Choose(now, pick.Query{Request: &call.Request{}, Centre: "c0"}).Target.ID]++
	}
	return counts
}

// Guards against sending calls to remote data centres too early, or too late while
// the local one is busy. Targets 0 and 3 are local.
func TestLocality(t *testing.T) {
	cases := map[string]struct {
		localLoad, remoteLoad int
		minLocal, maxLocal    float64
	}{
		"idle":                             {0, 0, 0.99, 1},
		"some in progress":                 {4, 0, 0.99, 1},
		"queueing exceeds network latency": {9, 0, 0, 0.01},
		"everything queues":                {9, 9, 0.99, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := pick.New(rand.New(rand.NewPCG(1, 1)))
			p.SetTargets(0, newTargets(6))
			for i := range 6 {
				load := c.remoteLoad
				if i%3 == 0 {
					load = c.localLoad
				}
				p.Observe(100, newState(fmt.Sprintf("t%d", i), load))
			}
			counts := choiceCounts(p, 100, 1000)
			g.Expect(float64(counts["t0"]+counts["t3"]) / 1000).To(And(BeNumerically(">=", c.minLocal), BeNumerically("<=", c.maxLocal)))
		})
	}
}

// Guards against preferring a target that fails immediately and therefore appears
// idle. It must lose its calls, be ejected, and regain calls gradually once it works.
func TestFailingTargetLosesItsCalls(t *testing.T) {
	g := NewWithT(t)
	p := pick.New(rand.New(rand.NewPCG(1, 1)))
	p.SetTargets(0, newTargets(9))
	now := clock.Milli(0)
	sendCalls := func(broken bool, n int) int {
		calls := 0
		for range n {
			now += 2
			c := p.Choose(now, pick.Query{Request: &call.Request{}, Centre: "c0"})
			p.RecordStart(now, c.Target.ID)
			r := call.Result{Outcome: call.OutcomeAnswered, Latency: 10}
			if c.Target.ID == "t0" {
				calls++
				if broken {
					r.Failed, r.Latency = true, 0.2
				}
			}
			state := newState(c.Target.ID, 1)
			r.State = &state
			p.RecordResult(now, c.Target.ID, r)
		}
		return calls
	}
	g.Expect(sendCalls(false, 1000)).To(BeNumerically("~", 333, 100))
	g.Expect(sendCalls(true, 1000)).To(BeNumerically("<", 20))
	g.Expect(sendCalls(false, 5000)).To(BeNumerically(">", 500))
}

// Guards against trusting false reports: a target that reports to be idle and
// answers late must not attract all calls.
func TestFalseReportsLoseTrust(t *testing.T) {
	g := NewWithT(t)
	p := pick.New(rand.New(rand.NewPCG(1, 1)))
	p.SetTargets(0, newTargets(9))
	now, falseReporterCalls := clock.Milli(0), 0
	for i := range 3000 {
		now += 2
		c := p.Choose(now, pick.Query{Request: &call.Request{}, Centre: "c0"})
		p.RecordStart(now, c.Target.ID)
		state := newState(c.Target.ID, 4)
		r := call.Result{Outcome: call.OutcomeAnswered, Latency: 12, State: &state}
		if c.Target.ID == "t0" {
			state.InProgress, state.Latency, r.Latency = 0, 1, 60
			if i >= 1000 {
				falseReporterCalls++
			}
		}
		p.RecordResult(now, c.Target.ID, r)
	}
	g.Expect(falseReporterCalls).To(BeNumerically("<", 200))
}

// Guards against choosing a target that must not be used, and against choosing none
// where one may be used, after any sequence of events.
func TestChoicesAreUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		list := newTargets(n)
		for i := range list {
			list[i].Leaving = rapid.Bool().Draw(t, "leaving") && i%2 == 0
		}
		p := pick.New(rand.New(rand.NewPCG(1, 1)))
		p.SetTargets(0, list)
		now := clock.Milli(1)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += clock.Milli(rapid.Float64Range(0, 500).Draw(t, "gap"))
			id := list[rapid.IntRange(0, n-1).Draw(t, "target")].ID
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				p.Observe(now, newState(id, rapid.IntRange(0, 20).Draw(t, "load")))
			case 1:
				p.RecordStart(now, id)
			default:
				p.RecordResult(now, id, call.Result{Outcome: call.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")), Latency: 5})
			}
		}
		tried := list[rapid.IntRange(0, n-1).Draw(t, "tried")].ID
		disallowed := rapid.IntRange(0, n).Draw(t, "disallowed")
		q := pick.Query{Request: &call.Request{}, Centre: "c0", Tried: []string{tried}, Allow: func(x *call.Target) bool {
			return x.ID != fmt.Sprintf("t%d", disallowed)
		}}
		usable := 0
		for i := range list {
			if !list[i].Leaving && list[i].ID != tried && i != disallowed {
				usable++
			}
		}
		c := p.Choose(now, q)
		if (c.Target != nil) != (usable > 0) {
			t.Fatalf("choice %v with %d usable targets", c, usable)
		}
		if c.Target != nil && (c.Target.Leaving || c.Target.ID == tried || !q.Allow(c.Target)) {
			t.Fatalf("chose %v", c.Target)
		}
	})
}

// Guards against heap allocations in Choose, which is on the path of every call.
func TestChooseDoesNotAllocate(t *testing.T) {
	p, q := newLoadedPicker()
	NewWithT(t).Expect(testing.AllocsPerRun(1000, func() { p.Choose(1000, q) })).To(BeZero())
}

func BenchmarkChoose200(b *testing.B) {
	p, q := newLoadedPicker()
	b.ReportAllocs()
	for b.Loop() {
		p.Choose(1000, q)
	}
}

func newLoadedPicker() (*pick.Picker, pick.Query) {
	p := pick.New(rand.New(rand.NewPCG(1, 1)))
	list := newTargets(200)
	p.SetTargets(0, list)
	for i := range list {
		p.Observe(990, newState(list[i].ID, i%9))
	}
	return p, pick.Query{Request: &call.Request{}, Centre: "c0"}
}
