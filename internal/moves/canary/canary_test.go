package canary_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/canary"
)

const (
	ordered = 1000 * clock.Second
	within  = 15 * clock.Second
	// usualLoad is in calls a second, tick the time between steps.
	usualLoad = 40.0
	tick      = 100 * clock.Millisecond
	// allowedShare and allowedExtra bound what a bad version may get of all
	// requests until the move's end.
	allowedShare = 0.1
	allowedExtra = 50
	// afterBad is how long calls may still go there after the fiftieth bad one.
	manyBad  = 50
	afterBad = 5 * clock.Second
)

// version is how an upstream of the new version behaves.
type version struct {
	// fails is the share of failures of a route at a share of the requests and
	// a time since the order.
	fails func(route string, share float64, age clock.Milli) float64
	slow  float64
	// within is the time for the move, the usual one if it is zero.
	within clock.Milli
	// perSecond is the load of the service, usualLoad if it is zero.
	perSecond float64
	// reached is the part of its share that the version really gets, all of it
	// if it is nil: cold upstreams refuse calls.
	reached func(age clock.Milli) float64
}

func (v *version) time() clock.Milli {
	if v.within > 0 {
		return v.within
	}
	return within
}

func (v *version) load() float64 {
	if v.perSecond > 0 {
		return v.perSecond
	}
	return usualLoad
}

func (v *version) part(age clock.Milli) float64 {
	if v.reached != nil {
		return v.reached(age)
	}
	return 1
}

// outcome is what a played move led to.
type outcome struct {
	phase   canary.Phase
	ended   clock.Milli
	exposed float64
	lateBad float64
	total   float64
}

// play runs a move against a load on two routes, of which one has a third.
func play(v version) outcome {
	m := canary.New(order.Move{Service: "s", Version: "v2", MaxDuration: v.time(), ReceivedAt: ordered})
	routes := map[string]float64{"lookup": v.load() * 2 / 3, "booking": v.load() / 3}
	oldT, newT := map[string]*call.RouteStats{}, map[string]*call.RouteStats{}
	part, rest := map[string]float64{}, map[string]float64{}
	var out outcome
	var bad float64
	var manyAt clock.Milli
	for age := clock.Milli(0); age < v.time(); age += tick {
		share := m.Share() * v.part(age)
		for route, rate := range routes {
			if oldT[route] == nil {
				oldT[route], newT[route] = &call.RouteStats{Route: route}, &call.RouteStats{Route: route}
			}
			n := rate * float64(tick/clock.Second)
			out.total += n
			out.exposed += n * share
			part[route] += n * share
			f := v.fails(route, share, age)
			bad += n * share * f
			if manyAt > 0 && age > manyAt+afterBad {
				out.lateBad += n * share
			}
			rest[route] += n * (1 - share)
			oldT[route].Calls = uint64(rest[route])
			oldT[route].TotalServiceTime = clock.Milli(oldT[route].Calls) * 300
			calls := uint64(part[route])
			done := calls - newT[route].Calls
			newT[route].Calls = calls
			newT[route].Failed = uint64(float64(newT[route].Failed)) + uint64(float64(done)*f+0.5)
			newT[route].TotalServiceTime += clock.Milli(float64(done)*(1-f)) * 300 * clock.Milli(v.slow)
		}
		if bad >= manyBad && manyAt == 0 {
			manyAt = age
		}
		for route := range routes {
			m.Observe(ordered+age, "old", 1, "v1", []call.RouteStats{*oldT[route]})
			m.Observe(ordered+age, "new", 1, "v2", []call.RouteStats{*newT[route]})
		}
		if m.Evaluate(ordered+age) && m.Phase() != canary.Running {
			out.phase, out.ended = m.Phase(), age
		}
	}
	return out
}

func never(string, float64, clock.Milli) float64 { return 0 }

func always(string, float64, clock.Milli) float64 { return after(true) }

func from(age clock.Milli) func(string, float64, clock.Milli) float64 {
	return func(_ string, _ float64, now clock.Milli) float64 { return after(now > age) }
}

func above(part float64) func(string, float64, clock.Milli) float64 {
	return func(_ string, share float64, _ clock.Milli) float64 { return after(share > part) }
}

func halfCold(age clock.Milli) float64 {
	if age < 5*clock.Second {
		return 0.5
	}
	return 1
}

func coldUntil(end clock.Milli) func(clock.Milli) float64 {
	return func(age clock.Milli) float64 {
		if age < end {
			return 0.2
		}
		return 1
	}
}

// Guards against a good version that is not done in time, and a bad one that
// gets more than its share or calls after its faults were seen.
func TestMoves(t *testing.T) {
	tests := map[string]struct {
		version version
		want    canary.Phase
	}{
		"good, few calls":     {version{fails: never, slow: 1, perSecond: 15}, canary.Succeeded},
		"good, soon":          {version{fails: never, slow: 1, within: 3 * clock.Second, perSecond: 200}, canary.Succeeded},
		"good":                {version{fails: never, slow: 1}, canary.Succeeded},
		"a bit slow":          {version{fails: never, slow: 1.7}, canary.Succeeded},
		"good, cold at first": {version{fails: never, slow: 1, reached: halfCold}, canary.Succeeded},
		"fails":               {version{fails: always, slow: 1}, canary.RolledBack},
		"slow":                {version{fails: never, slow: 8}, canary.RolledBack},
		"fails later":         {version{fails: from(3 * clock.Second), slow: 1}, canary.RolledBack},
		"fails under load":    {version{fails: above(0.4), slow: 1}, canary.RolledBack},
		"fails at all calls of a busy service": {
			version{fails: above(0.9), slow: 1, perSecond: 75}, canary.RolledBack,
		},
		"fails under load, cold at first": {
			version{fails: above(0.4), slow: 1, reached: coldUntil(12 * clock.Second)}, canary.RolledBack,
		},
		"fails on one route": {
			version{fails: func(route string, _ float64, _ clock.Milli) float64 { return after(route == "booking") }, slow: 1}, canary.RolledBack,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			out := play(tt.version)
			g.Expect(out.phase).To(Equal(tt.want))
			g.Expect(out.ended).To(BeNumerically("<", within))
			if tt.want == canary.RolledBack {
				g.Expect(out.exposed).To(BeNumerically("<", allowedShare*out.total+allowedExtra))
				g.Expect(out.lateBad).To(BeZero())
			}
		})
	}
}

func after(failing bool) float64 {
	if failing {
		return 0.5
	}
	return 0
}

// Guards against a move that ends where nothing speaks for the new version.
func TestNoCallsAtNewVersion(t *testing.T) {
	g := NewWithT(t)
	m := canary.New(order.Move{Version: "v2", MaxDuration: within, ReceivedAt: ordered})
	g.Expect(m.Evaluate(ordered + within)).To(BeFalse())
	g.Expect(m.Share()).To(BeNumerically("<", allowedShare))
}

// Guards against two daemons that come to different ends.
func TestSettle(t *testing.T) {
	g := NewWithT(t)
	m := canary.New(order.Move{Version: "v2", MaxDuration: within, ReceivedAt: ordered})
	g.Expect(m.SetFinalPhase(canary.Running, "")).To(BeFalse())
	g.Expect(m.SetFinalPhase(canary.RolledBack, "peer")).To(BeTrue())
	g.Expect(m.SetFinalPhase(canary.Succeeded, "peer")).To(BeFalse())
	g.Expect(m.Phase()).To(Equal(canary.RolledBack))
	g.Expect(m.Share()).To(BeZero())
}
