package lbsim

import (
	"fmt"
	"math"
	"strings"
)

// Goal is one performance goal of the design page, measured.
type Goal struct {
	Name     string
	Scenario string
	Pass     bool
	// Median and Worst are ratios or values over the seeds; both must hold
	// the bound.
	Median, Worst, Bound float64
	// Ideal is the central queue in the same measure, zero when it is not
	// part of the goal. A bound below it is out of reach.
	Ideal float64
}

// String returns the goal as key=value pairs.
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
	idealP99    = 1.3
	baselineP99 = 0.5
	goodput     = 0.95
	recoverIn   = 1000
	interfere   = 1.1
	amplified   = 1.1
	// probeShare is the part of the 4 KB/s of a daemon that probes may take.
	probeShare = 2048
)

type table map[string]map[string]*Row

// Goals compares the rows with the goals. Goals whose rows are missing are
// left out.
func Goals(rows []Row) []Goal {
	t := table{}
	for i := range rows {
		r := &rows[i]
		if t[r.Scenario] == nil {
			t[r.Scenario] = map[string]*Row{}
		}
		t[r.Scenario][r.Policy] = r
	}
	var goals []Goal
	add := func(name, scenario string, bound float64, ratios []float64, least bool) {
		if len(ratios) > 0 {
			goals = append(goals, judge(name, scenario, bound, ratios, least))
		}
	}
	for _, s := range []string{"t8c3_load_0.70", "t7c4_load_0.70"} {
		add("p99_to_ideal", s, idealP99, t.ratios(s, s, IdealPolicy, p99), false)
	}
	for _, s := range []string{"slow_10x", "noisy_third", "fail_fast"} {
		best := t.best(s)
		add("p99_to_best_baseline", s, baselineP99, t.ratios(s, s, best, p99), false)
		if a, b := t[s][IdealPolicy], t[s][best]; a != nil && b != nil && len(goals) > 0 {
			goals[len(goals)-1].Ideal = p99(&a.Median) / p99(&b.Median)
		}
	}
	for _, s := range []string{"overload_1.3x", "overload_1.3x_background"} {
		add("goodput_to_ideal", s, goodput, t.ratios(s, s, IdealPolicy, func(r *Result) float64 { return r.Goodput }), true)
		add("recovery_ms", s, recoverIn, t.values(s, func(r *Result) float64 { return float64(r.RecoveryTime) }), false)
	}
	add("p99_with_background", "background", interfere, t.ratios("background", "no_background", CorePolicy, p99), false)
	add("p99_with_transfer", "transfer", interfere, t.ratios("transfer", "no_transfer", CorePolicy, p99), false)
	for i := range rows {
		if s := rows[i].Scenario; rows[i].Policy == CorePolicy {
			add("amplification", s, amplified, t.values(s, func(r *Result) float64 { return r.Amplification }), false)
			add("probe_bytes", s, probeShare, t.values(s, func(r *Result) float64 { return r.ProbeBytesPerSecond }), false)
		}
	}
	return goals
}

func p99(r *Result) float64 { return float64(r.P99) }

func judge(name, scenario string, bound float64, xs []float64, least bool) Goal {
	row := Row{all: make([]Result, len(xs))}
	for i := range xs {
		row.all[i].Goodput, row.all[i].Amplification = xs[i], xs[i]
	}
	row.sum()
	g := Goal{Name: name, Scenario: scenario, Bound: bound, Median: row.Median.Amplification}
	if least {
		g.Worst = row.Worst.Goodput
		g.Pass = g.Worst >= bound
	} else {
		g.Worst = row.Worst.Amplification
		g.Pass = g.Worst <= bound
	}
	return g
}

func (t table) values(s string, get func(*Result) float64) []float64 {
	r := t[s][CorePolicy]
	if r == nil {
		return nil
	}
	xs := make([]float64, 0, len(r.all))
	for i := range r.all {
		xs = append(xs, get(&r.all[i]))
	}
	return xs
}

func (t table) ratios(s, s2, p2 string, get func(*Result) float64) []float64 {
	a, b := t[s][CorePolicy], t[s2][p2]
	if a == nil || b == nil {
		return nil
	}
	xs := make([]float64, 0, len(a.all))
	for i := range a.all {
		xs = append(xs, get(&a.all[i])/get(&b.all[i]))
	}
	return xs
}

// best returns the baseline with the lowest median p99.
func (t table) best(s string) string {
	best, least := "", math.Inf(1)
	for name, r := range t[s] {
		if name != IdealPolicy && !strings.HasPrefix(name, CorePolicy) && float64(r.Median.P99) < least {
			best, least = name, float64(r.Median.P99)
		}
	}
	return best
}
