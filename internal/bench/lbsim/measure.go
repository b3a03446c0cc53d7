package lbsim

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Row holds the results of a scenario with a policy over all seeds.
type Row struct {
	Scenario, Policy string
	// Median and Worst are computed for each field of Result separately.
	Median, Worst Result
	results       []Result
}

// Measure runs the scenarios with each policy whose name contains filter, once
// for each seed from 1 to seeds. It runs up to jobs simulations concurrently.
func Measure(scenarios []Scenario, filter string, seeds, jobs int) []Row {
	policies := append(Policies(), Policy{Name: IdealPolicy})
	policies = slices.DeleteFunc(policies, func(p Policy) bool { return !strings.Contains(p.Name, filter) })
	rows := make([]Row, 0, len(scenarios)*len(policies))
	for _, s := range scenarios {
		for _, p := range policies {
			rows = append(rows, Row{Scenario: s.Name, Policy: p.Name, results: make([]Result, seeds)})
		}
	}
	var wg sync.WaitGroup
	jobSlots := make(chan struct{}, jobs)
	for i := range rows {
		s, p := scenarios[i/len(policies)], policies[i%len(policies)]
		for k := range seeds {
			wg.Add(1)
			jobSlots <- struct{}{}
			go func() {
				defer wg.Done()
				rows[i].results[k] = runOnce(s, p, uint64(k+1))
				<-jobSlots
			}()
		}
	}
	wg.Wait()
	for i := range rows {
		rows[i].aggregate()
	}
	return rows
}

func runOnce(s Scenario, p Policy, seed uint64) Result {
	if p.Name == IdealPolicy {
		return RunIdeal(s, seed)
	}
	return Run(s, p, seed)
}

func (r *Row) aggregate() {
	aggregateTimes := func(get func(*Result) *clock.Milli) {
		values := make([]clock.Milli, len(r.results))
		for i := range r.results {
			values[i] = *get(&r.results[i])
		}
		slices.Sort(values)
		*get(&r.Median), *get(&r.Worst) = values[len(values)/2], values[len(values)-1]
	}
	// The worst value is the lowest for goodput and the highest for costs.
	aggregateRatios := func(lowestIsWorst bool, get func(*Result) *float64) {
		values := make([]float64, len(r.results))
		for i := range r.results {
			values[i] = *get(&r.results[i])
		}
		slices.Sort(values)
		*get(&r.Median), *get(&r.Worst) = values[len(values)/2], values[len(values)-1]
		if lowestIsWorst {
			*get(&r.Worst) = values[0]
		}
	}
	aggregateTimes(func(x *Result) *clock.Milli { return &x.P50 })
	aggregateTimes(func(x *Result) *clock.Milli { return &x.P99 })
	aggregateTimes(func(x *Result) *clock.Milli { return &x.P999 })
	aggregateTimes(func(x *Result) *clock.Milli { return &x.RecoveryTime })
	aggregateRatios(true, func(x *Result) *float64 { return &x.Goodput })
	aggregateRatios(true, func(x *Result) *float64 { return &x.OtherClassesGoodput })
	aggregateRatios(false, func(x *Result) *float64 { return &x.Amplification })
	aggregateRatios(false, func(x *Result) *float64 { return &x.HedgesPerCall })
	aggregateRatios(false, func(x *Result) *float64 { return &x.LocalFraction })
	aggregateRatios(false, func(x *Result) *float64 { return &x.ProbeBytesPerSecond })
}

// String returns the row as a line of key=value pairs.
func (r Row) String() string {
	m, w := &r.Median, &r.Worst
	s := fmt.Sprintf("scenario=%s policy=%s p50=%.1f p99=%.1f p99_worst=%.1f p999=%.1f goodput=%.4f goodput_worst=%.4f "+
		"amplification=%.3f hedges=%.4f local=%.3f probe_bytes=%.0f",
		r.Scenario, r.Policy, m.P50, m.P99, w.P99, m.P999, m.Goodput, w.Goodput, w.Amplification, m.HedgesPerCall, m.LocalFraction, w.ProbeBytesPerSecond)
	if m.OtherClassesGoodput > 0 {
		s += fmt.Sprintf(" others=%.3f others_worst=%.3f", m.OtherClassesGoodput, w.OtherClassesGoodput)
	}
	if w.RecoveryTime > 0 {
		s += fmt.Sprintf(" recovery=%.0f recovery_worst=%.0f", m.RecoveryTime, w.RecoveryTime)
	}
	for reason, n := range r.results[0].ReasonCounts {
		if n > 0 {
			s += fmt.Sprintf(" refused_%s=%d", reason, n)
		}
	}
	return s
}
