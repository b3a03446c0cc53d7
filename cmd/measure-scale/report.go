package main

import (
	"fmt"
	"math"
	"slices"
	"sync"
)

// point is one measurement at a number of members.
type point struct{ x, y float64 }

// report prints key=value lines and collects the points of slopes. It is safe
// for concurrent use.
type report struct {
	mu     sync.Mutex
	failed int
	names  []string
	points map[string][]point
}

func (r *report) value(key string, members int, v float64) {
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

// goal prints a value with its bound from the design page.
func (r *report) goal(key string, members int, v, bound float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict := "pass"
	if math.IsNaN(v) || v > bound {
		verdict = "fail"
		r.failed++
	}
	fmt.Printf("goal=%s members=%d value=%.4g bound=%g verdict=%s\n", key, members, v, bound, verdict)
}

// fits prints the least-squares line through the points of each key and the
// largest distance of a point from it.
func (r *report) fits() {
	for _, key := range r.names {
		ps := r.points[key]
		if len(ps) < 2 {
			continue
		}
		a, b := line(ps)
		worst := 0.0
		for _, p := range ps {
			worst = max(worst, math.Abs(a+b*p.x-p.y))
		}
		fmt.Printf("fit=%s points=%d intercept=%.4g slope_per_member=%.4g max_error=%.4g at_3200=%.4g\n",
			key, len(ps), a, b, worst, a+b*3200)
	}
}

func line(ps []point) (intercept, slope float64) {
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

func quantile(vs []float64, q float64) float64 {
	if len(vs) == 0 {
		return math.NaN()
	}
	slices.Sort(vs)
	return vs[int(q*float64(len(vs)-1))]
}
