package trial

import "gitlab.com/cranberrytack/cranberrytack/internal/core/call"

// eValue returns the e-value against the new version, without its worst group
// of targets if dropWorst is set.
func (r *route) eValue(dropWorst bool) float64 {
	if !dropWorst {
		return r.worse[noGroup].sum()
	}
	return r.worse[r.weakestProcess()].sum()
}

// requiredEValue returns the e-value at which the route is found worse. The
// error bound alpha is divided among the routes in order of appearance: route n
// gets the fraction 1/(n(n+1)), and these fractions sum to 1.
func (r *route) requiredEValue(alpha float64) float64 {
	return float64(r.ordinal*(r.ordinal+1)) / alpha
}

func (r *route) verdict(o Options) Verdict {
	if r.eValue(o.DropWorstTarget) >= r.requiredEValue(o.Alpha) {
		return Worse
	}
	if !r.notWorse.reaches(1 / o.Beta) {
		return Inconclusive
	}
	return NotWorse
}

func (r *route) counts() counts {
	return r.previousCounts.plus(&r.currentCounts)
}

func (r *route) finding(t *SequentialTest) Finding {
	process := &r.worse[noGroup]
	if t.opts.DropWorstTarget {
		process = &r.worse[r.weakestProcess()]
	}
	metric, maxSum := Errors, -1.0
	for m := Errors; m < metricCount; m++ {
		sum := 0.0
		for _, v := range process[m] {
			sum += v
		}
		if sum > maxSum {
			metric, maxSum = m, sum
		}
	}
	counts := r.counts()
	f := Finding{
		Route: r.name, Metric: metric, EValue: process.sum(), RequiredEValue: r.requiredEValue(t.opts.Alpha),
		OldCalls: counts.oldCalls, OldBad: counts.oldBad[metric], NewCalls: counts.newCalls, NewBad: counts.newBad[metric],
		NewTargets: r.groupCount,
	}
	if metric != Errors {
		f.LatencyThreshold = call.LatencyBucketStart(r.thresholds[metric])
	}
	return f
}
