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

// callHistory derives the statistics of all calls since the order, and of recent
// calls, from the cumulative statistics of guards.
type callHistory struct {
	upstreams map[string]upstreamTotals
	// restarted sums up the totals from before restarts of guards and upstreams,
	// whose counters begin at zero again.
	restarted statsByKey
	buckets   []bucket
}

func newCallHistory() callHistory {
	return callHistory{upstreams: make(map[string]upstreamTotals), restarted: make(statsByKey)}
}

// observe records the cumulative statistics of an upstream. A report of an earlier
// incarnation of the guard is ignored; with a new one the counters begin at zero.
func (h *callHistory) observe(now clock.Milli, target string, incarnation uint64, isNew bool, routeStats []call.RouteStats) {
	s, known := h.upstreams[target]
	if known && s.incarnation > incarnation {
		return
	}
	if !known || s.incarnation != incarnation || s.isNew != isNew {
		h.addRestarted(target, s)
		s = upstreamTotals{incarnation: incarnation, isNew: isNew, byRoute: make(map[string]callStats)}
		h.upstreams[target] = s
	}
	current := h.currentBucket(now)
	for _, r := range routeStats {
		total, previous := callStats{calls: r.Calls, failed: r.Failed, serviceTime: r.TotalServiceTime}, s.byRoute[r.Route]
		s.byRoute[r.Route] = total
		k := statsKey{isNew, r.Route, target}
		// The upstream restarted while its guard went on running.
		if total.calls < previous.calls || total.failed < previous.failed {
			h.restarted.add(k, previous)
			previous = callStats{}
		}
		// The first report on an upstream may cover more than the recent window.
		if known {
			current.add(k, callStats{calls: total.calls - previous.calls, failed: total.failed - previous.failed, serviceTime: total.serviceTime - previous.serviceTime})
		}
	}
}

// addRestarted adds the totals of a guard that was restarted to h.restarted.
func (h *callHistory) addRestarted(target string, s upstreamTotals) {
	for route, total := range s.byRoute {
		h.restarted.add(statsKey{s.isNew, route, target}, total)
	}
}

// currentBucket returns the bucket of now and drops buckets older than recentWindow.
func (h *callHistory) currentBucket(now clock.Milli) statsByKey {
	if n := len(h.buckets); n == 0 || now-h.buckets[n-1].start >= bucketDuration {
		h.buckets = append(h.buckets, bucket{start: now, stats: make(statsByKey)})
	}
	for now-h.buckets[0].start > recentWindow {
		h.buckets = h.buckets[1:]
	}
	return h.buckets[len(h.buckets)-1].stats
}

// totalStats returns the statistics of all calls since the order.
func (h *callHistory) totalStats() statsByKey {
	out := maps.Clone(h.restarted)
	for target, s := range h.upstreams {
		for route, total := range s.byRoute {
			out.add(statsKey{s.isNew, route, target}, total)
		}
	}
	return out
}

// statsSince returns the statistics of the calls reported since from, as far as
// their buckets are still held.
func (h *callHistory) statsSince(from clock.Milli) statsByKey {
	out := make(statsByKey)
	for _, b := range h.buckets {
		if b.start < from {
			continue
		}
		for k, s := range b.stats {
			out.add(k, s)
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

func (h *callHistory) snapshot(now clock.Milli) snapshot {
	s := snapshot{total: h.totalStats(), recent: h.statsSince(now - recentWindow), newUpstreams: h.newVersionUpstreams()}
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

func (h *callHistory) newVersionUpstreams() int {
	n := 0
	for _, s := range h.upstreams {
		if s.isNew {
			n++
		}
	}
	return n
}
