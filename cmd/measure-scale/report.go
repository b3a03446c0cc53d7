package main

import (
	"fmt"
	"math"
	"slices"
	"sync"
)

// point is a value y measured with x members.
type point struct{ x, y float64 }

// report prints key=value lines and collects the points for the fitted lines. It
// is safe for concurrent use, except for printFits.
type report struct {
	mu     sync.Mutex
	failed int
	names  []string
	points map[string][]point
}

func (r *report) addValue(key string, members int, v float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Printf("%s members=%d value=%.4g\n", key, members, v)
	if r.points == nil {
		r.points = map[string][]point{}
	}
	if _, ok := r.points[key]; !ok {
		r.names = append(r.names, key)
	}
	r.points[key] = append(r.points[key], point{float64(members), v})
}

// checkGoal prints a value with its upper bound and counts it as failed if it is
// larger or NaN.
func (r *report) checkGoal(key string, members int, v, bound float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := "pass"
	if math.IsNaN(v) || v > bound {
		result = "fail"
		r.failed++
	}
	fmt.Printf("goal=%s members=%d value=%.4g bound=%g verdict=%s\n", key, members, v, bound, result)
}

// printFits prints the least-squares line through the points of each key and the
// largest vertical distance of a point from it.
func (r *report) printFits() {
	for _, key := range r.names {
		ps := r.points[key]
		if len(ps) < 2 {
			continue
		}
		a, b := fitLine(ps)
		worst := 0.0
		for _, p := range ps {
			worst = max(worst, math.Abs(a+b*p.x-p.y))
		}
		fmt.Printf("fit=%s points=%d intercept=%.4g slope_per_member=%.4g max_error=%.4g at_3200=%.4g\n",
			key, len(ps), a, b, worst, a+b*3200)
	}
}

func fitLine(ps []point) (intercept, slope float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(ps))
	for _, p := range ps {
		sx += p.x
		sy += p.y
		sxx += p.x * p.x
		sxy += p.x * p.y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - slope*sx) / n, slope
}

// quantile sorts vs and returns its q-quantile, or NaN if it is empty.
func quantile(vs []float64, q float64) float64 {
	if len(vs) == 0 {
		return math.NaN()
	}
	slices.Sort(vs)
	return vs[int(q*float64(len(vs)-1))]
}
