package trial

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// Metric is a property of calls that is compared.
type Metric int

// The metrics. Slower, Slow and VerySlow are the calls above a latency that
// about a half, a quarter and 3% of the old version's recent calls exceed. With
// some noisy old targets, only the first still tells a moderate slowdown.
//
//go:generate ../../../bin/stringer -type Metric -linecomment
const (
	Errors   Metric = iota // errors
	AboveP50               // slower
	AboveP75               // slow
	AboveP97               // very_slow
	metrics                // metrics
)

// Verdict is what the comparison allows to say.
type Verdict int

// The verdicts.
//
//go:generate ../../../bin/stringer -type Verdict -linecomment
const (
	Inconclusive Verdict = iota // none
	Worse                       // worse
	NotWorse                    // not_worse
)

// Finding holds the numbers behind a verdict.
type Finding struct {
	Route  string
	Metric Metric
	// Value is the e-value; Needed is the value that convicts.
	EValue         float64
	RequiredEValue float64
	// The counts cover the last one to two minutes.
	OldCalls int64
	OldBad   int64
	NewCalls int64
	NewBad   int64
	// Threshold is the latency above which a call counts as slow.
	LatencyThreshold clock.Milli
	// Targets is the number of new targets that took part.
	NewTargets int
}

// IsSuspect reports whether the evidence is half way to a conviction. A version
// that is not worse is suspect at any time with a small probability only.
func (e *Finding) IsSuspect() bool {
	return e.EValue*e.EValue >= e.RequiredEValue
}

// RouteResult is the state of one route.
type RouteResult struct {
	Route    string
	Verdict  Verdict
	NewCalls int64
	OldCalls int64
}

// Result is the state of the whole comparison.
type Result struct {
	Verdict Verdict
	// Evidence belongs to the route that speaks most against the new version.
	Finding Finding
	Routes  []RouteResult
	// Short lists routes with too little traffic for a conclusion.
	LowTrafficRoutes []string
}
