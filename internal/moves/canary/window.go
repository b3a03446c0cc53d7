package canary

import (
	"maps"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// recentWindow is the period whose calls count as recent. It is long enough to
	// hold several calls of the new version while that gets one call in ten.
	recentWindow = 2 * clock.Second
	// bucketDuration is the resolution of the recent window.
	bucketDuration = 200 * clock.Millisecond
)

// upstreamTotals holds the latest cumulative statistics that a guard reported for
// its upstream.
type upstreamTotals struct {
	incarnation uint64
	isNew       bool
	byRoute     map[string]callStats
}

// bucket holds the calls that were reported within bucketDuration after start.
type bucket struct {
	start clock.Milli
	stats statsByKey
}

// evidence turns the cumulative statistics of guards into those of all calls since
// the order and those of recent calls.
type evidence struct {
	upstreams map[string]upstreamTotals
	// restarted sums up the totals from before restarts of guards and upstreams,
	// whose counters begin at zero again.
	restarted statsByKey
	buckets   []bucket
}

func newEvidence() evidence {
	return evidence{upstreams: make(map[string]upstreamTotals), restarted: make(statsByKey)}
}

// observe records the cumulative statistics of an upstream. A report of an earlier
// incarnation of the guard is ignored; with a new one the counters begin at zero.
func (e *evidence) observe(now clock.Milli, target string, incarnation uint64, isNew bool, routeStats []call.RouteStats) {
	s, known := e.upstreams[target]
	if known && s.incarnation > incarnation {
		return
	}
	if !known || s.incarnation != incarnation || s.isNew != isNew {
		e.addRestarted(target, s)
		s = upstreamTotals{incarnation: incarnation, isNew: isNew, byRoute: make(map[string]callStats)}
		e.upstreams[target] = s
	}
	current := e.currentBucket(now)
	for _, t := range routeStats {
		total, previous := callStats{calls: t.Calls, failed: t.Failed, serviceTime: t.TotalServiceTime}, s.byRoute[t.Route]
		s.byRoute[t.Route] = total
		k := statsKey{isNew, t.Route, target}
		// The upstream restarted while its guard went on running.
		if total.calls < previous.calls || total.failed < previous.failed {
			e.restarted.add(k, previous)
			previous = callStats{}
		}
		// The first report of a guard may cover more than the recent window.
		if known {
			current.add(k, callStats{calls: total.calls - previous.calls, failed: total.failed - previous.failed, serviceTime: total.serviceTime - previous.serviceTime})
		}
	}
}

// addRestarted adds the totals of a guard that was restarted to e.restarted.
func (e *evidence) addRestarted(target string, s upstreamTotals) {
	for route, total := range s.byRoute {
		e.restarted.add(statsKey{s.isNew, route, target}, total)
	}
}

// currentBucket returns the bucket of now and drops buckets older than recentWindow.
func (e *evidence) currentBucket(now clock.Milli) statsByKey {
	if n := len(e.buckets); n == 0 || now-e.buckets[n-1].start >= bucketDuration {
		e.buckets = append(e.buckets, bucket{start: now, stats: make(statsByKey)})
	}
	for now-e.buckets[0].start > recentWindow {
		e.buckets = e.buckets[1:]
	}
	return e.buckets[len(e.buckets)-1].stats
}

// totalStats returns the statistics of all calls since the order.
func (e *evidence) totalStats() statsByKey {
	out := maps.Clone(e.restarted)
	for target, s := range e.upstreams {
		for route, total := range s.byRoute {
			out.add(statsKey{s.isNew, route, target}, total)
		}
	}
	return out
}

// statsSince returns the statistics of the calls reported since from, limited to the
// buckets that are still held.
func (e *evidence) statsSince(from clock.Milli) statsByKey {
	out := make(statsByKey)
	for _, s := range e.buckets {
		if s.start < from {
			continue
		}
		for k, c := range s.stats {
			out.add(k, c)
		}
	}
	return out
}

// snapshot holds the statistics at one instant that a decision is based on.
type snapshot struct {
	// total covers all calls since the order, recent those within recentWindow.
	total, recent statsByKey
	// oldTotal and oldRecent are the old version's statistics by route that total
	// and recent are compared with.
	oldTotal, oldRecent map[string]*callStats
	// newUpstreams is the number of upstreams of the new version.
	newUpstreams int
}

func (e *evidence) snapshot(now clock.Milli) snapshot {
	s := snapshot{total: e.totalStats(), recent: e.statsSince(now - recentWindow), newUpstreams: e.newVersionUpstreams()}
	s.oldTotal = s.total.byRoute(false)
	s.oldRecent = baseline(s.oldTotal, s.recent.byRoute(false))
	return s
}

// rollbackReason returns why the new version should be rolled back, or an empty
// string.
func (s *snapshot) rollbackReason() string {
	if reason := s.total.rollbackReason(totalThreshold, s.newUpstreams, s.oldTotal); reason != "" {
		return reason
	}
	if reason := s.recent.rollbackReason(recentThreshold, s.newUpstreams, s.oldRecent); reason != "" {
		return "recent calls: " + reason
	}
	return ""
}

// failsMoreOften reports whether the new version's recent failure rate is notably
// above that of the old one.
func (s *snapshot) failsMoreOften() bool {
	return s.recent.failsMoreOften(s.newUpstreams, s.oldRecent)
}

func (e *evidence) newVersionUpstreams() int {
	n := 0
	for _, s := range e.upstreams {
		if s.isNew {
			n++
		}
	}
	return n
}
