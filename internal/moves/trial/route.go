package trial

import "gitlab.com/cranberrytack/cranberrytack/internal/core/call"

const (
	// maxGroups is the maximum number of target groups of a route, each with a
	// leave-one-out process.
	maxGroups = 16
	// noGroup is the index of the process that leaves no group out.
	noGroup = maxGroups
	// switchFactor is the factor of evidence that it costs to leave out another
	// group, since a noisy period may move from target to target. With a lower
	// factor, random differences between the targets of a bad version could
	// hide its fault.
	switchFactor = 20
	// windowsPerCount is the number of windows after which the counts rotate.
	// Reported counts cover the current and the previous period.
	windowsPerCount = 120
	// histogramDecay is the decay per window of the old version's histogram; it
	// corresponds to a time constant of 25 s.
	histogramDecay = 0.98
	// minHistogramCalls is the minimum number of old calls from which latency
	// thresholds are derived.
	minHistogramCalls = 100
	// maxExponent bounds log-likelihood ratios so that products stay within a
	// float64.
	maxExponent = 200
	// maxEValue is far above every required e-value and keeps sums finite.
	maxEValue = 1e100
)

// oddsGrid lists the alternatives of the mixture, as multiples of the tolerated
// odds ratio.
var oddsGrid = [...]float64{1.6, 3, 6, 15, 60}

// slowFractions are the fractions of old calls above the latency thresholds.
var slowFractions = [metricCount]float64{AboveP50: 0.5, AboveP75: 0.25, AboveP97: 0.03}

// worseProcess holds the e-values against the new version on one route with one
// group left out, per metric and alternative of oddsGrid.
type worseProcess [metricCount][len(oddsGrid)]float64

func (p *worseProcess) sum() float64 {
	total := 0.0
	for m := range p {
		for _, v := range p[m] {
			total += v
		}
	}
	return total
}

type counts struct {
	oldCalls, newCalls int64
	oldBad, newBad     [metricCount]int64
}

func (c *counts) plus(d *counts) counts {
	sum := *c
	sum.oldCalls += d.oldCalls
	sum.newCalls += d.newCalls
	for m := range sum.oldBad {
		sum.oldBad[m] += d.oldBad[m]
		sum.newBad[m] += d.newBad[m]
	}
	return sum
}

type route struct {
	name    string
	ordinal int
	// firstWindow is the window in which the route appeared.
	firstWindow   int64
	histogram     [call.LatencyBuckets]float64
	oldErrors     float64
	thresholds    [metricCount]int
	hasThresholds bool
	worse         [maxGroups + 1]worseProcess
	// seenGroups marks the groups that had calls.
	seenGroups     [maxGroups]bool
	groupCount     int
	notWorse       notWorseProcess
	countedWindows int
	currentCounts  counts
	previousCounts counts
}

func newRoute(name string, ordinal int, window int64) *route {
	return &route{name: name, ordinal: ordinal, firstWindow: window}
}

// closeWindow applies one complete window.
func (r *route) closeWindow(t *SequentialTest, w int64, p *routeWindow) {
	weight := startWeight(float64(w-r.firstWindow), t.expectedWindows, faultFirstWeight)
	all := r.sumGroups(p)
	// The group is selected before the window is evaluated, which keeps the
	// test valid: a version that is worse is also worse on its other targets.
	leftOut := r.weakestProcess()
	if all.calls > 0 && p.old.calls > 0 {
		for m := Errors; m < metricCount; m++ {
			if m == Errors || r.hasThresholds {
				r.updateWorse(t, m, weight, p, all)
			}
		}
		r.updateNotWorse(t, w, p, subtractGroup(all, p.groups[leftOut]))
	}
	r.updateThresholds(&p.old, all)
	r.limitToWeakest()
	r.countedWindows++
	if r.countedWindows >= windowsPerCount {
		r.previousCounts, r.currentCounts, r.countedWindows = r.currentCounts, counts{}, 0
	}
}

// sumGroups returns the sum of all groups. The process of a new group starts
// from the process with no group left out, because the group had no calls until
// now.
func (r *route) sumGroups(p *routeWindow) *sampleSum {
	all := &sampleSum{}
	for g := range maxGroups {
		c, ok := p.groups[g]
		if !ok {
			continue
		}
		if !r.seenGroups[g] {
			r.seenGroups[g] = true
			r.groupCount++
			r.worse[g] = r.worse[noGroup]
		}
		all.calls += c.calls
		all.errors += c.errors
		for i, n := range c.latency {
			all.latency[i] += n
		}
	}
	return all
}

// subtractGroup returns the sum of all groups but one. A nil group changes
// nothing.
func subtractGroup(all, group *sampleSum) *sampleSum {
	if group == nil {
		return all
	}
	c := *all
	c.calls -= group.calls
	c.errors -= group.errors
	for i, n := range group.latency {
		c.latency[i] -= n
	}
	return &c
}

func (r *route) updateWorse(t *SequentialTest, m Metric, weight float64, p *routeWindow, all *sampleSum) {
	th := r.thresholds[m]
	oldBad, newBad := p.old.badCallsFor(m, th), all.badCallsFor(m, th)
	r.currentCounts.oldBad[m] += oldBad
	r.currentCounts.newBad[m] += newBad
	odds := t.opts.ToleratedSlowOdds
	if m == Errors {
		odds = t.opts.ToleratedErrorOdds
	}
	r.updateProcess(noGroup, m, odds, weight, p.old.callsFor(m), oldBad, all.callsFor(m), newBad)
	for g := range maxGroups {
		if !r.seenGroups[g] {
			continue
		}
		calls, bad := all.callsFor(m), newBad
		if c, ok := p.groups[g]; ok {
			calls -= c.callsFor(m)
			bad -= c.badCallsFor(m, th)
		}
		r.updateProcess(g, m, odds, weight, p.old.callsFor(m), oldBad, calls, bad)
	}
}

// updateProcess multiplies the e-values of one process by the likelihood ratio
// of a window. Given the total number of bad calls of both versions, the bad
// calls of a new version that is not worse are at most binomial with
// probability q: the fraction of calls that go to the new version, raised by
// the tolerated odds ratio. Changes of the overall rate of bad calls therefore
// have no effect.
func (r *route) updateProcess(g int, m Metric, odds, weight float64, oldCalls, oldBad, newCalls, newBad int64) {
	if oldCalls == 0 {
		newCalls = 0
		oldCalls = 1
	}
	ratio := float64(newCalls) / float64(oldCalls)
	q := newVersionProbability(ratio, odds)
	for i, theta := range oddsGrid {
		v := r.worse[g][m][i] + weight/float64(int(metricCount)*len(oddsGrid))
		if newCalls > 0 && oldBad+newBad > 0 {
			a := newVersionProbability(ratio, odds*theta)
			v *= likelihoodRatio(a, q, newBad, oldBad)
		}
		r.worse[g][m][i] = min(v, maxEValue)
	}
}

// updateThresholds updates the histogram and the thresholds for the next
// windows. Using only earlier windows keeps the e-values valid.
func (r *route) updateThresholds(old, all *sampleSum) {
	r.currentCounts.oldCalls += old.calls
	r.currentCounts.newCalls += all.calls
	r.oldErrors = r.oldErrors*histogramDecay + float64(old.errors)
	total := 0.0
	for i := range r.histogram {
		r.histogram[i] = r.histogram[i]*histogramDecay + float64(old.latency[i])
		total += r.histogram[i]
	}
	r.hasThresholds = total >= minHistogramCalls
	for m := AboveP50; m < metricCount; m++ {
		above := 0.0
		th := call.LatencyBuckets
		for th > 1 && above+r.histogram[th-1] <= total*slowFractions[m] {
			th--
			above += r.histogram[th]
		}
		r.thresholds[m] = min(th, call.LatencyBuckets-1)
	}
}

// limitToWeakest limits each process to switchFactor times the weakest one, so
// that another group can be left out from now on at the cost of this factor. It
// only lowers e-values, so it cannot cause a false positive.
func (r *route) limitToWeakest() {
	weakest := r.worse[r.weakestProcess()]
	maxSum := switchFactor * weakest.sum()
	if r.groupCount < 2 {
		return
	}
	for g := range r.worse {
		if (g < maxGroups && !r.seenGroups[g]) || r.worse[g].sum() <= maxSum {
			continue
		}
		for m := range weakest {
			for i, v := range weakest[m] {
				r.worse[g][m][i] = min(r.worse[g][m][i], switchFactor*v)
			}
		}
	}
}

// weakestProcess returns the index of the process with the least evidence
// against the new version. With a single group, none is left out.
func (r *route) weakestProcess() int {
	weakest := noGroup
	if r.groupCount < 2 {
		return weakest
	}
	for g := range maxGroups {
		if r.seenGroups[g] && r.worse[g].sum() < r.worse[weakest].sum() {
			weakest = g
		}
	}
	return weakest
}
