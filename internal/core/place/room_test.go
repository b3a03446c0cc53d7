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

// zoneLoad plays calls of two data centres with two targets of six slots each, in virtual
// time. Each call takes 100 ms. A target that is full refuses, as a guard does.
type zoneLoad struct {
	pickers    map[string]*place.Picker
	inProgress map[string]int
	ends       map[clock.Milli][]string
	served     map[string]int
	crossed    map[string]int
	// refused counts the attempts that a target of another data centre refused.
	refused map[string]int
}

func newZoneLoad() *zoneLoad {
	z := &zoneLoad{
		pickers: make(map[string]*place.Picker), inProgress: make(map[string]int), ends: make(map[clock.Milli][]string),
		served: make(map[string]int), crossed: make(map[string]int), refused: make(map[string]int),
	}
	for i, centre := range []string{"c1", "c2"} {
		z.pickers[centre] = place.New(rand.New(rand.NewPCG(uint64(i), 1)))
		z.pickers[centre].SetTargets(now, []call.Target{
			newTarget("c1a", "c1"), newTarget("c1b", "c1"), newTarget("c2a", "c2"), newTarget("c2b", "c2"),
		})
	}
	return z
}

// serve sends one call to at most four targets.
func (z *zoneLoad) serve(at clock.Milli, centre string) {
	var tried []string
	for range 4 {
		c := z.pickers[centre].Choose(at, pick.Query{Request: &call.Request{}, Centre: centre, Tried: tried})
		id := c.Target.ID
		tried = append(tried, id)
		state := newState(id, z.inProgress[id], 1)
		state.ReceivedAt = at
		if z.inProgress[id] == state.Limit {
			if c.Target.Centre != centre {
				z.refused[centre]++
			}
			z.pickers[centre].Observe(at, state)
			continue
		}
		z.inProgress[id]++
		z.ends[at+100] = append(z.ends[at+100], id)
		state.InProgress++
		z.pickers[centre].Observe(at, state)
		z.served[centre]++
		if c.Target.Centre != centre {
			z.crossed[centre]++
		}
		return
	}
}

// play offers calls at the given intervals for a time.
func (z *zoneLoad) play(from, length clock.Milli, intervals map[string]int) {
	for at := from; at < from+length; at++ {
		for _, id := range z.ends[at] {
			z.inProgress[id]--
		}
		for _, centre := range []string{"c1", "c2"} {
			if int(at)%intervals[centre] == 0 {
				z.serve(at, centre)
			}
		}
	}
}

// Guards against callers who leave a data centre that has room, against ones who stay where
// there is none while another one has, and against data centres that exchange their callers.
// A data centre can serve a call each 8.3 ms.
func TestUnevenDemand(t *testing.T) {
	tests := map[string]struct {
		intervals map[string]int
		// maxCrossed are the largest shares of a data centre's calls served elsewhere.
		maxCrossed map[string]float64
		maxRefused float64
	}{
		"both have room":           {map[string]int{"c1": 12, "c2": 14}, map[string]float64{"c1": 0.02, "c2": 0.02}, 0.01},
		"one has too little":       {map[string]int{"c1": 5, "c2": 40}, map[string]float64{"c1": 0.5, "c2": 0.02}, 0.1},
		"the other has too little": {map[string]int{"c1": 40, "c2": 5}, map[string]float64{"c1": 0.02, "c2": 0.5}, 0.1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			z := newZoneLoad()
			z.play(now, 10*clock.Second, tt.intervals)
			for centre, maxCrossed := range tt.maxCrossed {
				offered := 10000 / tt.intervals[centre]
				g.Expect(z.served[centre]).To(BeNumerically(">=", offered*97/100), centre)
				g.Expect(float64(z.crossed[centre])/float64(offered)).To(BeNumerically("<=", maxCrossed), centre)
				g.Expect(float64(z.refused[centre])/float64(offered)).To(BeNumerically("<=", tt.maxRefused), centre)
			}
		})
	}
}

// Guards against a data centre that keeps its callers although it fails them: it is slow,
// cold, stated to leave, or its calls fail.
func TestNoRoom(t *testing.T) {
	tests := map[string]func(s *call.UpstreamState){
		"failed call":   func(*call.UpstreamState) {},
		"slow VM":       func(s *call.UpstreamState) { s.Slowdown = 2 },
		"cold":          func(s *call.UpstreamState) { s.Limit, s.InProgress = 1, 1 },
		"leaving":       func(s *call.UpstreamState) { s.Leaving = true },
		"limited":       func(s *call.UpstreamState) { s.AdmitDelay, s.CallInterval = 300, 300 },
		"slow upstream": func(s *call.UpstreamState) { s.Latency = 500 },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := place.New(rand.New(rand.NewPCG(1, 2)))
			p.SetTargets(now, []call.Target{newTarget("near", "c1"), newTarget("far", "c2")})
			far := newState("far", 1, 1)
			far.Latency = 100
			p.Observe(now, far)
			near := newState("near", 0, 1)
			change(&near)
			p.Observe(now, near)
			if name == "failed call" {
				p.RecordResult(now, "near", call.Result{Outcome: call.OutcomeUnknown, Failed: true})
			}
			g.Expect(chosenFraction(p, call.Interactive, "far")).To(BeNumerically("==", 1))
		})
	}
}
