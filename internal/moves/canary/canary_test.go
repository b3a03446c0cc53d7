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
	orderedAt             = 1000 * clock.Second
	maxDuration           = 15 * clock.Second
	defaultCallsPerSecond = 40.0
	tickInterval          = 100 * clock.Millisecond
	// A bad version may get maxExposedFraction of all requests of a move and
	// maxExposedExtraCalls more.
	maxExposedFraction   = 0.1
	maxExposedExtraCalls = 50
	// A bad version may get no calls later than detectionGrace after
	// detectionFailures of its calls have failed.
	detectionFailures = 50
	detectionGrace    = 5 * clock.Second
)

// versionBehaviour describes the simulated upstreams of the new version.
type versionBehaviour struct {
	// failureRate returns the failure rate in 0..1 of a route at a share of the
	// requests and a time since the order.
	failureRate func(route string, share float64, age clock.Milli) float64
	slowdown    float64
	// maxDuration is the time for the move; zero means the constant maxDuration.
	maxDuration clock.Milli
	// callsPerSecond is the load of the service; zero means defaultCallsPerSecond.
	callsPerSecond float64
	// reachedFraction returns the fraction of its intended share that the version
	// gets, as cold upstreams refuse calls; nil means 1.
	reachedFraction func(age clock.Milli) float64
}

func (v *versionBehaviour) moveDuration() clock.Milli {
	if v.maxDuration > 0 {
		return v.maxDuration
	}
	return maxDuration
}

func (v *versionBehaviour) load() float64 {
	if v.callsPerSecond > 0 {
		return v.callsPerSecond
	}
	return defaultCallsPerSecond
}

func (v *versionBehaviour) reachedAt(age clock.Milli) float64 {
	if v.reachedFraction != nil {
		return v.reachedFraction(age)
	}
	return 1
}

// outcome is the result of a simulated move. It counts the calls at all versions
// and at the new one.
type outcome struct {
	phase                  canary.Phase
	endAge                 clock.Milli
	newCalls               float64
	newCallsAfterDetection float64
	totalCalls             float64
}

// simulateMove runs a move with calls on two routes, a third of them on "booking".
func simulateMove(behaviour versionBehaviour) outcome {
	m := canary.New(order.Move{Service: "s", Version: "v2", MaxDuration: behaviour.moveDuration(), ReceivedAt: orderedAt})
	routes := map[string]float64{"lookup": behaviour.load() * 2 / 3, "booking": behaviour.load() / 3}
	oldStats, newStats := map[string]*call.RouteStats{}, map[string]*call.RouteStats{}
	newCalls, oldCalls := map[string]float64{}, map[string]float64{}
	var out outcome
	var failedCalls float64
	var detectedAt clock.Milli
	for age := clock.Milli(0); age < behaviour.moveDuration(); age += tickInterval {
		share := m.Share() * behaviour.reachedAt(age)
		for route, rate := range routes {
			if oldStats[route] == nil {
				oldStats[route], newStats[route] = &call.RouteStats{Route: route}, &call.RouteStats{Route: route}
			}
			n := rate * float64(tickInterval/clock.Second)
			out.totalCalls += n
			out.newCalls += n * share
			newCalls[route] += n * share
			failureRate := behaviour.failureRate(route, share, age)
			failedCalls += n * share * failureRate
			if detectedAt > 0 && age > detectedAt+detectionGrace {
				out.newCallsAfterDetection += n * share
			}
			oldCalls[route] += n * (1 - share)
			oldStats[route].Calls = uint64(oldCalls[route])
			oldStats[route].TotalServiceTime = clock.Milli(oldStats[route].Calls) * 300
			oldStats[route].Answered[call.LatencyBucket(300)] = uint32(oldStats[route].Calls)
			calls := uint64(newCalls[route])
			newlyFinished := calls - newStats[route].Calls
			newStats[route].Calls = calls
			newStats[route].Failed = uint64(float64(newStats[route].Failed)) + uint64(float64(newlyFinished)*failureRate+0.5)
			succeeded := uint32(float64(newlyFinished) * (1 - failureRate))
			newStats[route].TotalServiceTime += clock.Milli(succeeded) * 300 * clock.Milli(behaviour.slowdown)
			newStats[route].Answered[call.LatencyBucket(300*clock.Milli(behaviour.slowdown))] += succeeded
		}
		if failedCalls >= detectionFailures && detectedAt == 0 {
			detectedAt = age
		}
		for route := range routes {
			m.Observe(orderedAt+age, "old", 1, "v1", []call.RouteStats{*oldStats[route]})
			m.Observe(orderedAt+age, "new", 1, "v2", []call.RouteStats{*newStats[route]})
		}
		if m.Evaluate(orderedAt+age) && m.Phase() != canary.Running {
			out.phase, out.endAge = m.Phase(), age
		}
	}
	return out
}

func neverFails(string, float64, clock.Milli) float64 { return 0 }

func alwaysFails(string, float64, clock.Milli) float64 { return failureRateIf(true) }

func failsAfter(age clock.Milli) func(string, float64, clock.Milli) float64 {
	return func(_ string, _ float64, now clock.Milli) float64 { return failureRateIf(now > age) }
}

func failsAboveShare(threshold float64) func(string, float64, clock.Milli) float64 {
	return func(_ string, share float64, _ clock.Milli) float64 { return failureRateIf(share > threshold) }
}

func halfTrafficFor5s(age clock.Milli) float64 {
	if age < 5*clock.Second {
		return 0.5
	}
	return 1
}

func fifthOfTrafficUntil(end clock.Milli) func(clock.Milli) float64 {
	return func(age clock.Milli) float64 {
		if age < end {
			return 0.2
		}
		return 1
	}
}

// Guards against a good version that does not succeed in time, and against a bad one
// that gets more calls than allowed or any after its failures were detected.
func TestMoves(t *testing.T) {
	tests := map[string]struct {
		version versionBehaviour
		want    canary.Phase
	}{
		"good, few calls":     {versionBehaviour{failureRate: neverFails, slowdown: 1, callsPerSecond: 15}, canary.Succeeded},
		"good, short move":    {versionBehaviour{failureRate: neverFails, slowdown: 1, maxDuration: 3 * clock.Second, callsPerSecond: 200}, canary.Succeeded},
		"good":                {versionBehaviour{failureRate: neverFails, slowdown: 1}, canary.Succeeded},
		"slightly slow":       {versionBehaviour{failureRate: neverFails, slowdown: 1.7}, canary.Succeeded},
		"good, cold at first": {versionBehaviour{failureRate: neverFails, slowdown: 1, reachedFraction: halfTrafficFor5s}, canary.Succeeded},
		"fails":               {versionBehaviour{failureRate: alwaysFails, slowdown: 1}, canary.RolledBack},
		"slow":                {versionBehaviour{failureRate: neverFails, slowdown: 8}, canary.RolledBack},
		"fails later":         {versionBehaviour{failureRate: failsAfter(3 * clock.Second), slowdown: 1}, canary.RolledBack},
		"fails under load":    {versionBehaviour{failureRate: failsAboveShare(0.4), slowdown: 1}, canary.RolledBack},
		"fails at all calls of a busy service": {
			versionBehaviour{failureRate: failsAboveShare(0.9), slowdown: 1, callsPerSecond: 75}, canary.RolledBack,
		},
		"fails under load, cold at first": {
			versionBehaviour{failureRate: failsAboveShare(0.4), slowdown: 1, reachedFraction: fifthOfTrafficUntil(12 * clock.Second)}, canary.RolledBack,
		},
		"fails on one route": {
			versionBehaviour{failureRate: func(route string, _ float64, _ clock.Milli) float64 { return failureRateIf(route == "booking") }, slowdown: 1}, canary.RolledBack,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			out := simulateMove(tt.version)
			g.Expect(out.phase).To(Equal(tt.want))
			g.Expect(out.endAge).To(BeNumerically("<", maxDuration))
			if tt.want == canary.RolledBack {
				g.Expect(out.newCalls).To(BeNumerically("<", maxExposedFraction*out.totalCalls+maxExposedExtraCalls))
				g.Expect(out.newCallsAfterDetection).To(BeZero())
			}
		})
	}
}

func failureRateIf(failing bool) float64 {
	if failing {
		return 0.5
	}
	return 0
}

// Guards against a move that advances although the new version has had no calls.
func TestNoCallsAtNewVersion(t *testing.T) {
	g := NewWithT(t)
	m := canary.New(order.Move{Version: "v2", MaxDuration: maxDuration, ReceivedAt: orderedAt})
	g.Expect(m.Evaluate(orderedAt + maxDuration)).To(BeFalse())
	g.Expect(m.Share()).To(BeNumerically("<", maxExposedFraction))
}

// Guards against a final phase that is replaced by that of another daemon.
func TestFinalPhaseStays(t *testing.T) {
	g := NewWithT(t)
	m := canary.New(order.Move{Version: "v2", MaxDuration: maxDuration, ReceivedAt: orderedAt})
	g.Expect(m.SetFinalPhase(canary.Running, "")).To(BeFalse())
	g.Expect(m.SetFinalPhase(canary.RolledBack, "peer")).To(BeTrue())
	g.Expect(m.SetFinalPhase(canary.Succeeded, "peer")).To(BeFalse())
	g.Expect(m.Phase()).To(Equal(canary.RolledBack))
	g.Expect(m.Share()).To(BeZero())
}
