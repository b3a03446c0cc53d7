package lbsim

import (
	"fmt"
	"math"
	"strings"
)

// Goal is the measured result of a performance goal.
type Goal struct {
	Name     string
	Scenario string
	Pass     bool
	// Median and Worst are taken over the seeds. Worst must be within Bound.
	Median, Worst, Bound float64
	// Ideal is the value of the ideal central queue, or zero if it does not
	// apply. A bound below Ideal can't be met.
	Ideal float64
}

// String returns the goal as a line of key=value pairs.
func (g Goal) String() string {
	result := "fail"
	if g.Pass {
		result = "pass"
	}
	s := fmt.Sprintf("goal=%s scenario=%s result=%s median=%.3f worst=%.3f bound=%.3f",
		g.Name, g.Scenario, result, g.Median, g.Worst, g.Bound)
	if g.Ideal > 0 {
		s += fmt.Sprintf(" ideal=%.3f", g.Ideal)
	}
	return s
}

const (
	maxP99ToIdeal        = 1.3
	maxP99ToBaseline     = 0.5
	minGoodputToIdeal    = 0.95
	maxRecoveryMS        = 1000
	maxP99WithOtherClass = 1.1
	maxAmplification     = 1.1
	// maxProbeBytesPerSecond is half of a daemon's traffic budget of 4 KB/s.
	maxProbeBytesPerSecond = 2048
)

// resultTable holds the rows by scenario and policy.
type resultTable map[string]map[string]*Row

// Goals evaluates the performance goals. It omits goals whose rows are missing.
func Goals(rows []Row) []Goal {
	t := resultTable{}
	for i := range rows {
		r := &rows[i]
		if t[r.Scenario] == nil {
			t[r.Scenario] = map[string]*Row{}
		}
		t[r.Scenario][r.Policy] = r
	}
	var goals []Goal
	add := func(name, scenario string, bound float64, values []float64, boundIsMin bool) {
		if len(values) > 0 {
			goals = append(goals, evaluateGoal(name, scenario, bound, values, boundIsMin))
		}
	}
	for _, s := range []string{"t8c3_load_0.70", "t7c4_load_0.70"} {
		add("p99_to_ideal", s, maxP99ToIdeal, t.coreRatios(s, s, IdealPolicy, p99), false)
	}
	for _, s := range []string{"slow_10x", "noisy_third", "fail_fast"} {
		best := t.bestBaseline(s)
		add("p99_to_best_baseline", s, maxP99ToBaseline, t.coreRatios(s, s, best, p99), false)
		if a, b := t[s][IdealPolicy], t[s][best]; a != nil && b != nil && len(goals) > 0 {
			goals[len(goals)-1].Ideal = p99(&a.Median) / p99(&b.Median)
		}
	}
	for _, s := range []string{"overload_1.3x", "overload_1.3x_background"} {
		add("goodput_to_ideal", s, minGoodputToIdeal, t.coreRatios(s, s, IdealPolicy, func(r *Result) float64 { return r.Goodput }), true)
		add("recovery_ms", s, maxRecoveryMS, t.coreValues(s, func(r *Result) float64 { return float64(r.RecoveryTime) }), false)
	}
	add("p99_with_background", "background", maxP99WithOtherClass, t.coreRatios("background", "no_background", CorePolicy, p99), false)
	add("p99_with_transfer", "transfer", maxP99WithOtherClass, t.coreRatios("transfer", "no_transfer", CorePolicy, p99), false)
	for i := range rows {
		if s := rows[i].Scenario; rows[i].Policy == CorePolicy {
			add("amplification", s, maxAmplification, t.coreValues(s, func(r *Result) float64 { return r.Amplification }), false)
			add("probe_bytes", s, maxProbeBytesPerSecond, t.coreValues(s, func(r *Result) float64 { return r.ProbeBytesPerSecond }), false)
		}
	}
	return goals
}

func p99(r *Result) float64 { return float64(r.P99) }

// evaluateGoal aggregates values with Row.aggregate, which takes the lowest
// goodput and the highest amplification as the worst value.
func evaluateGoal(name, scenario string, bound float64, values []float64, boundIsMin bool) Goal {
	row := Row{results: make([]Result, len(values))}
	for i := range values {
		row.results[i].Goodput, row.results[i].Amplification = values[i], values[i]
	}
	row.aggregate()
	g := Goal{Name: name, Scenario: scenario, Bound: bound, Median: row.Median.Amplification}
	if boundIsMin {
		g.Worst = row.Worst.Goodput
		g.Pass = g.Worst >= bound
	} else {
		g.Worst = row.Worst.Amplification
		g.Pass = g.Worst <= bound
	}
	return g
}

func (t resultTable) coreValues(scenario string, get func(*Result) float64) []float64 {
	r := t[scenario][CorePolicy]
	if r == nil {
		return nil
	}
	values := make([]float64, 0, len(r.results))
	for i := range r.results {
		values = append(values, get(&r.results[i]))
	}
	return values
}

func (t resultTable) coreRatios(scenario, refScenario, refPolicy string, get func(*Result) float64) []float64 {
	a, b := t[scenario][CorePolicy], t[refScenario][refPolicy]
	if a == nil || b == nil {
		return nil
	}
	values := make([]float64, 0, len(a.results))
	for i := range a.results {
		values = append(values, get(&a.results[i])/get(&b.results[i]))
	}
	return values
}

// bestBaseline returns the baseline with the lowest median p99.
func (t resultTable) bestBaseline(scenario string) string {
	best, lowestP99 := "", math.Inf(1)
	for name, r := range t[scenario] {
		if name != IdealPolicy && !strings.HasPrefix(name, CorePolicy) && float64(r.Median.P99) < lowestP99 {
			best, lowestP99 = name, float64(r.Median.P99)
		}
	}
	return best
}
