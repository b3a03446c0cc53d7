package trial

import "math"

// The weights of the first window: a fault or a sound version is most often
// visible from the start.
const (
	faultAtOnce = 0.25
	soundAtOnce = 0.5
)

// prior is the weight of a process that begins in window i of a move of about
// scale windows, with a given weight for the first one. The weights of all i
// sum up to 1.
func prior(i, scale, first float64) float64 {
	if i <= 0 {
		return first
	}
	i--
	return (1 - first) * scale / ((i + scale) * (i + scale + 1))
}

// proof gathers evidence that a version is not worse by a margin. Each metric
// has its own process, and all of them must be large.
type proof [metrics]float64

// begin adds the weight of a process that starts with this window.
func (p *proof) begin(start float64) {
	for m := range p {
		p[m] += start
	}
}

// errors takes in calls of the new version, given the old version's rate.
func (p *proof) errors(base, margin float64, bad, calls int64) {
	base = min(base, 0.5)
	p.multiply(Errors, likelihood(base, base+max(margin, base), bad, calls-bad))
}

// slow takes in the slow calls of both versions, given the ratio of their
// calls and the odds that are to be excluded.
func (p *proof) slow(m Metric, ratio, odds float64, oldBad, newBad int64) {
	if oldBad+newBad > 0 {
		p.multiply(m, likelihood(tilt(ratio, 1), tilt(ratio, odds), newBad, oldBad))
	}
}

func (p *proof) multiply(m Metric, by float64) {
	p[m] = min(p[m]*by, maxValue)
}

// holds reports whether all metrics reach the value.
func (p *proof) holds(needed float64) bool {
	for _, v := range p {
		if v < needed {
			return false
		}
	}
	return true
}

// prove takes a window into the proof of the route and of the service. The
// margins of a single route are wider, as it has fewer calls.
func (r *route) prove(t *Test, w int64, p *pair, all *cell) {
	base := r.errorRate()
	r.good.begin(prior(float64(w-r.first), t.scale, soundAtOnce))
	r.good.errors(base, t.opts.RouteErrorMargin, all.errors, all.calls)
	t.good.errors(base, t.opts.ErrorMargin, all.errors, all.calls)
	timed := all.of(AboveP75)
	if !r.known || timed == 0 {
		return
	}
	ratio := float64(timed) / float64(max(p.old.of(AboveP75), 1))
	for m := AboveP50; m < metrics; m++ {
		th := r.thresholds[m]
		oldBad, newBad := p.old.bad(m, th), all.bad(m, th)
		r.good.slow(m, ratio, t.opts.RouteSlowMargin, oldBad, newBad)
		t.good.slow(m, ratio, t.opts.SlowMargin, oldBad, newBad)
	}
}

// errorRate returns the old version's rate in earlier windows.
func (r *route) errorRate() float64 {
	total := 0.0
	for _, n := range r.histogram {
		total += n
	}
	return (r.oldErrors + 0.5) / (total + minHistogram)
}

// tilt returns the probability that a bad call is one of the new version.
func tilt(ratio, odds float64) float64 {
	return ratio * odds / (1 + ratio*odds)
}

// likelihood returns the ratio of the binomial probabilities under p and q.
func likelihood(p, q float64, hits, misses int64) float64 {
	e := float64(hits)*math.Log(p/q) + float64(misses)*math.Log((1-p)/(1-q))
	return math.Exp(max(-maxExponent, min(maxExponent, e)))
}
