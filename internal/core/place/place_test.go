package place_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/place"
)

const now = 1000 * clock.Second

func newTarget(id, centre string) call.Target {
	return call.Target{ID: id, Incarnation: 1, Service: "s", Centre: centre, Slots: 6}
}

func newState(id string, inProgress int, slowdown float64) call.UpstreamState {
	return call.UpstreamState{Target: id, Incarnation: 1, InProgress: inProgress, Limit: 6, Slots: 6, Slowdown: slowdown, ReceivedAt: now}
}

// chosenFraction returns the fraction of 200 choices that select a target.
func chosenFraction(p *place.Picker, class call.Class, id string, tried ...string) float64 {
	chosen := 0
	for range 200 {
		c := p.Choose(now, pick.Query{Request: &call.Request{Class: class}, Centre: "c1", Tried: tried})
		if c.Target != nil && c.Target.ID == id {
			chosen++
		}
	}
	return float64(chosen) / 200
}

// Guards against choosing an upstream that is slow, full, failing, or remote
// without need.
func TestChoose(t *testing.T) {
	tests := map[string]struct {
		setup        func(p *place.Picker)
		class        call.Class
		tried        []string
		minFractions map[string]float64
		maxFractions map[string]float64
	}{
		"near":       {func(*place.Picker) {}, call.Interactive, nil, map[string]float64{"near": 0.6}, nil},
		"large body": {func(*place.Picker) {}, call.Transfer, nil, map[string]float64{"near": 1}, nil},
		"slow VM": {func(p *place.Picker) {
			p.Observe(now, newState("near", 1, 4))
			p.Observe(now, newState("far", 1, 1))
		}, call.Interactive, nil, map[string]float64{"far": 1}, nil},
		"full": {func(p *place.Picker) {
			p.Observe(now, newState("near", 6, 1))
			p.Observe(now, newState("far", 1, 1))
		}, call.Interactive, nil, map[string]float64{"far": 1}, nil},
		"rate limit used up": {func(p *place.Picker) {
			state := newState("near", 0, 1)
			state.AdmitDelay, state.CallInterval = 400, 500
			p.Observe(now, state)
		}, call.Interactive, nil, map[string]float64{"far": 1}, nil},
		"rate limit used up by this entry": {func(p *place.Picker) {
			state := newState("near", 0, 1)
			state.CallInterval = 500
			p.Observe(now, state)
			p.RecordStart(now, "near")
		}, call.Interactive, nil, map[string]float64{"far": 1}, nil},
		"fails": {func(p *place.Picker) {
			for range 4 {
				p.RecordStart(now, "near")
				p.RecordResult(now, "near", call.Result{Outcome: call.OutcomeUnknown, Failed: true})
			}
		}, call.Interactive, nil, nil, map[string]float64{"near": 0}},
		"tried": {func(*place.Picker) {}, call.Interactive, []string{"near"}, map[string]float64{"far": 1}, nil},
		"leaving": {func(p *place.Picker) {
			state := newState("near", 0, 1)
			state.Leaving = true
			p.Observe(now, state)
		}, call.Interactive, nil, map[string]float64{"far": 1}, nil},
		"state of another incarnation": {func(p *place.Picker) {
			state := newState("near", 0, 1)
			state.Incarnation, state.Leaving = 7, true
			p.Observe(now, state)
		}, call.Transfer, nil, map[string]float64{"near": 1}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := place.New(rand.New(rand.NewPCG(1, 2)))
			p.SetTargets(now, []call.Target{newTarget("near", "c1"), newTarget("far", "c2")})
			tt.setup(p)
			for id, minFraction := range tt.minFractions {
				g.Expect(chosenFraction(p, tt.class, id, tt.tried...)).To(BeNumerically(">=", minFraction), id)
			}
			for id, maxFraction := range tt.maxFractions {
				g.Expect(chosenFraction(p, tt.class, id, tt.tried...)).To(BeNumerically("<=", maxFraction), id)
			}
		})
	}
}

// Guards against never trying a target again after failures.
func TestFailureRateDecays(t *testing.T) {
	g := NewWithT(t)
	p := place.New(rand.New(rand.NewPCG(1, 2)))
	p.SetTargets(now, []call.Target{newTarget("near", "c1"), newTarget("far", "c2")})
	for range 4 {
		p.RecordResult(now, "near", call.Result{Outcome: call.OutcomeUnknown, Failed: true})
	}
	c := p.Choose(now+20*clock.Second, pick.Query{Request: &call.Request{Class: call.Transfer}, Centre: "c1"})
	g.Expect(c.Target.ID).To(Equal("near"))
}

// Guards against a target whose calls all fail at their deadline and that keeps getting them,
// because its calls were fast before and the last reports of the others were from a busy
// moment.
func TestFailingTargetIsAvoidedThoughOthersWereSlow(t *testing.T) {
	tests := map[string]clock.Milli{"slow": 20, "very slow": clock.Second}
	for name, latency := range tests {
		t.Run(name, func(t *testing.T) { checkFailingTargetIsAvoided(t, latency) })
	}
}

// checkFailingTargetIsAvoided checks that a target whose calls fail is abandoned although the
// last report of the other one had a service time of the given length.
func checkFailingTargetIsAvoided(t *testing.T, otherLatency clock.Milli) {
	t.Helper()
	g := NewWithT(t)
	p := place.New(rand.New(rand.NewPCG(1, 2)))
	p.SetTargets(now, []call.Target{newTarget("failing", "c1"), newTarget("other", "c1")})
	report := func(at clock.Milli, id string, latency clock.Milli, failed bool) {
		state := newState(id, 0, 1)
		state.Latency, state.ReceivedAt = latency, at
		p.RecordStart(at, id)
		p.RecordResult(at, id, call.Result{Outcome: call.OutcomeAnswered, Latency: latency, Failed: failed, State: &state})
	}
	report(now, "other", otherLatency, false)
	for range 100 {
		report(now, "failing", 2, false)
	}
	at := now
	fails := 0
	for ; fails < 40; fails++ {
		if p.Choose(at, pick.Query{Request: &call.Request{}, Centre: "c1"}).Target.ID != "failing" {
			break
		}
		at += 1500
		report(at, "failing", 2, true)
	}
	g.Expect(fails).To(BeNumerically("<=", 3))
}

// Guards against sending all calls to one of several equal targets.
func TestSpread(t *testing.T) {
	g := NewWithT(t)
	p := place.New(rand.New(rand.NewPCG(1, 2)))
	var targets []call.Target
	for _, id := range []string{"a", "b", "c", "d"} {
		targets = append(targets, newTarget(id, "c1"))
	}
	p.SetTargets(now, targets)
	for _, x := range targets {
		g.Expect(chosenFraction(p, call.Interactive, x.ID)).To(BeNumerically("~", 0.25, 0.12))
	}
}
