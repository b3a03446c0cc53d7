package lbsim

import (
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/probe"
)

// Result holds the measurements of a run. Latencies and Goodput are those of the
// interactive calls that arrived in the scenario's window. The latency of a call
// without a response in time is CallTimeout.
type Result struct {
	P50, P99, P999 clock.Milli
	// Goodput is the fraction of calls answered before their deadline.
	Goodput float64
	// Amplification is the number of attempts per call.
	Amplification float64
	HedgesPerCall float64
	// LocalFraction is the fraction of attempts within the entry's data centre.
	LocalFraction float64
	// OtherClassesGoodput is the fraction of transfers and background calls that
	// were answered.
	OtherClassesGoodput float64
	// RecoveryTime is the time from the end of the window until the p95 latency
	// stays below four times the mean service time.
	RecoveryTime clock.Milli
	// ProbeBytesPerSecond is the traffic of probes per daemon.
	ProbeBytesPerSecond float64
	ReasonCounts        map[call.Reason]int
}

type stats struct {
	scenario          Scenario
	latencies         []clock.Milli
	interactiveCalls  int
	goodCalls         int
	otherCalls        int
	otherAnswered     int
	calls             int
	attempts          int
	hedges            int
	localAttempts     int
	probes            int
	reasons           map[call.Reason]int
	samplesAfterFault []sample
}

type sample struct{ start, latency clock.Milli }

func newStats(scenario Scenario) *stats {
	return &stats{scenario: scenario, reasons: map[call.Reason]int{}}
}

func (s *stats) recordArrival(cc *clientCall) {
	s.calls++
	if !s.inWindow(cc) {
		return
	}
	if cc.request.Class == call.Interactive {
		s.interactiveCalls++
	} else {
		s.otherCalls++
	}
}

// inWindow reports whether a call arrived in the measured window. The window ends
// early enough for the run to include the call's deadline.
func (s *stats) inWindow(cc *clientCall) bool {
	end := min(s.scenario.WindowEnd, s.scenario.Duration-CallTimeout)
	if cc.request.Class != call.Interactive {
		end = min(s.scenario.WindowEnd, s.scenario.Duration-10*CallTimeout)
	}
	return cc.start >= s.scenario.WindowStart && cc.start < end
}

func (s *stats) recordAnswer(now clock.Milli, cc *clientCall) {
	latency := now - cc.start
	if cc.request.Class == call.Interactive && cc.start >= FaultStart {
		s.samplesAfterFault = append(s.samplesAfterFault, sample{cc.start, min(latency, CallTimeout)})
	}
	if !s.inWindow(cc) {
		return
	}
	switch {
	case cc.request.Class != call.Interactive:
		s.otherAnswered++
	case latency <= CallTimeout:
		s.goodCalls++
		s.latencies = append(s.latencies, latency)
	}
}

func (s *stats) recordRefusal(cc *clientCall) {
	if cc.request.Class == call.Interactive && cc.start >= FaultStart {
		s.samplesAfterFault = append(s.samplesAfterFault, sample{cc.start, CallTimeout})
	}
}

func (s *stats) result(entries int) Result {
	for range s.interactiveCalls - len(s.latencies) {
		s.latencies = append(s.latencies, CallTimeout)
	}
	slices.Sort(s.latencies)
	seconds := float64(s.scenario.Duration / clock.Second)
	return Result{
		P50: quantile(s.latencies, 0.5), P99: quantile(s.latencies, 0.99), P999: quantile(s.latencies, 0.999),
		Goodput:             ratio(s.goodCalls, s.interactiveCalls),
		Amplification:       ratio(s.attempts, s.calls),
		HedgesPerCall:       ratio(s.hedges, s.calls),
		LocalFraction:       ratio(s.localAttempts, s.attempts),
		OtherClassesGoodput: ratio(s.otherAnswered, s.otherCalls),
		RecoveryTime:        s.recoveryTime(),
		ProbeBytesPerSecond: float64(s.probes*probe.RoundTripBytes) / seconds / float64(entries+s.scenario.Targets),
		ReasonCounts:        s.reasons,
	}
}

// recoveryBucket is the period over which recoveryTime computes the p95 latency.
// It contains several hundred calls.
const recoveryBucket = 100 * clock.Millisecond

// recoveryTime returns the time from the end of the window to the end of the last
// bucket whose p95 latency exceeds four times the mean service time.
func (s *stats) recoveryTime() clock.Milli {
	end := s.scenario.WindowEnd
	n := int((s.scenario.Duration - CallTimeout - end) / recoveryBucket)
	if n <= 0 {
		return 0
	}
	buckets := make([][]clock.Milli, n)
	for _, x := range s.samplesAfterFault {
		if i := int((x.start - end) / recoveryBucket); x.start >= end && i < n {
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

func ratio(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}
