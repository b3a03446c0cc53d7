package canary

import (
	"fmt"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// fewestFailed and failedShare are the failures of a route at the new
	// version that speak against it, if its share is also failedMargin above
	// that at the old version.
	fewestFailed = 3
	failedShare  = 0.15
	failedMargin = 0.1
	// fewestSlow is the number of calls that are compared, slowRatio the ratio
	// of mean service times that speaks against the version. VMs with busy
	// neighbours stay below it.
	fewestSlow = 6
	slowRatio  = 3.0
)

// sum counts the calls of a route at one version.
type sum struct {
	calls  uint64
	failed uint64
	spent  clock.Milli
}

func (s *sum) add(t call.Tally) {
	s.calls += t.Calls
	s.failed += t.Failed
	s.spent += t.Spent
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

type source struct {
	incarnation uint64
	isNew       bool
	tallies     map[string]call.Tally
}

// evidence keeps the newest counts of each upstream.
type evidence struct {
	sources map[string]source
}

func newEvidence() evidence {
	return evidence{sources: make(map[string]source)}
}

func (e *evidence) observe(target string, incarnation uint64, isNew bool, tallies []call.Tally) {
	s, ok := e.sources[target]
	if ok && s.incarnation > incarnation {
		return
	}
	if !ok || s.incarnation != incarnation || s.isNew != isNew {
		s = source{incarnation: incarnation, isNew: isNew, tallies: make(map[string]call.Tally)}
		e.sources[target] = s
	}
	for _, t := range tallies {
		if t.Calls >= s.tallies[t.Route].Calls {
			s.tallies[t.Route] = t
		}
	}
}

// sums adds the counts up by route.
func (e *evidence) sums(isNew bool) map[string]*sum {
	out := make(map[string]*sum)
	for _, s := range e.sources {
		if s.isNew != isNew {
			continue
		}
		for route, t := range s.tallies {
			if out[route] == nil {
				out[route] = new(sum)
			}
			out[route].add(t)
		}
	}
	return out
}

func (e *evidence) calls(isNew bool) uint64 {
	n := uint64(0)
	for _, s := range e.sums(isNew) {
		n += s.calls
	}
	return n
}

// bad returns what speaks against the new version, empty for nothing.
func (e *evidence) bad() string {
	old := e.sums(false)
	for route, n := range e.sums(true) {
		o := old[route]
		if o == nil {
			o = new(sum)
		}
		if n.failed >= fewestFailed && n.share() >= failedShare && n.share() >= o.share()+failedMargin {
			return fmt.Sprintf("route %s: %d of %d calls failed, %d of %d at other versions", route, n.failed, n.calls, o.failed, o.calls)
		}
		ok, base := n.calls-n.failed, o.calls-o.failed
		if ok >= fewestSlow && base >= fewestSlow && n.mean() > slowRatio*o.mean() {
			return fmt.Sprintf("route %s: calls take %.0f ms, %.0f ms at other versions", route, float64(n.mean()), float64(o.mean()))
		}
	}
	return ""
}
