package trial

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// Metric is a property of calls by which the versions are compared.
type Metric int

// The metrics. AboveP50, AboveP75 and AboveP97 count the calls above a latency
// that about 50%, 25% and 3% of the recent calls of the old version exceed. If
// some old targets are noisy, only AboveP50 reveals a moderate slowdown.
//
//go:generate ../../../bin/stringer -type Metric -linecomment
const (
	Errors      Metric = iota // errors
	AboveP50                  // slower
	AboveP75                  // slow
	AboveP97                  // very_slow
	metricCount               // metrics
)

// Verdict is the conclusion of a comparison.
type Verdict int

// The possible verdicts.
//
//go:generate ../../../bin/stringer -type Verdict -linecomment
const (
	Inconclusive Verdict = iota // none
	Worse                       // worse
	NotWorse                    // not_worse
)

// Finding holds the numbers behind a verdict, for one route and metric.
type Finding struct {
	Route  string
	Metric Metric
	// EValue is the e-value against the new version; RequiredEValue is the
	// e-value at which it is found worse.
	EValue         float64
	RequiredEValue float64
	// The counts cover the last one to two minutes.
	OldCalls int64
	OldBad   int64
	NewCalls int64
	NewBad   int64
	// LatencyThreshold is the latency above which a call is slow; zero for
	// Errors.
	LatencyThreshold clock.Milli
	// NewTargets is the number of targets of the new version with calls, at
	// most the number of groups.
	NewTargets int
}

// IsSuspect reports whether the evidence is, on a logarithmic scale, at least
// half of what is required. This is improbable at any time for a version that
// is not worse.
func (f *Finding) IsSuspect() bool {
	return f.EValue*f.EValue >= f.RequiredEValue
}

// RouteResult is the verdict on one route, with the calls of the last one to
// two minutes.
type RouteResult struct {
	Route    string
	Verdict  Verdict
	NewCalls int64
	OldCalls int64
}

// Result is the state of a comparison over all routes.
type Result struct {
	Verdict Verdict
	// Finding belongs to the route with the most evidence against the new
	// version.
	Finding Finding
	Routes  []RouteResult
	// LowTrafficRoutes lists the routes with too few calls for a conclusion.
	LowTrafficRoutes []string
}
