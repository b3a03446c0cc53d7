package canary

import (
	"fmt"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// fewestFailed is the number of failures at the new version that speak
	// against it, if their share is high enough and above that at the old one.
	fewestFailed = 3
	// reachedPart is the part of its share that the new version must really get
	// before the share counts as tried, apart from the few chanceCalls. Cold
	// upstreams get less.
	reachedPart = 0.6
	chanceCalls = 2
	// fewestCompared is the number of calls that are worth a comparison.
	fewestCompared = 6
	// slowRatio is the ratio of mean service times that speaks against the new
	// version. VMs with busy neighbours stay below it.
	slowRatio = 3.0
	// slowMargin is the least difference of mean service times that counts, as
	// short calls vary by a few milliseconds.
	slowMargin = 20 * clock.Millisecond
)

// bounds are the failures of a version that speak against it.
type bounds struct {
	// share is that of all its calls, margin how far it is above the share at
	// the old version.
	share, margin float64
}

var (
	// sinceOrder holds for all calls since the order.
	sinceOrder = bounds{share: 0.15, margin: 0.1}
	// lately holds for the last calls: a version that fails only under load has
	// many good calls behind it.
	lately = bounds{share: 0.08, margin: 0.05}
)

// sum counts calls at one version.
type sum struct {
	calls  uint64
	failed uint64
	spent  clock.Milli
}

func (s *sum) add(t sum) {
	s.calls += t.calls
	s.failed += t.failed
	s.spent += t.spent
}

func (s *sum) share() float64 {
	if s.calls == 0 {
		return 0
	}
	return float64(s.failed) / float64(s.calls)
}

func (s *sum) mean() clock.Milli {
	if s.calls == s.failed {
		return 0
	}
	return s.spent / clock.Milli(s.calls-s.failed)
}

// key names what is counted apart.
type key struct {
	isNew  bool
	route  string
	target string
}

// counts are the calls of some time.
type counts map[key]sum

func (c counts) add(k key, s sum) {
	total := c[k]
	total.add(s)
	c[k] = total
}

// version adds the counts of a version up, for each route and, under the empty
// name, for all of them.
func (c counts) version(isNew bool) map[string]*sum {
	out := map[string]*sum{"": {}}
	for k, s := range c {
		if k.isNew != isNew {
			continue
		}
		if out[k.route] == nil {
			out[k.route] = new(sum)
		}
		out[k.route].add(s)
		out[""].add(s)
	}
	return out
}

// spread reports whether calls of the new version that meet a condition came
// from two of its upstreams, or from the only one. An empty route stands for
// all.
func (c counts) spread(upstreams int, route string, is func(*sum) bool) bool {
	at := make(map[string]bool)
	for k, s := range c {
		if k.isNew && (route == "" || k.route == route) && is(&s) {
			at[k.target] = true
		}
	}
	return len(at) >= min(2, max(1, upstreams))
}

func hasFailed(s *sum) bool { return s.failed > 0 }

// bad returns what speaks against the new version with a number of upstreams,
// compared with the old one's calls by route; it is empty for nothing. One
// bad upstream is not the version's fault.
func (c counts) bad(b bounds, upstreams int, old map[string]*sum) string {
	spread := c.spread(upstreams, "", hasFailed)
	for route, n := range c.version(true) {
		o := old[route]
		if o == nil {
			continue
		}
		if spread && b.failing(n, o) {
			return fmt.Sprintf("%s: %d of %d calls failed, %d of %d at other versions", named(route), n.failed, n.calls, o.failed, o.calls)
		}
		if n.slower(o) && c.spread(upstreams, route, func(s *sum) bool { return s.takesLonger(o) }) {
			return fmt.Sprintf("%s: calls take %.0f ms, %.0f ms at other versions", named(route), float64(n.mean()), float64(o.mean()))
		}
	}
	return ""
}

func (b *bounds) failing(n, o *sum) bool {
	return n.failed >= fewestFailed && n.share() >= b.share && n.share() >= o.share()+b.margin
}

// baseline returns the old version's calls to compare the last ones with: its
// own last ones where there are enough, else all since the order.
func baseline(since, recent map[string]*sum) map[string]*sum {
	out := make(map[string]*sum, len(since))
	for route, s := range since {
		out[route] = s
		if r := recent[route]; r != nil && r.calls >= fewestCompared {
			out[route] = r
		}
	}
	return out
}

// slower reports whether enough calls take notably longer than others.
func (s *sum) slower(o *sum) bool {
	if s.calls-s.failed < fewestCompared || o.calls-o.failed < fewestCompared {
		return false
	}
	return s.takesLonger(o)
}

func (s *sum) takesLonger(o *sum) bool {
	return s.mean() > slowRatio*o.mean() && s.mean() > o.mean()+slowMargin
}

func named(route string) string {
	if route == "" {
		return "all routes"
	}
	return "route " + route
}

// doubt reports whether the new version seems to fail more often than the old
// one, though perhaps not often enough to take it back.
func (c counts) doubt(upstreams int, old map[string]*sum) bool {
	n, o := c.version(true)[""], old[""]
	return c.spread(upstreams, "", hasFailed) && n.share() > o.share()+lately.margin
}

// reached reports whether the new version really got its share of the calls.
func (c counts) reached(share float64) bool {
	n, o := c.version(true)[""], c.version(false)[""]
	return float64(n.calls+chanceCalls) >= reachedPart*share*float64(n.calls+o.calls)
}
