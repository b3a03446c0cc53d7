package trial

import (
	"sort"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// graceWindows is the number of windows for which a judge waits for late
// samples. Samples arrive within one window and one network delay.
const graceWindows = 1

const (
	// maxOpenWindows limits the open windows, as a daemon with a faulty clock
	// may send samples from the future.
	maxOpenWindows = 20
	// maxRoutes limits the memory of a test.
	maxRoutes = 64
)

// Options are the settings of a SequentialTest; New sets the defaults.
type Options struct {
	// Alpha is the maximum probability that a version which is not worse is
	// found worse at any time of the move, over all routes and metrics.
	Alpha float64
	// Beta is the maximum probability that a version which is worse by the
	// margin is found not worse.
	Beta float64
	// ToleratedErrorOdds and ToleratedSlowOdds are the odds ratios of an error
	// and of a slow call, new version to old, that do not count as worse.
	ToleratedErrorOdds float64
	ToleratedSlowOdds  float64
	// The margins are what a version that is not worse must stay below: the
	// increase of the error rate (a fraction of calls) and the odds ratio of a
	// slow call. ErrorMargin and SlowMargin apply to the service, the other two
	// to each route.
	ErrorMargin      float64
	SlowMargin       float64
	RouteErrorMargin float64
	RouteSlowMargin  float64
	// DropWorstTarget leaves out the group of targets with the most evidence
	// against the new version, usually a single target.
	DropWorstTarget bool
	// MinCalls is the number of calls of each version in the last one to two
	// minutes below which a route has too little traffic.
	MinCalls int64
}

// Option changes one of the Options.
type Option func(*Options)

// WithAlpha sets the maximum probability of a false positive.
func WithAlpha(a float64) Option { return func(o *Options) { o.Alpha = a } }

// WithDropWorstTarget sets whether the target with the most evidence against
// the new version is left out.
func WithDropWorstTarget(t bool) Option { return func(o *Options) { o.DropWorstTarget = t } }

// SequentialTest compares a new version of a service with all its other
// versions.
type SequentialTest struct {
	opts    Options
	version string
	// expectedWindows spreads the error bounds over the times at which a fault
	// can start.
	expectedWindows float64
	routes          map[string]*route
	orderedRoutes   []*route
	windows         map[int64]map[string]*routeWindow
	lastClosed      int64
	targetGroups    map[string]int
	// notWorse covers all routes together.
	notWorse notWorseProcess
	// firstWindow is the first window that was closed.
	firstWindow int64
	// coldSince holds the window in which each cold target appeared.
	coldSince map[string]int64
	// LateSamples counts the dropped samples: those of closed windows, and
	// those that would have opened more than maxOpenWindows windows.
	LateSamples int64
}

// routeWindow holds the calls of one route in one window: those of the old
// versions, and those of the new version by group.
type routeWindow struct {
	old    sampleSum
	groups map[int]*sampleSum
}

// coldWindows is the number of windows for which the latencies of a cold target
// are ignored. Its 10 s exceed the ramp-up time of a sound upstream.
const coldWindows = 20

// New returns a test of the given version for a move with the expected
// duration.
func New(version string, duration clock.Milli, opts ...Option) *SequentialTest {
	options := Options{
		Alpha: 0.001, Beta: 0.02, ToleratedErrorOdds: 1.3, ToleratedSlowOdds: 1.5,
		ErrorMargin: 0.01, SlowMargin: 3, RouteErrorMargin: 0.05, RouteSlowMargin: 6,
		DropWorstTarget: true, MinCalls: 50,
	}
	for _, opt := range opts {
		opt(&options)
	}
	return &SequentialTest{
		opts: options, version: version, expectedWindows: max(float64(duration/WindowDuration), 1),
		routes: make(map[string]*route), windows: make(map[int64]map[string]*routeWindow),
		targetGroups: make(map[string]int), coldSince: make(map[string]int64), lastClosed: -1,
	}
}

// AddSample adds a sample of a guard. It ignores cold samples of old versions
// and drops samples of closed windows.
func (t *SequentialTest) AddSample(sample *Sample) {
	s := *sample
	if s.Calls <= 0 || s.Cold && s.Version != t.version {
		return
	}
	if s.Cold && t.isWarmingUp(&s) {
		s.Latency = [call.LatencyBuckets]int64{}
	}
	if s.Window <= t.lastClosed {
		t.LateSamples++
		return
	}
	w, ok := t.windows[s.Window]
	if !ok {
		if len(t.windows) >= maxOpenWindows {
			t.LateSamples++
			return
		}
		w = make(map[string]*routeWindow)
		t.windows[s.Window] = w
	}
	p, ok := w[s.Route]
	if !ok {
		p = &routeWindow{groups: make(map[int]*sampleSum)}
		w[s.Route] = p
	}
	if s.Version != t.version {
		p.old.add(&s)
		return
	}
	g := t.groupOf(s.Target)
	c, ok := p.groups[g]
	if !ok {
		c = &sampleSum{}
		p.groups[g] = c
	}
	c.add(&s)
}

// isWarmingUp reports whether the latencies of a cold target are ignored. A
// version that fails or is slow never completes its cold start, so its errors
// count from the start and its latencies after coldWindows.
func (t *SequentialTest) isWarmingUp(s *Sample) bool {
	since, ok := t.coldSince[s.Target]
	if !ok {
		since = s.Window
		t.coldSince[s.Target] = since
	}
	return s.Window-since < coldWindows
}

// groupOf returns the group of a target. The number of groups is limited so
// that the cost does not grow with the number of targets.
func (t *SequentialTest) groupOf(target string) int {
	g, ok := t.targetGroups[target]
	if !ok {
		g = len(t.targetGroups) % maxGroups
		t.targetGroups[target] = g
	}
	return g
}

// Step evaluates the windows that are complete at now.
func (t *SequentialTest) Step(now clock.Milli) {
	last := WindowNumber(now) - 1 - graceWindows
	due := make([]int64, 0, len(t.windows))
	for w := range t.windows {
		if w <= last {
			due = append(due, w)
		} else if w > last+maxOpenWindows {
			delete(t.windows, w)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i] < due[j] })
	for _, w := range due {
		t.closeWindow(w, t.windows[w])
		delete(t.windows, w)
	}
	t.lastClosed = max(t.lastClosed, last)
}

func (t *SequentialTest) closeWindow(w int64, windows map[string]*routeWindow) {
	names := make([]string, 0, len(windows))
	for name := range windows {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(t.orderedRoutes) == 0 {
		t.firstWindow = w
	}
	t.notWorse.addStart(startWeight(float64(w-t.firstWindow), t.expectedWindows, notWorseFirstWeight))
	for _, name := range names {
		r, ok := t.routes[name]
		if !ok && len(t.orderedRoutes) >= maxRoutes {
			continue
		}
		if !ok {
			r = newRoute(name, len(t.orderedRoutes)+1, w)
			t.routes[name] = r
			t.orderedRoutes = append(t.orderedRoutes, r)
		}
		r.closeWindow(t, w, windows[name])
	}
}

// minRouteFraction is the minimum fraction of the calls of a service for which a
// route must be NotWorse before the result is NotWorse.
const minRouteFraction = 0.02

// Result combines the results of all routes.
func (t *SequentialTest) Result() Result {
	var res Result
	var total int64
	strongest := -1.0
	for _, r := range t.orderedRoutes {
		counts := r.counts()
		total += counts.newCalls + counts.oldCalls
		if v := r.eValue(t.opts.DropWorstTarget) / r.requiredEValue(t.opts.Alpha); v > strongest {
			strongest = v
			res.Finding = r.finding(t)
		}
	}
	notWorse := len(t.orderedRoutes) > 0 && t.notWorse.reaches(1/t.opts.Beta)
	for _, r := range t.orderedRoutes {
		n := r.counts()
		routeResult := RouteResult{Route: r.name, Verdict: r.verdict(t.opts), NewCalls: n.newCalls, OldCalls: n.oldCalls}
		res.Routes = append(res.Routes, routeResult)
		if n.newCalls < t.opts.MinCalls || n.oldCalls < t.opts.MinCalls {
			res.LowTrafficRoutes = append(res.LowTrafficRoutes, r.name)
		}
		switch {
		case routeResult.Verdict == Worse:
			res.Verdict = Worse
		case routeResult.Verdict == Inconclusive && float64(n.newCalls+n.oldCalls) >= minRouteFraction*float64(total):
			notWorse = false
		}
	}
	if res.Verdict == Inconclusive && notWorse {
		res.Verdict = NotWorse
	}
	return res
}
