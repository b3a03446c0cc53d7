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
	// runningTTL is how long a report of calls in progress is used.
	runningTTL = clock.Second
)

// upstreamTotals holds the latest cumulative statistics that a guard reported for
// its upstream.
type upstreamTotals struct {
	incarnation uint64
	isNew       bool
	byRoute     map[string]callStats
	// first has the totals of the first report, by route.
	first map[string]callStats
	// running has the ages of the calls that were in progress at reportedAt, by route.
	running    map[string]call.LatencyHistogram
	reportedAt clock.Milli
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
		s = upstreamTotals{incarnation: incarnation, isNew: isNew, byRoute: make(map[string]callStats), first: make(map[string]callStats)}
	}
	s.running, s.reportedAt = runningByRoute(routeStats), now
	h.upstreams[target] = s
	current := h.currentBucket(now)
	for i := range routeStats {
		r := &routeStats[i]
		total, previous := newCallStats(r), s.byRoute[r.Route]
		if total == previous {
			continue
		}
		if !known {
			s.first[r.Route] = total
		}
		s.byRoute[r.Route] = total
		k := statsKey{isNew, r.Route, target}
		// The upstream restarted while its guard went on running.
		if total.calls < previous.calls || total.failed < previous.failed {
			h.restarted.add(k, &previous)
			previous = callStats{}
			delete(s.first, r.Route)
		}
		// The first report on an upstream may cover more than the recent window.
		if known {
			current.add(k, total.since(&previous))
		}
	}
}

// runningByRoute returns the ages of calls in progress of the routes that have some.
func runningByRoute(routeStats []call.RouteStats) map[string]call.LatencyHistogram {
	out := make(map[string]call.LatencyHistogram)
	for i := range routeStats {
		if r := &routeStats[i]; r.Running.CountFrom(0) > 0 {
			out[r.Route] = r.Running
		}
	}
	return out
}

// addRunning adds the calls in progress that guards have reported lately to the statistics
// of a period.
func (h *callHistory) addRunning(now clock.Milli, to statsByKey) {
	for target, s := range h.upstreams {
		if now-s.reportedAt > runningTTL {
			continue
		}
		for route, ages := range s.running {
			to.add(statsKey{s.isNew, route, target}, &callStats{running: ages})
		}
	}
}

// addRestarted adds the totals of a guard that was restarted to h.restarted.
func (h *callHistory) addRestarted(target string, s upstreamTotals) {
	for route, total := range s.byRoute {
		h.restarted.add(statsKey{s.isNew, route, target}, &total)
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
			out.add(statsKey{s.isNew, route, target}, &total)
		}
	}
	return out
}

// oldSinceFirst returns the old version's statistics by route since the first report on each
// upstream, shortly after the order.
func (h *callHistory) oldSinceFirst() map[string]*callStats {
	out := make(statsByKey)
	for target, s := range h.upstreams {
		for route, total := range s.byRoute {
			first := s.first[route]
			out.add(statsKey{s.isNew, route, target}, total.since(&first))
		}
	}
	return out.byRoute(false)
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
			out.add(k, &s)
		}
	}
	return out
}

// evidence returns the evidence on all calls since the order, that on failed or slow answers
// on all routes first, and on the recent ones.
func (h *callHistory) evidence(now clock.Milli) verdict {
	total, recent := h.totalStats(), h.statsSince(now-recentWindow)
	h.addRunning(now, total)
	h.addRunning(now, recent)
	newUpstreams := h.newVersionUpstreams()
	history := total.byRoute(false)
	oldTotal, oldRecent := h.oldSinceFirst(), recent.byRoute(false)
	criteria := []*criterion{&failedOrSlow, &failed}
	out := make(verdict, 0, 2*len(criteria))
	for _, c := range criteria {
		out = append(out, c.evidence(total, newUpstreams, c.badBaselines(history, oldTotal))...)
		out = append(out, c.evidence(recent, newUpstreams, c.badBaselines(history, oldRecent))...)
	}
	return out
}

// newVersionCalls returns the number of calls that the new version has finished.
func (h *callHistory) newVersionCalls() uint64 {
	return h.totalStats().byRoute(true)[""].calls
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
