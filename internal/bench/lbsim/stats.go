package lbsim

import (
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/probe"
)

// Result is what one run measured. Latencies and shares are those of
// interactive calls that were due in the scenario's window; a call without
// an answer counts with its deadline.
type Result struct {
	P50, P99, P999 clock.Milli
	// Goodput is the share of calls answered within the deadline.
	Goodput float64
	// Amplification is the number of attempts per call.
	Amplification float64
	HedgesPerCall float64
	// Local is the share of attempts in the entry's own data centre.
	LocalShare float64
	// Others is the share of transfers and background calls answered.
	OtherClassesGoodput float64
	// Recovery is the time after an overload until calls are as fast as
	// before.
	RecoveryTime clock.Milli
	// ProbeBytes is the probing cost per daemon and second.
	ProbeBytesPerSecond float64
	ReasonCounts        map[call.Reason]int
}

type stats struct {
	s         Scenario
	latencies []clock.Milli
	due       int
	good      int
	other     int
	otherDone int
	calls     int
	attempts  int
	hedges    int
	local     int
	probes    int
	reasons   map[call.Reason]int
	after     []sample
}

type sample struct{ due, latency clock.Milli }

func newStats(s Scenario) *stats {
	return &stats{s: s, reasons: map[call.Reason]int{}}
}

func (t *stats) arrived(x *caller) {
	t.calls++
	if !t.counts(x) {
		return
	}
	if x.request.Class == call.Interactive {
		t.due++
	} else {
		t.other++
	}
}

// counts leaves out the calls at the end that a run does not wait for.
func (t *stats) counts(x *caller) bool {
	to := min(t.s.WindowEnd, t.s.Duration-CallTimeout)
	if x.request.Class != call.Interactive {
		to = min(t.s.WindowEnd, t.s.Duration-10*CallTimeout)
	}
	return x.start >= t.s.WindowStart && x.start < to
}

func (t *stats) answered(now clock.Milli, x *caller) {
	l := now - x.start
	if x.request.Class == call.Interactive && x.start >= FaultStart {
		t.after = append(t.after, sample{x.start, min(l, CallTimeout)})
	}
	if !t.counts(x) {
		return
	}
	switch {
	case x.request.Class != call.Interactive:
		t.otherDone++
	case l <= CallTimeout:
		t.good++
		t.latencies = append(t.latencies, l)
	}
}

func (t *stats) refused(x *caller) {
	if x.request.Class == call.Interactive && x.start >= FaultStart {
		t.after = append(t.after, sample{x.start, CallTimeout})
	}
}

func (t *stats) result(entries int) Result {
	for range t.due - len(t.latencies) {
		t.latencies = append(t.latencies, CallTimeout)
	}
	slices.Sort(t.latencies)
	seconds := float64(t.s.Duration / clock.Second)
	return Result{
		P50: quantile(t.latencies, 0.5), P99: quantile(t.latencies, 0.99), P999: quantile(t.latencies, 0.999),
		Goodput:             share(t.good, t.due),
		Amplification:       share(t.attempts, t.calls),
		HedgesPerCall:       share(t.hedges, t.calls),
		LocalShare:          share(t.local, t.attempts),
		OtherClassesGoodput: share(t.otherDone, t.other),
		RecoveryTime:        t.recovery(),
		ProbeBytesPerSecond: float64(t.probes*probe.RoundTripBytes) / seconds / float64(entries+t.s.Targets),
		ReasonCounts:        t.reasons,
	}
}

// recoveryBucket is the period over which recovery looks at the p95: it
// holds some hundred calls.
const recoveryBucket = 100 * clock.Millisecond

// recovery returns when the last bucket with slow calls after the window
// ends, relative to the end of the window.
func (t *stats) recovery() clock.Milli {
	end := t.s.WindowEnd
	n := int((t.s.Duration - CallTimeout - end) / recoveryBucket)
	if n <= 0 {
		return 0
	}
	buckets := make([][]clock.Milli, n)
	for _, x := range t.after {
		if i := int((x.due - end) / recoveryBucket); x.due >= end && i < n {
			buckets[i] = append(buckets[i], x.latency)
		}
	}
	for i := n - 1; i >= 0; i-- {
		slices.Sort(buckets[i])
		if quantile(buckets[i], 0.95) > 4*MeanServiceTime {
			return clock.Milli(i+1) * recoveryBucket
		}
	}
	return 0
}

func quantile(sorted []clock.Milli, q float64) clock.Milli {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func share(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
