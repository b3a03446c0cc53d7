package canary

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// minReachedFraction is the fraction of the intended share that the new
	// version must have got for the share to count as observed; cold upstreams
	// get less. reachedToleranceCalls calls may be missing on top of that, as few
	// calls spread unevenly.
	minReachedFraction    = 0.6
	reachedToleranceCalls = 2
)

// callStats counts calls. serviceTime is the total of the successful ones. The histograms
// are those of call.RouteStats.
type callStats struct {
	calls       uint64
	failed      uint64
	serviceTime clock.Milli
	answered    call.LatencyHistogram
	cutOff      call.LatencyHistogram
	// running is filled in only when statistics are compared.
	running call.LatencyHistogram
}

func newCallStats(r *call.RouteStats) callStats {
	return callStats{calls: r.Calls, failed: r.Failed, serviceTime: r.TotalServiceTime, answered: r.Answered, cutOff: r.CutOff}
}

func (s *callStats) add(other *callStats) {
	s.calls += other.calls
	s.failed += other.failed
	s.serviceTime += other.serviceTime
	s.answered.Add(&other.answered)
	s.cutOff.Add(&other.cutOff)
	s.running.Add(&other.running)
}

// since returns the calls that were counted after earlier, a state of the same counters.
func (s *callStats) since(earlier *callStats) *callStats {
	return &callStats{
		calls: s.calls - earlier.calls, failed: s.failed - earlier.failed, serviceTime: s.serviceTime - earlier.serviceTime,
		answered: s.answered.Since(&earlier.answered), cutOff: s.cutOff.Since(&earlier.cutOff),
	}
}

// statsKey identifies the calls of one route at one upstream.
type statsKey struct {
	isNew  bool
	route  string
	target string
}

// statsByKey holds the call statistics of a period.
type statsByKey map[statsKey]callStats

func (c statsByKey) add(k statsKey, s *callStats) {
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
		byRoute[k.route].add(&s)
		byRoute[""].add(&s)
	}
	return byRoute
}

// reachedShare reports whether the new version got about its intended share of the
// calls.
func (c statsByKey) reachedShare(share float64) bool {
	n, o := c.byRoute(true)[""], c.byRoute(false)[""]
	return float64(n.calls+reachedToleranceCalls) >= minReachedFraction*share*float64(n.calls+o.calls)
}
