package trial

// value returns the e-value against the new version.
func (r *route) value(trim bool) float64 {
	if !trim {
		return r.worse[whole].sum()
	}
	return r.worse[r.least()].sum()
}

// needed returns the e-value that convicts. The bound is spread over routes
// in the order of their appearance: the inverse weights sum up to one.
func (r *route) needed(alpha float64) float64 {
	return float64(r.rank*(r.rank+1)) / alpha
}

func (r *route) verdict(o Options) Verdict {
	if r.value(o.DropWorstTarget) >= r.needed(o.Alpha) {
		return Worse
	}
	if !r.good.holds(1 / o.Beta) {
		return Inconclusive
	}
	return NotWorse
}

func (r *route) counts() counts {
	return r.before.plus(&r.current)
}

func (r *route) evidence(t *Test) Finding {
	p := &r.worse[whole]
	if t.opts.DropWorstTarget {
		p = &r.worse[r.least()]
	}
	metric, most := Errors, -1.0
	for m := Errors; m < metrics; m++ {
		sum := 0.0
		for _, v := range p[m] {
			sum += v
		}
		if sum > most {
			metric, most = m, sum
		}
	}
	n := r.counts()
	e := Finding{
		Route: r.name, Metric: metric, EValue: p.sum(), RequiredEValue: r.needed(t.opts.Alpha),
		OldCalls: n.oldCalls, OldBad: n.oldBad[metric], NewCalls: n.newCalls, NewBad: n.newBad[metric],
		NewTargets: r.groups,
	}
	if metric != Errors {
		e.LatencyThreshold = BucketLowerBound(r.thresholds[metric])
	}
	return e
}
