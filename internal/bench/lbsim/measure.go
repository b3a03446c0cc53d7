package lbsim

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Row is the measure of a scenario and policy over all seeds.
type Row struct {
	Scenario, Policy string
	// Median and Worst are taken figure by figure.
	Median, Worst Result
	all           []Result
}

// Measure runs scenarios with the policies whose name contains filter.
func Measure(scenarios []Scenario, filter string, seeds, jobs int) []Row {
	policies := append(Policies(), Policy{Name: IdealPolicy})
	policies = slices.DeleteFunc(policies, func(p Policy) bool { return !strings.Contains(p.Name, filter) })
	rows := make([]Row, 0, len(scenarios)*len(policies))
	for _, s := range scenarios {
		for _, p := range policies {
			rows = append(rows, Row{Scenario: s.Name, Policy: p.Name, all: make([]Result, seeds)})
		}
	}
	var wg sync.WaitGroup
	free := make(chan struct{}, jobs)
	for i := range rows {
		s, p := scenarios[i/len(policies)], policies[i%len(policies)]
		for k := range seeds {
			wg.Add(1)
			free <- struct{}{}
			go func() {
				defer wg.Done()
				rows[i].all[k] = one(s, p, uint64(k+1))
				<-free
			}()
		}
	}
	wg.Wait()
	for i := range rows {
		rows[i].sum()
	}
	return rows
}

func one(s Scenario, p Policy, seed uint64) Result {
	if p.Name == IdealPolicy {
		return RunIdeal(s, seed)
	}
	return Run(s, p, seed)
}

func (r *Row) sum() {
	times := func(get func(*Result) *clock.Milli) {
		xs := make([]clock.Milli, len(r.all))
		for i := range r.all {
			xs[i] = *get(&r.all[i])
		}
		slices.Sort(xs)
		*get(&r.Median), *get(&r.Worst) = xs[len(xs)/2], xs[len(xs)-1]
	}
	// The worst of a share of answers is the lowest, of a cost the highest.
	shares := func(low bool, get func(*Result) *float64) {
		xs := make([]float64, len(r.all))
		for i := range r.all {
			xs[i] = *get(&r.all[i])
		}
		slices.Sort(xs)
		*get(&r.Median), *get(&r.Worst) = xs[len(xs)/2], xs[len(xs)-1]
		if low {
			*get(&r.Worst) = xs[0]
		}
	}
	times(func(x *Result) *clock.Milli { return &x.P50 })
	times(func(x *Result) *clock.Milli { return &x.P99 })
	times(func(x *Result) *clock.Milli { return &x.P999 })
	times(func(x *Result) *clock.Milli { return &x.RecoveryTime })
	shares(true, func(x *Result) *float64 { return &x.Goodput })
	shares(true, func(x *Result) *float64 { return &x.OtherClassesGoodput })
	shares(false, func(x *Result) *float64 { return &x.Amplification })
	shares(false, func(x *Result) *float64 { return &x.HedgesPerCall })
	shares(false, func(x *Result) *float64 { return &x.LocalShare })
	shares(false, func(x *Result) *float64 { return &x.ProbeBytesPerSecond })
}

// String returns the row as key=value pairs.
func (r Row) String() string {
	m, w := &r.Median, &r.Worst
	s := fmt.Sprintf("scenario=%s policy=%s p50=%.1f p99=%.1f p99_worst=%.1f p999=%.1f goodput=%.4f goodput_worst=%.4f "+
		"amplification=%.3f hedges=%.4f local=%.3f probe_bytes=%.0f",
		r.Scenario, r.Policy, m.P50, m.P99, w.P99, m.P999, m.Goodput, w.Goodput, w.Amplification, m.HedgesPerCall, m.LocalShare, w.ProbeBytesPerSecond)
	if m.OtherClassesGoodput > 0 {
		s += fmt.Sprintf(" others=%.3f others_worst=%.3f", m.OtherClassesGoodput, w.OtherClassesGoodput)
	}
	if w.RecoveryTime > 0 {
		s += fmt.Sprintf(" recovery=%.0f recovery_worst=%.0f", m.RecoveryTime, w.RecoveryTime)
	}
	for reason, n := range r.all[0].ReasonCounts {
		if n > 0 {
			s += fmt.Sprintf(" refused_%s=%d", reason, n)
		}
	}
	return s
}
