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

func targets(n int) []call.Target {
	list := make([]call.Target, n)
	for i := range list {
		list[i] = call.Target{ID: fmt.Sprintf("t%d", i), Incarnation: 1, Centre: fmt.Sprintf("c%d", i%3), Slots: 6}
	}
	return list
}

func view(id string, load int) call.UpstreamState {
	return call.UpstreamState{Target: id, Incarnation: 1, InProgress: min(load, 6), Queued: max(0, load-6), Limit: 6, Slots: 6, Latency: 10}
}

func shares(p *pick.Picker, now clock.Milli, n int) map[string]int {
	got := map[string]int{}
	for range n {
		got[p.Choose(now, pick.Query{Request: &call.Request{}, Centre: "c0"}).Target.ID]++
	}
	return got
}

// Guards against a picker that leaves the own data centre too early, or too
// late when it is busy. Targets 0 and 3 are in it.
func TestLocality(t *testing.T) {
	cases := map[string]struct {
		load, remote int
		low, high    float64
	}{
		"idle":                {0, 0, 0.99, 1},
		"some in progress":    {4, 0, 0.99, 1},
		"queue beats network": {9, 0, 0, 0.01},
		"everything queues":   {9, 9, 0.99, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := pick.New(rand.New(rand.NewPCG(1, 1)))
			p.SetTargets(0, targets(6))
			for i := range 6 {
				load := c.remote
				if i%3 == 0 {
					load = c.load
				}
				p.Observe(100, view(fmt.Sprintf("t%d", i), load))
			}
			got := shares(p, 100, 1000)
			g.Expect(float64(got["t0"]+got["t3"]) / 1000).To(And(BeNumerically(">=", c.low), BeNumerically("<=", c.high)))
		})
	}
}

// Guards against a target that fails at once and so looks idle: it must lose
// its calls, be ejected, and come back by degrees once it works.
func TestFailingTargetLosesItsCalls(t *testing.T) {
	g := NewWithT(t)
	p := pick.New(rand.New(rand.NewPCG(1, 1)))
	p.SetTargets(0, targets(9))
	now := clock.Milli(0)
	run := func(broken bool, n int) int {
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
			v := view(c.Target.ID, 1)
			r.State = &v
			p.RecordResult(now, c.Target.ID, r)
		}
		return calls
	}
	g.Expect(run(false, 1000)).To(BeNumerically("~", 333, 100))
	g.Expect(run(true, 1000)).To(BeNumerically("<", 20))
	g.Expect(run(false, 5000)).To(BeNumerically(">", 500))
}

// Guards against following reports that are false: targets that report to be
// idle and answer late must not attract all calls.
func TestFalseReportsLoseTrust(t *testing.T) {
	g := NewWithT(t)
	p := pick.New(rand.New(rand.NewPCG(1, 1)))
	p.SetTargets(0, targets(9))
	now, liar := clock.Milli(0), 0
	for i := range 3000 {
		now += 2
		c := p.Choose(now, pick.Query{Request: &call.Request{}, Centre: "c0"})
		p.RecordStart(now, c.Target.ID)
		v := view(c.Target.ID, 4)
		r := call.Result{Outcome: call.OutcomeAnswered, Latency: 12, State: &v}
		if c.Target.ID == "t0" {
			v.InProgress, v.Latency, r.Latency = 0, 1, 60
			if i >= 1000 {
				liar++
			}
		}
		p.RecordResult(now, c.Target.ID, r)
	}
	g.Expect(liar).To(BeNumerically("<", 200))
}

// Guards against choosing a target that must not be used, whatever events
// came before, and against missing one that may be.
func TestChoicesAreUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		list := targets(n)
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
				p.Observe(now, view(id, rapid.IntRange(0, 20).Draw(t, "load")))
			case 1:
				p.RecordStart(now, id)
			default:
				p.RecordResult(now, id, call.Result{Outcome: call.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")), Latency: 5})
			}
		}
		tried := list[rapid.IntRange(0, n-1).Draw(t, "tried")].ID
		barred := rapid.IntRange(0, n).Draw(t, "barred")
		q := pick.Query{Request: &call.Request{}, Centre: "c0", Tried: []string{tried}, Allow: func(x *call.Target) bool {
			return x.ID != fmt.Sprintf("t%d", barred)
		}}
		usable := 0
		for i := range list {
			if !list[i].Leaving && list[i].ID != tried && i != barred {
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

// Guards against choices that allocate; with the benchmark it holds the cost
// of a choice.
func TestChooseDoesNotAllocate(t *testing.T) {
	p, q := loaded()
	NewWithT(t).Expect(testing.AllocsPerRun(1000, func() { p.Choose(1000, q) })).To(BeZero())
}

func BenchmarkChoose200(b *testing.B) {
	p, q := loaded()
	b.ReportAllocs()
	for b.Loop() {
		p.Choose(1000, q)
	}
}

func loaded() (*pick.Picker, pick.Query) {
	p := pick.New(rand.New(rand.NewPCG(1, 1)))
	list := targets(200)
	p.SetTargets(0, list)
	for i := range list {
		p.Observe(990, view(list[i].ID, i%9))
	}
	return p, pick.Query{Request: &call.Request{}, Centre: "c0"}
}
