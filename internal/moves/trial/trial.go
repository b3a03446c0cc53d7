package trial

import (
	"sort"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// lateWindows is how many windows a judge waits for samples that are on the
// way; samples arrive within one window and one network delay.
const lateWindows = 1

const (
	// maxOpen bounds the windows that a faulty clock can open ahead of time.
	maxOpen = 20
	// maxRoutes bounds the memory of a test.
	maxRoutes = 64
)

// Options are the settings of a Test.
type Options struct {
	// Alpha bounds the probability that a version that is not worse is
	// convicted at any time of the move, over all routes and metrics.
	Alpha float64
	// Beta bounds the probability that a version worse by the margin is found
	// not worse.
	Beta float64
	// ErrorOdds and SlowOdds are the odds ratios that are tolerated.
	ToleratedErrorOdds float64
	ToleratedSlowOdds  float64
	// ErrorMargin and SlowMargin define what "not worse" excludes: so much
	// more errors as a share of calls, and such odds of a slow call. They apply
	// to the service, the next two to each route.
	ErrorMargin      float64
	SlowMargin       float64
	RouteErrorMargin float64
	RouteSlowMargin  float64
	// Trim drops the most suspicious target of the new version.
	DropWorstTarget bool
	// MinCalls is the number of calls of each version in the last one to two
	// minutes below which a route has too little traffic.
	MinCalls int64
}

// Option changes one setting.
type Option func(*Options)

// WithAlpha sets the bound of wrong convictions.
func WithAlpha(a float64) Option { return func(o *Options) { o.Alpha = a } }

// WithDropWorstTarget sets whether the most suspicious target is dropped.
func WithDropWorstTarget(t bool) Option { return func(o *Options) { o.DropWorstTarget = t } }

// Test compares a new version with all others of a service.
type Test struct {
	opts    Options
	version string
	// scale is the expected number of windows; it spreads the error bound
	// over the moments at which a fault can begin.
	scale   float64
	routes  map[string]*route
	order   []*route
	windows map[int64]map[string]*pair
	closed  int64
	targets map[string]int
	// good is the proof for all routes together.
	good  proof
	first int64
	// seen holds the window in which each cold target appeared.
	seen map[string]int64
	// Late counts samples whose window was closed already or lies far ahead.
	LateSamples int64
}

// pair is one window of one route.
type pair struct {
	old    cell
	groups map[int]*cell
}

// coldWindows is how long the latencies of a cold target are left out: 10 s
// are more than a sound upstream takes to be ramped up.
const coldWindows = 20

// New returns a test of a move that is expected to last for length.
func New(version string, length clock.Milli, opts ...Option) *Test {
	o := Options{
		Alpha: 0.001, Beta: 0.02, ToleratedErrorOdds: 1.3, ToleratedSlowOdds: 1.5,
		ErrorMargin: 0.01, SlowMargin: 3, RouteErrorMargin: 0.05, RouteSlowMargin: 6,
		DropWorstTarget: true, MinCalls: 50,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return &Test{
		opts: o, version: version, scale: max(float64(length/WindowDuration), 1),
		routes: make(map[string]*route), windows: make(map[int64]map[string]*pair),
		targets: make(map[string]int), seen: make(map[string]int64), closed: -1,
	}
}

// AddSample takes in a guard's sample.
func (t *Test) AddSample(sample *Sample) {
	s := *sample
	if s.Calls <= 0 || s.Cold && s.Version != t.version {
		return
	}
	if s.Cold && t.warming(&s) {
		s.Latency = [BucketCount]int64{}
	}
	if s.Window <= t.closed {
		t.LateSamples++
		return
	}
	w, ok := t.windows[s.Window]
	if !ok {
		if len(t.windows) >= maxOpen {
			t.LateSamples++
			return
		}
		w = make(map[string]*pair)
		t.windows[s.Window] = w
	}
	p, ok := w[s.Route]
	if !ok {
		p = &pair{groups: make(map[int]*cell)}
		w[s.Route] = p
	}
	if s.Version != t.version {
		p.old.add(&s)
		return
	}
	g := t.group(s.Target)
	c, ok := p.groups[g]
	if !ok {
		c = &cell{}
		p.groups[g] = c
	}
	c.add(&s)
}

// warming reports whether the latencies of a cold target are left out. A
// version that fails or is slow is never ramped up and stays cold, so its
// errors count from the start and its latencies soon after.
func (t *Test) warming(s *Sample) bool {
	first, ok := t.seen[s.Target]
	if !ok {
		first = s.Window
		t.seen[s.Target] = first
	}
	return s.Window-first < coldWindows
}

// group assigns a target to one of a bounded number of groups, so that the
// cost does not grow with the number of targets.
func (t *Test) group(target string) int {
	g, ok := t.targets[target]
	if !ok {
		g = len(t.targets) % maxGroups
		t.targets[target] = g
	}
	return g
}

// Step closes the windows that are complete at now.
func (t *Test) Step(now clock.Milli) {
	last := WindowNumber(now) - 1 - lateWindows
	due := make([]int64, 0, len(t.windows))
	for w := range t.windows {
		if w <= last {
			due = append(due, w)
		} else if w > last+maxOpen {
			delete(t.windows, w)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	for _, w := range due {
		t.close(w, t.windows[w])
		delete(t.windows, w)
	}
	t.closed = max(t.closed, last)
}

func (t *Test) close(w int64, pairs map[string]*pair) {
	names := make([]string, 0, len(pairs))
	for name := range pairs {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(t.order) == 0 {
		t.first = w
	}
	t.good.begin(prior(float64(w-t.first), t.scale, soundAtOnce))
	for _, name := range names {
		r, ok := t.routes[name]
		if !ok && len(t.order) >= maxRoutes {
			continue
		}
		if !ok {
			r = newRoute(name, len(t.order)+1, w)
			t.routes[name] = r
			t.order = append(t.order, r)
		}
		r.close(t, w, pairs[name])
	}
}

// minRouteShare is the share of a service's calls below which a route is not
// waited for before the version is found not worse.
const minRouteShare = 0.02

// Result sums up all routes.
func (t *Test) Result() Result {
	var res Result
	var total int64
	strongest := -1.0
	for _, r := range t.order {
		n := r.counts()
		total += n.newCalls + n.oldCalls
		if v := r.value(t.opts.DropWorstTarget) / r.needed(t.opts.Alpha); v > strongest {
			strongest = v
			res.Finding = r.evidence(t)
		}
	}
	good := len(t.order) > 0 && t.good.holds(1/t.opts.Beta)
	for _, r := range t.order {
		n := r.counts()
		rr := RouteResult{Route: r.name, Verdict: r.verdict(t.opts), NewCalls: n.newCalls, OldCalls: n.oldCalls}
		res.Routes = append(res.Routes, rr)
		if n.newCalls < t.opts.MinCalls || n.oldCalls < t.opts.MinCalls {
			res.LowTrafficRoutes = append(res.LowTrafficRoutes, r.name)
		}
		switch {
		case rr.Verdict == Worse:
			res.Verdict = Worse
		case rr.Verdict == Inconclusive && float64(n.newCalls+n.oldCalls) >= minRouteShare*float64(total):
			good = false
		}
	}
	if res.Verdict == Inconclusive && good {
		res.Verdict = NotWorse
	}
	return res
}
