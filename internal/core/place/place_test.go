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

func target(id, centre string) call.Target {
	return call.Target{ID: id, Incarnation: 1, Service: "s", Centre: centre, Slots: 6}
}

func view(id string, running int, pace float64) call.UpstreamState {
	return call.UpstreamState{Target: id, Incarnation: 1, InProgress: running, Limit: 6, Slots: 6, Slowdown: pace, ReceivedAt: now}
}

// share returns the part of 200 choices that a target got.
func share(p *place.Picker, class call.Class, id string, tried ...string) float64 {
	got := 0
	for range 200 {
		c := p.Choose(now, pick.Query{Request: &call.Request{Class: class}, Centre: "c1", Tried: tried})
		if c.Target != nil && c.Target.ID == id {
			got++
		}
	}
	return float64(got) / 200
}

// Guards against calls that go to an upstream that is slow, full, failing or
// needlessly far away.
func TestChoose(t *testing.T) {
	tests := map[string]struct {
		before func(p *place.Picker)
		class  call.Class
		tried  []string
		least  map[string]float64
		most   map[string]float64
	}{
		"near":       {func(*place.Picker) {}, call.Interactive, nil, map[string]float64{"near": 0.6}, nil},
		"large body": {func(*place.Picker) {}, call.Transfer, nil, map[string]float64{"near": 1}, nil},
		"slow VM": {func(p *place.Picker) {
			p.Observe(now, view("near", 1, 4))
			p.Observe(now, view("far", 1, 1))
		}, call.Interactive, nil, map[string]float64{"far": 1}, nil},
		"full": {func(p *place.Picker) {
			p.Observe(now, view("near", 6, 1))
			p.Observe(now, view("far", 1, 1))
		}, call.Interactive, nil, map[string]float64{"far": 1}, nil},
		"fails": {func(p *place.Picker) {
			for range 4 {
				p.RecordStart(now, "near")
				p.RecordResult(now, "near", call.Result{Outcome: call.OutcomeUnknown, Failed: true})
			}
		}, call.Interactive, nil, nil, map[string]float64{"near": 0}},
		"tried": {func(*place.Picker) {}, call.Interactive, []string{"near"}, map[string]float64{"far": 1}, nil},
		"leaving": {func(p *place.Picker) {
			v := view("near", 0, 1)
			v.Leaving = true
			p.Observe(now, v)
		}, call.Interactive, nil, map[string]float64{"far": 1}, nil},
		"view of an earlier daemon": {func(p *place.Picker) {
			v := view("near", 0, 1)
			v.Incarnation, v.Leaving = 7, true
			p.Observe(now, v)
		}, call.Transfer, nil, map[string]float64{"near": 1}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := place.New(rand.New(rand.NewPCG(1, 2)))
			p.SetTargets(now, []call.Target{target("near", "c1"), target("far", "c2")})
			tt.before(p)
			for id, least := range tt.least {
				g.Expect(share(p, tt.class, id, tt.tried...)).To(BeNumerically(">=", least), id)
			}
			for id, most := range tt.most {
				g.Expect(share(p, tt.class, id, tt.tried...)).To(BeNumerically("<=", most), id)
			}
		})
	}
}

// Guards against a target that failed and is never tried again.
func TestFailuresFade(t *testing.T) {
	g := NewWithT(t)
	p := place.New(rand.New(rand.NewPCG(1, 2)))
	p.SetTargets(now, []call.Target{target("near", "c1"), target("far", "c2")})
	for range 4 {
		p.RecordResult(now, "near", call.Result{Outcome: call.OutcomeUnknown, Failed: true})
	}
	c := p.Choose(now+20*clock.Second, pick.Query{Request: &call.Request{Class: call.Transfer}, Centre: "c1"})
	g.Expect(c.Target.ID).To(Equal("near"))
}

// Guards against all entries following the same view to the same target.
func TestSpread(t *testing.T) {
	g := NewWithT(t)
	p := place.New(rand.New(rand.NewPCG(1, 2)))
	var targets []call.Target
	for _, id := range []string{"a", "b", "c", "d"} {
		targets = append(targets, target(id, "c1"))
	}
	p.SetTargets(now, targets)
	for _, x := range targets {
		g.Expect(share(p, call.Interactive, x.ID)).To(BeNumerically("~", 0.25, 0.12))
	}
}
