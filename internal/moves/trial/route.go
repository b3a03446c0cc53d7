package trial

const (
	// maxGroups bounds the number of leave-one-out processes of a route.
	maxGroups = 16
	// whole is the process that leaves no group out.
	whole = maxGroups
	// switchPrice is the factor of evidence at which another group may be left
	// out, as a noisy period moves between targets. A lower price would let the
	// chance differences between the targets of a bad version excuse it.
	switchPrice = 20
	// countWindows is half the number of windows that reported counts cover.
	countWindows = 120
	// histogramDecay gives the old version's histogram a horizon of 25 s.
	histogramDecay = 0.98
	// minHistogram is the number of old calls that fix the latency thresholds.
	minHistogram = 100
	// maxExponent keeps products within a float64.
	maxExponent = 200
	// maxValue is far above every threshold and keeps sums finite.
	maxValue = 1e100
)

// oddsGrid holds the alternatives of the mixture as multiples of the
// tolerated odds ratio.
var oddsGrid = [...]float64{1.6, 3, 6, 15, 60}

// slowTails are the shares of old calls above the latency thresholds.
var slowTails = [metrics]float64{AboveP50: 0.5, AboveP75: 0.25, AboveP97: 0.03}

// process holds the evidence of one route with one group left out.
type process [metrics][len(oddsGrid)]float64

func (p *process) sum() float64 {
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
	oldBad, newBad     [metrics]int64
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
	name string
	rank int
	// first is the window in which the route appeared.
	first      int64
	histogram  [BucketCount]float64
	oldErrors  float64
	thresholds [metrics]int
	known      bool
	worse      [maxGroups + 1]process
	// seen marks the groups that had calls.
	seen    [maxGroups]bool
	groups  int
	good    proof
	counted int
	current counts
	before  counts
}

func newRoute(name string, rank int, window int64) *route {
	return &route{name: name, rank: rank, first: window}
}

// close takes in one complete window.
func (r *route) close(t *Test, w int64, p *pair) {
	start := prior(float64(w-r.first), t.scale, faultAtOnce)
	all := r.total(p)
	// Chosen before the window is known, which keeps the proof valid: a version
	// that is worse is worse on the other targets too.
	leftOut := r.least()
	if all.calls > 0 && p.old.calls > 0 {
		for m := Errors; m < metrics; m++ {
			if m == Errors || r.known {
				r.compare(t, m, start, p, all)
			}
		}
		r.prove(t, w, p, without(all, p.groups[leftOut]))
	}
	r.remember(&p.old, all)
	r.switchGroup()
	r.counted++
	if r.counted >= countWindows {
		r.before, r.current, r.counted = r.current, counts{}, 0
	}
}

// total sums the groups and gives each new group the history of the whole,
// in which it had no part.
func (r *route) total(p *pair) *cell {
	all := &cell{}
	for g := range maxGroups {
		c, ok := p.groups[g]
		if !ok {
			continue
		}
		if !r.seen[g] {
			r.seen[g] = true
			r.groups++
			r.worse[g] = r.worse[whole]
		}
		all.calls += c.calls
		all.errors += c.errors
		for i, n := range c.latency {
			all.latency[i] += n
		}
	}
	return all
}

// without returns the sum less one group.
func without(all, group *cell) *cell {
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

func (r *route) compare(t *Test, m Metric, start float64, p *pair, all *cell) {
	th := r.thresholds[m]
	oldBad, newBad := p.old.bad(m, th), all.bad(m, th)
	r.current.oldBad[m] += oldBad
	r.current.newBad[m] += newBad
	odds := t.opts.ToleratedSlowOdds
	if m == Errors {
		odds = t.opts.ToleratedErrorOdds
	}
	r.advance(whole, m, odds, start, p.old.of(m), oldBad, all.of(m), newBad)
	for g := range maxGroups {
		if !r.seen[g] {
			continue
		}
		calls, bad := all.of(m), newBad
		if c, ok := p.groups[g]; ok {
			calls -= c.of(m)
			bad -= c.bad(m, th)
		}
		r.advance(g, m, odds, start, p.old.of(m), oldBad, calls, bad)
	}
}

// advance multiplies the evidence of one process with the likelihood ratio of
// a window. Given the number of bad calls of both versions together, those of
// the new version are at most binomial with the share q of its calls, raised
// by the tolerated odds, if it is not worse. A change of the general rate has
// no influence on that.
func (r *route) advance(g int, m Metric, odds, start float64, oldCalls, oldBad, newCalls, newBad int64) {
	if oldCalls == 0 {
		newCalls = 0
		oldCalls = 1
	}
	ratio := float64(newCalls) / float64(oldCalls)
	q := tilt(ratio, odds)
	for i, theta := range oddsGrid {
		v := r.worse[g][m][i] + start/float64(int(metrics)*len(oddsGrid))
		if newCalls > 0 && oldBad+newBad > 0 {
			a := tilt(ratio, odds*theta)
			v *= likelihood(a, q, newBad, oldBad)
		}
		r.worse[g][m][i] = min(v, maxValue)
	}
}

// remember updates the thresholds of the next windows. They come from earlier
// windows only, which keeps the e-values valid.
func (r *route) remember(old, all *cell) {
	r.current.oldCalls += old.calls
	r.current.newCalls += all.calls
	r.oldErrors = r.oldErrors*histogramDecay + float64(old.errors)
	total := 0.0
	for i := range r.histogram {
		r.histogram[i] = r.histogram[i]*histogramDecay + float64(old.latency[i])
		total += r.histogram[i]
	}
	r.known = total >= minHistogram
	for m := AboveP50; m < metrics; m++ {
		above := 0.0
		th := BucketCount
		for th > 1 && above+r.histogram[th-1] <= total*slowTails[m] {
			th--
			above += r.histogram[th]
		}
		r.thresholds[m] = min(th, BucketCount-1)
	}
}

// switchGroup lets a process continue from the least one at a price. This only
// ever lowers a process, so no wrong conviction can profit from it.
func (r *route) switchGroup() {
	least := r.worse[r.least()]
	bound := switchPrice * least.sum()
	if r.groups < 2 {
		return
	}
	for g := range r.worse {
		if (g < maxGroups && !r.seen[g]) || r.worse[g].sum() <= bound {
			continue
		}
		for m := range least {
			for i, v := range least[m] {
				r.worse[g][m][i] = min(r.worse[g][m][i], switchPrice*v)
			}
		}
	}
}

// least returns the process that speaks least against the new version. With
// one group there is nothing to leave out.
func (r *route) least() int {
	best := whole
	if r.groups < 2 {
		return best
	}
	for g := range maxGroups {
		if r.seen[g] && r.worse[g].sum() < r.worse[best].sum() {
			best = g
		}
	}
	return best
}
