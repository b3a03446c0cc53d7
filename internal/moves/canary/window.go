package canary

import (
	"maps"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// recentTime is how far back the last calls reach. A few calls fit in, also
	// while the new version gets one in ten.
	recentTime = 2 * clock.Second
	// sliceTime is the resolution of recentTime.
	sliceTime = 200 * clock.Millisecond
)

// source is the newest report of an upstream.
type source struct {
	incarnation uint64
	isNew       bool
	totals      map[string]sum
}

// slice holds the calls of a short time.
type slice struct {
	from  clock.Milli
	calls counts
}

// evidence turns the totals that guards report into the calls since the order
// and the last ones.
type evidence struct {
	sources map[string]source
	// past has what restarted guards had counted before.
	past   counts
	slices []slice
}

func newEvidence() evidence {
	return evidence{sources: make(map[string]source), past: make(counts)}
}

// observe takes in the totals of an upstream. Those of a restarted guard begin
// at zero again.
func (e *evidence) observe(now clock.Milli, target string, incarnation uint64, isNew bool, tallies []call.RouteStats) {
	s, known := e.sources[target]
	if known && s.incarnation > incarnation {
		return
	}
	if !known || s.incarnation != incarnation || s.isNew != isNew {
		e.keep(target, s)
		s = source{incarnation: incarnation, isNew: isNew, totals: make(map[string]sum)}
		e.sources[target] = s
	}
	calls := e.slice(now)
	for _, t := range tallies {
		total, old := sum{calls: t.Calls, failed: t.Failed, spent: t.TotalServiceTime}, s.totals[t.Route]
		s.totals[t.Route] = total
		k := key{isNew, t.Route, target}
		// The upstream began anew beside the same guard.
		if total.calls < old.calls || total.failed < old.failed {
			e.past.add(k, old)
			old = sum{}
		}
		// The first report of a guard may cover a long time.
		if known {
			calls.add(k, sum{calls: total.calls - old.calls, failed: total.failed - old.failed, spent: total.spent - old.spent})
		}
	}
}

// keep puts the totals of a guard that was restarted to those of the past.
func (e *evidence) keep(target string, s source) {
	for route, total := range s.totals {
		e.past.add(key{s.isNew, route, target}, total)
	}
}

// slice returns the counts of the present short time.
func (e *evidence) slice(now clock.Milli) counts {
	if n := len(e.slices); n == 0 || now-e.slices[n-1].from >= sliceTime {
		e.slices = append(e.slices, slice{from: now, calls: make(counts)})
	}
	for now-e.slices[0].from > recentTime {
		e.slices = e.slices[1:]
	}
	return e.slices[len(e.slices)-1].calls
}

// since returns the calls of the upstreams since the order.
func (e *evidence) since() counts {
	out := maps.Clone(e.past)
	for target, s := range e.sources {
		for route, total := range s.totals {
			out.add(key{s.isNew, route, target}, total)
		}
	}
	return out
}

// after returns the calls from an instant on, as far as they are kept.
func (e *evidence) after(from clock.Milli) counts {
	out := make(counts)
	for _, s := range e.slices {
		if s.from < from {
			continue
		}
		for k, c := range s.calls {
			out.add(k, c)
		}
	}
	return out
}

// figures is what a judge looks at.
type figures struct {
	// since has the calls since the order, recent the last ones.
	since, recent counts
	// oldSince and oldRecent are the old version's calls to compare them with.
	oldSince, oldRecent map[string]*sum
	// upstreams is the number of the new version's upstreams.
	upstreams int
}

func (e *evidence) figures(now clock.Milli) figures {
	f := figures{since: e.since(), recent: e.after(now - recentTime), upstreams: e.upstreams()}
	f.oldSince = f.since.version(false)
	f.oldRecent = baseline(f.oldSince, f.recent.version(false))
	return f
}

// bad returns what speaks against the new version, empty for nothing.
func (f *figures) bad() string {
	if why := f.since.bad(sinceOrder, f.upstreams, f.oldSince); why != "" {
		return why
	}
	if why := f.recent.bad(lately, f.upstreams, f.oldRecent); why != "" {
		return "lately, " + why
	}
	return ""
}

// doubt reports whether the last calls raise doubt about the new version.
func (f *figures) doubt() bool {
	return f.recent.doubt(f.upstreams, f.oldRecent)
}

// upstreams is the number of the new version's upstreams.
func (e *evidence) upstreams() int {
	n := 0
	for _, s := range e.sources {
		if s.isNew {
			n++
		}
	}
	return n
}
