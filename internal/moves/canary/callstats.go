package canary

import (
	"fmt"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// minFailures is the number of failed calls at the new version below which it
	// is not rolled back for failures.
	minFailures = 3
	// minReachedFraction is the fraction of the intended share that the new
	// version must have got for the share to count as observed; cold upstreams
	// get less. reachedToleranceCalls calls may be missing on top of that, as few
	// calls spread unevenly.
	minReachedFraction    = 0.6
	reachedToleranceCalls = 2
	// minComparedCalls is the minimum number of calls for a comparison of mean service
	// times, and for recent calls to serve as the baseline.
	minComparedCalls = 6
	// slowRatio is the ratio of mean service times, new to old version, above
	// which the new version is rolled back. VMs with busy neighbours stay below it.
	slowRatio = 3.0
	// slowMargin is the difference of mean service times that must be exceeded as
	// well, as the times of short calls vary by a few milliseconds.
	slowMargin = 20 * clock.Millisecond
)

// failureThreshold holds the limits from which failures of the new version lead to a
// rollback.
type failureThreshold struct {
	// rate is the minimum failure rate of the new version, margin the minimum
	// difference from the rate of the old version.
	rate, margin float64
}

var (
	// totalThreshold applies to all calls since the order.
	totalThreshold = failureThreshold{rate: 0.15, margin: 0.1}
	// recentThreshold applies to the calls within recentWindow. It detects a version
	// that fails only under load: its earlier successful calls keep the failure rate
	// of all calls low.
	recentThreshold = failureThreshold{rate: 0.08, margin: 0.05}
)

// callStats counts calls. serviceTime is the total of the successful ones.
type callStats struct {
	calls       uint64
	failed      uint64
	serviceTime clock.Milli
}

func (s *callStats) add(other callStats) {
	s.calls += other.calls
	s.failed += other.failed
	s.serviceTime += other.serviceTime
}

func (s *callStats) failureRate() float64 {
	if s.calls == 0 {
		return 0
	}
	return float64(s.failed) / float64(s.calls)
}

func (s *callStats) meanServiceTime() clock.Milli {
	if s.calls == s.failed {
		return 0
	}
	return s.serviceTime / clock.Milli(s.calls-s.failed)
}

// statsKey identifies the calls of one route at one upstream.
type statsKey struct {
	isNew  bool
	route  string
	target string
}

// statsByKey holds the call statistics of a period.
type statsByKey map[statsKey]callStats

func (c statsByKey) add(k statsKey, s callStats) {
	total := c[k]
	total.add(s)
	c[k] = total
}

// byRoute returns the statistics of the new or the old version for each route and,
// under the empty name, for all routes.
func (c statsByKey) byRoute(isNew bool) map[string]*callStats {
	byRoute := map[string]*callStats{"": {}}
	for k, s := range c {
		if k.isNew != isNew {
			continue
		}
		if byRoute[k.route] == nil {
			byRoute[k.route] = new(callStats)
		}
		byRoute[k.route].add(s)
		byRoute[""].add(s)
	}
	return byRoute
}

// onSeveralUpstreams reports whether statistics that match come from at least two
// upstreams of the new version, or from its only one. An empty route means all
// routes.
func (c statsByKey) onSeveralUpstreams(newUpstreams int, route string, match func(*callStats) bool) bool {
	targets := make(map[string]bool)
	for k, s := range c {
		if k.isNew && (route == "" || k.route == route) && match(&s) {
			targets[k.target] = true
		}
	}
	return len(targets) >= min(2, max(1, newUpstreams))
}

func hasFailures(s *callStats) bool { return s.failed > 0 }

// rollbackReason returns why the new version should be rolled back, or an empty
// string. It compares each route with the old version's calls. Failures and slow
// calls at only one of several upstreams are not attributed to the version.
func (c statsByKey) rollbackReason(threshold failureThreshold, newUpstreams int, old map[string]*callStats) string {
	failuresOnSeveral := c.onSeveralUpstreams(newUpstreams, "", hasFailures)
	for route, newStats := range c.byRoute(true) {
		oldStats := old[route]
		if oldStats == nil {
			continue
		}
		if failuresOnSeveral && threshold.exceeded(newStats, oldStats) {
			return fmt.Sprintf("%s: %d of %d calls failed, %d of %d at other versions", routeLabel(route), newStats.failed, newStats.calls, oldStats.failed, oldStats.calls)
		}
		if newStats.slowerOverEnoughCalls(oldStats) && c.onSeveralUpstreams(newUpstreams, route, func(s *callStats) bool { return s.slowerThan(oldStats) }) {
			return fmt.Sprintf("%s: calls take %.0f ms, %.0f ms at other versions", routeLabel(route), float64(newStats.meanServiceTime()), float64(oldStats.meanServiceTime()))
		}
	}
	return ""
}

func (t *failureThreshold) exceeded(n, o *callStats) bool {
	return n.failed >= minFailures && n.failureRate() >= t.rate && n.failureRate() >= o.failureRate()+t.margin
}

// baseline returns the old version's statistics that recent calls are compared
// with: for each route the recent ones if there are enough calls, otherwise those
// since the order.
func baseline(total, recent map[string]*callStats) map[string]*callStats {
	out := make(map[string]*callStats, len(total))
	for route, s := range total {
		out[route] = s
		if r := recent[route]; r != nil && r.calls >= minComparedCalls {
			out[route] = r
		}
	}
	return out
}

// slowerOverEnoughCalls reports whether s is slower than o and both have enough
// successful calls for a comparison.
func (s *callStats) slowerOverEnoughCalls(o *callStats) bool {
	if s.calls-s.failed < minComparedCalls || o.calls-o.failed < minComparedCalls {
		return false
	}
	return s.slowerThan(o)
}

func (s *callStats) slowerThan(o *callStats) bool {
	return s.meanServiceTime() > slowRatio*o.meanServiceTime() && s.meanServiceTime() > o.meanServiceTime()+slowMargin
}

func routeLabel(route string) string {
	if route == "" {
		return "all routes"
	}
	return "route " + route
}

// failsMoreOften reports whether the new version's failure rate is above the old
// one's by the margin of recentThreshold. This delays the end of a step, even where
// there are too few failures for a rollback.
func (c statsByKey) failsMoreOften(newUpstreams int, old map[string]*callStats) bool {
	n, o := c.byRoute(true)[""], old[""]
	return c.onSeveralUpstreams(newUpstreams, "", hasFailures) && n.failureRate() > o.failureRate()+recentThreshold.margin
}

// reachedShare reports whether the new version got about its intended share of the
// calls.
func (c statsByKey) reachedShare(share float64) bool {
	n, o := c.byRoute(true)[""], c.byRoute(false)[""]
	return float64(n.calls+reachedToleranceCalls) >= minReachedFraction*share*float64(n.calls+o.calls)
}
