package trial

import "math"

// faultFirstWeight and notWorseFirstWeight are the weights of the processes
// that start in the first window. They are large because a fault is most often
// visible from the start, as is a version without one.
const (
	faultFirstWeight    = 0.25
	notWorseFirstWeight = 0.5
)

// startWeight returns the weight of a process that starts the given number of
// windows after the first one, where first is the weight of the first window
// and scale about the number of windows of the move. The weights of all windows
// sum to 1.
func startWeight(sinceStart, scale, first float64) float64 {
	if sinceStart <= 0 {
		return first
	}
	sinceStart--
	return (1 - first) * scale / ((sinceStart + scale) * (sinceStart + scale + 1))
}

// notWorseProcess accumulates, per metric, the evidence (e-values) that a
// version is not worse by a margin.
type notWorseProcess [metricCount]float64

// addStart adds the weight of the processes that start in the current window.
func (p *notWorseProcess) addStart(weight float64) {
	for m := range p {
		p[m] += weight
	}
}

// updateErrors applies the errors of the new version in one window, given the
// error rate of the old version and the margin.
func (p *notWorseProcess) updateErrors(baseRate, margin float64, bad, calls int64) {
	baseRate = min(baseRate, 0.5)
	p.multiply(Errors, likelihoodRatio(baseRate, baseRate+max(margin, baseRate), bad, calls-bad))
}

// updateSlow applies the slow calls of both versions in one window, given the
// ratio of their numbers of calls and the odds ratio to exclude.
func (p *notWorseProcess) updateSlow(m Metric, ratio, odds float64, oldBad, newBad int64) {
	if oldBad+newBad > 0 {
		p.multiply(m, likelihoodRatio(newVersionProbability(ratio, 1), newVersionProbability(ratio, odds), newBad, oldBad))
	}
}

func (p *notWorseProcess) multiply(m Metric, factor float64) {
	p[m] = min(p[m]*factor, maxEValue)
}

// reaches reports whether the e-value of every metric is at least the required
// one.
func (p *notWorseProcess) reaches(required float64) bool {
	for _, v := range p {
		if v < required {
			return false
		}
	}
	return true
}

// updateNotWorse applies a window to the processes of the route and of the
// service. newSum holds the calls of the new version, without those of the group
// that is left out. The margins of a route are wider because it has fewer calls.
func (r *route) updateNotWorse(t *SequentialTest, w int64, p *routeWindow, newSum *sampleSum) {
	base := r.errorRate()
	r.notWorse.addStart(startWeight(float64(w-r.firstWindow), t.expectedWindows, notWorseFirstWeight))
	r.notWorse.updateErrors(base, t.opts.RouteErrorMargin, newSum.errors, newSum.calls)
	t.notWorse.updateErrors(base, t.opts.ErrorMargin, newSum.errors, newSum.calls)
	newTimed := newSum.callsFor(AboveP75)
	if !r.hasThresholds || newTimed == 0 {
		return
	}
	ratio := float64(newTimed) / float64(max(p.old.callsFor(AboveP75), 1))
	for m := AboveP50; m < metricCount; m++ {
		th := r.thresholds[m]
		oldBad, newBad := p.old.badCallsFor(m, th), newSum.badCallsFor(m, th)
		r.notWorse.updateSlow(m, ratio, t.opts.RouteSlowMargin, oldBad, newBad)
		t.notWorse.updateSlow(m, ratio, t.opts.SlowMargin, oldBad, newBad)
	}
}

// errorRate estimates the error rate of the old version from earlier windows.
// The pseudo-counts, half an error in minHistogramCalls calls, keep it above 0.
func (r *route) errorRate() float64 {
	total := 0.0
	for _, n := range r.histogram {
		total += n
	}
	return (r.oldErrors + 0.5) / (total + minHistogramCalls)
}

// newVersionProbability returns the probability that a bad call belongs to the
// new version, where ratio is the number of calls of the new version per call
// of the old one and odds the odds ratio of a bad call.
func newVersionProbability(ratio, odds float64) float64 {
	return ratio * odds / (1 + ratio*odds)
}

// likelihoodRatio returns the ratio of the binomial likelihoods under the
// probabilities p and q.
func likelihoodRatio(p, q float64, hits, misses int64) float64 {
	e := float64(hits)*math.Log(p/q) + float64(misses)*math.Log((1-p)/(1-q))
	return math.Exp(max(-maxExponent, min(maxExponent, e)))
}
