package main

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
)

const (
	service    = "booking"
	oldVersion = "v1"
	newVersion = "v2"

	oldUpstreamCount = 6
	newUpstreamCount = 3
	slotsPerUpstream = 6
	callsPerSecond   = 400
	baseErrorRate    = 0.002
	baseLatency      = 15 * clock.Millisecond
	moveDuration     = 10 * clock.Minute
	// overloadCallsPerSecond is the rate of calls to one upstream above which
	// the fault of a version appears if it appears only under load.
	overloadCallsPerSecond = 40
)

// routeShares has each route's share of all calls.
var routeShares = []float64{0.5, 0.25, 0.15, 0.1}

// interval is the half-open time interval [from, until).
type interval struct{ from, until clock.Milli }

func (i interval) contains(now clock.Milli) bool { return now >= i.from && now < i.until }

// fault describes the faulty behaviour of a bad version.
type fault struct {
	// errorRate is the probability that a call fails.
	errorRate float64
	// slowdown is the factor of the latency.
	slowdown float64
	startsAt clock.Milli
	// underLoad limits the fault to upstreams with more than
	// overloadCallsPerSecond.
	underLoad bool
	// route is the index of the affected route, -1 for all.
	route int
}

// upstream is a simulated upstream.
type upstream struct {
	id          string
	version     string
	slowPeriods []interval
	windowCalls int
	// callRate is the moving average of calls per second.
	callRate float64
	samples  []trial.Sample
}

// simulation is the environment of a run: the upstreams, the calls, and the
// disturbances that affect them.
type simulation struct {
	rand         *rand.Rand
	oldUpstreams []*upstream
	newUpstreams []*upstream
	// slowPeriods and errorPeriod affect both versions.
	slowPeriods []interval
	errorPeriod interval
	fault       *fault
	// faultShownAt is the time of the first call of the new version that failed
	// or was slow while the fault was active, zero for none.
	faultShownAt     clock.Milli
	callsBeforeFault int64
	callsAfterFault  int64
}

func newSimulation(r *rand.Rand, f *fault) *simulation {
	sim := &simulation{rand: r, fault: f}
	for i := range oldUpstreamCount {
		sim.oldUpstreams = append(sim.oldUpstreams, &upstream{id: fmt.Sprintf("10.0.0.%d", i), version: oldVersion})
	}
	for i := range newUpstreamCount {
		sim.newUpstreams = append(sim.newUpstreams, &upstream{id: fmt.Sprintf("10.0.1.%d", i), version: newVersion})
	}
	for range 3 {
		sim.slowPeriods = append(sim.slowPeriods, sim.randomInterval(20, 60))
	}
	sim.errorPeriod = sim.randomInterval(10, 30)
	for range 2 {
		u := sim.oldUpstreams[r.IntN(oldUpstreamCount)]
		u.slowPeriods = append(u.slowPeriods, sim.randomInterval(30, 120))
	}
	sim.planNoisyNeighbours()
	return sim
}

// planNoisyNeighbours draws three periods in which one upstream of the new
// version is slow. The periods do not overlap, since a slowdown of most upstreams
// at once could not come from a noisy neighbour.
func (sim *simulation) planNoisyNeighbours() {
	at := clock.Milli(sim.rand.Float64()) * moveDuration / 3
	for range 3 {
		u := sim.newUpstreams[sim.rand.IntN(newUpstreamCount)]
		s := interval{from: at, until: at + clock.Milli(30+90*sim.rand.Float64())*clock.Second}
		u.slowPeriods = append(u.slowPeriods, s)
		at = s.until + clock.Milli(60*sim.rand.Float64())*clock.Second
	}
}

// randomInterval returns an interval that starts during the move and lasts
// between minSeconds and maxSeconds.
func (sim *simulation) randomInterval(minSeconds, maxSeconds float64) interval {
	from := clock.Milli(sim.rand.Float64()) * moveDuration
	return interval{from: from, until: from + clock.Milli(minSeconds+(maxSeconds-minSeconds)*sim.rand.Float64())*clock.Second}
}

func (sim *simulation) pickRoute() int {
	x := sim.rand.Float64()
	for i, s := range routeShares {
		if x < s {
			return i
		}
		x -= s
	}
	return 0
}

// serveCall simulates a call and adds its latency and result to the samples, as the
// guard does.
func (sim *simulation) serveCall(now clock.Milli, u *upstream, route int) {
	failed := sim.rand.Float64() < baseErrorRate
	latency := baseLatency * clock.Milli(math.Exp(0.5*sim.rand.NormFloat64())*(1+0.3*float64(route)))
	for _, s := range sim.slowPeriods {
		if s.contains(now) {
			latency *= 2.5
		}
	}
	for _, s := range u.slowPeriods {
		if s.contains(now) {
			latency *= 4
		}
	}
	if sim.errorPeriod.contains(now) {
		failed = failed || sim.rand.Float64() < 0.05
	}
	if u.version == newVersion {
		failed, latency = sim.applyFault(now, u, route, failed, latency)
	}
	u.windowCalls++
	u.samples[route].Count(latency, failed)
}

// applyFault returns the result and latency of a call to the new version with
// the fault applied, and counts calls before and after the fault first showed.
func (sim *simulation) applyFault(now clock.Milli, u *upstream, route int, failed bool, latency clock.Milli) (bool, clock.Milli) {
	f := sim.fault
	if f == nil {
		return failed, latency
	}
	active := now >= f.startsAt && (f.route < 0 || f.route == route) && (!f.underLoad || u.callRate > overloadCallsPerSecond)
	if active {
		if sim.rand.Float64() < f.errorRate {
			failed = true
		}
		latency *= clock.Milli(f.slowdown)
		if sim.faultShownAt == 0 && (failed || f.slowdown > 1) {
			sim.faultShownAt = now
		}
	}
	if sim.faultShownAt == 0 {
		sim.callsBeforeFault++
	} else {
		sim.callsAfterFault++
	}
	return failed, latency
}

// beginWindow starts empty samples for the window that contains now.
func (sim *simulation) beginWindow(now clock.Milli) {
	for _, u := range sim.allUpstreams() {
		u.samples = make([]trial.Sample, len(routeShares))
		for i := range u.samples {
			u.samples[i] = trial.Sample{
				Service: service, Route: fmt.Sprintf("r%d", i), Version: u.version,
				Target: u.id, Window: trial.WindowNumber(now),
			}
		}
	}
}

// endWindow updates the call rates and passes the window's samples to send, after
// a round trip through the wire encoding.
func (sim *simulation) endWindow(send func(*trial.Sample)) {
	for _, u := range sim.allUpstreams() {
		u.callRate = 0.7*u.callRate + 0.3*float64(u.windowCalls)/float64(trial.WindowDuration/clock.Second)
		u.windowCalls = 0
		for i := range u.samples {
			if s, ok := shift.SampleFromWire(shift.SampleToWire(&u.samples[i])); ok && s.Calls > 0 {
				send(&s)
			}
		}
	}
}

func (sim *simulation) allUpstreams() []*upstream {
	return append(append([]*upstream{}, sim.oldUpstreams...), sim.newUpstreams...)
}

// poisson returns the number of calls of a window, drawn from the normal
// approximation of the Poisson distribution.
func (sim *simulation) poisson(mean float64) int {
	return max(int(math.Round(mean+math.Sqrt(mean)*sim.rand.NormFloat64())), 0)
}
