package canary

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// slowMargin is the least difference from the old version's median service time of a
	// slow call, as the times of short calls vary by a few milliseconds.
	slowMargin = 20 * clock.Millisecond
	// slowAnswerRatio is the multiple of the old version's median service time from which a
	// call counts as slow. The 95th percentile of a good version is mostly below.
	slowAnswerRatio = 2
	// priorCalls is the weight of the bad answers on all routes in the rate of one route.
	priorCalls = 10
	// minMedianCalls is the number of calls of a period from which their median counts
	// beside that of all calls.
	minMedianCalls = 20
	// minBadRate is the rate of bad answers that is assumed of the old version at least, as
	// a good new one has slow answers too while it is cold.
	minBadRate = 0.03
	// minBadMargin is the difference between the rate of bad answers and the expected rate
	// from which the version is rolled back.
	minBadMargin = 0.08
	// rollbackProbability is the probability that a version as good as the old one has so
	// many bad answers, below which it is rolled back.
	rollbackProbability = 1e-3
	// suspectRate is the rate of bad answers of an assumed bad version. A version whose
	// answers are more likely at this rate than at the expected one gets no larger share.
	suspectRate = 0.2
	// minRouteBad is the number of bad answers on one route from which it makes the version
	// suspect.
	minRouteBad = 2
	// outlierProbability is the probability of an upstream's bad answers at the rate of the
	// others, below which its VM is assumed to be slow. maxOutlierFraction limits the
	// fraction of the upstreams that are left out for that.
	outlierProbability = 0.02
	maxOutlierFraction = 0.25
	// minUpstreamAnswers is the number of answers from which an upstream counts in the
	// comparison of how many upstreams have bad answers.
	minUpstreamAnswers = 3
)

// badBaseline describes the old version's answers on one route: from which bucket on calls
// are slow, and which rate of bad answers is expected.
type badBaseline struct {
	slowFrom int
	rate     float64
	// short marks a route whose calls are too short to tell slow ones. They are left out of
	// the evidence on all routes.
	short bool
}

// noBaseline is used for all routes if the old version has had no calls: only failures are
// bad then.
var noBaseline = badBaseline{slowFrom: call.LatencyBuckets, rate: minBadRate}

// badBaselines returns the baseline of each route. history has the old version's calls from
// before the order too, period those of the period for which the new version is judged: a
// slow period of both versions does not count against the new one.
func badBaselines(history, period map[string]*callStats) map[string]badBaseline {
	out := make(map[string]badBaseline)
	var sum badRate
	for route, h := range history {
		if route == "" || h.calls == 0 {
			continue
		}
		median := h.answered.Median()
		if p := period[route]; p != nil && p.calls >= minMedianCalls {
			median = max(median, p.answered.Median())
		}
		b := badBaseline{slowFrom: nearestBucket(max(slowAnswerRatio*median, median+slowMargin))}
		b.short = slowAnswerRatio*median < median+slowMargin
		out[route] = b
		sum.add(h, b.slowFrom)
	}
	prior := sum.smoothed(minBadRate, 1)
	for route, b := range out {
		b.rate = newBadRate(history[route], b.slowFrom).smoothed(prior, priorCalls)
		if p := period[route]; p != nil {
			b.rate = newBadRate(p, b.slowFrom).smoothed(b.rate, priorCalls)
		}
		b.rate = max(b.rate, minBadRate)
		out[route] = b
	}
	return out
}

// badRate counts answers and the bad ones among them.
type badRate struct {
	answers, bad uint64
}

func newBadRate(s *callStats, slowFrom int) badRate {
	return badRate{answers: s.answers(slowFrom), bad: s.bad(slowFrom)}
}

func (r *badRate) add(s *callStats, slowFrom int) {
	r.answers += s.answers(slowFrom)
	r.bad += s.bad(slowFrom)
}

// smoothed returns the rate, drawn to a prior one with the weight of some calls.
func (r badRate) smoothed(prior, weight float64) float64 {
	return (float64(r.bad) + prior*weight) / (float64(r.answers) + weight)
}

// nearestBucket returns the bucket whose lower bound is nearest to d by its ratio.
func nearestBucket(d clock.Milli) int {
	b := call.LatencyBucket(d)
	if d*d > call.LatencyBucketStart(b)*call.LatencyBucketStart(b+1) {
		b++
	}
	return b
}

// bad returns the number of bad answers: failed calls, slow ones, and those that were cut
// off or are in progress after a time at which they are slow.
func (s *callStats) bad(slowFrom int) uint64 {
	return s.failed + s.answered.CountFrom(slowFrom) + s.cutOff.CountFrom(slowFrom) + s.running.CountFrom(slowFrom)
}

// answers returns the number of calls of which it is known whether they are bad.
func (s *callStats) answers(slowFrom int) uint64 {
	return s.calls + s.cutOff.CountFrom(slowFrom) + s.running.CountFrom(slowFrom)
}

// answerCount counts answers of the new version and the bad ones among them, beside the
// number of bad ones expected of the old version.
type answerCount struct {
	answers, bad uint64
	expected     float64
}

func (c *answerCount) add(other answerCount) {
	c.answers += other.answers
	c.bad += other.bad
	c.expected += other.expected
}

func (c *answerCount) remove(other answerCount) {
	c.answers -= other.answers
	c.bad -= other.bad
	c.expected -= other.expected
}

func (c answerCount) excess() float64 { return float64(c.bad) - c.expected }

// Evidence compares the answers of the new version with those of the old one, on one route
// or, with an empty route, on all.
type Evidence struct {
	Route string
	// Answers and Bad are counted at the new version, Expected is the number of bad answers
	// that the old version would have had.
	Answers, Bad uint64
	Expected     float64
	// SlowFrom is the service time from which a call of the route is slow, zero for all
	// routes.
	SlowFrom clock.Milli
	// Probability is the probability that a version as good as the old one has so many bad
	// answers, without the upstream that has most. It is 1 if the bad answers come from a
	// minority of the upstreams.
	Probability float64
	// margin is the excess of the rate, without the upstream that has most.
	margin float64
	// logOdds is the logarithm of the ratio of the likelihoods of the answers at suspectRate
	// and at the expected rate, without the outliers among the upstreams.
	logOdds float64
}

func (e *Evidence) isConclusive() bool {
	return e.Probability < rollbackProbability && e.margin >= minBadMargin
}

// isSuspect reports whether the answers are more likely those of a bad version. One bad
// answer on a route with few calls says nothing.
func (e *Evidence) isSuspect() bool {
	return e.logOdds > 0 && (e.Route == "" || e.Bad >= minRouteBad)
}

func (e *Evidence) String() string {
	slow := "were slow"
	if e.SlowFrom > 0 {
		slow = fmt.Sprintf("took over %.0f ms", float64(e.SlowFrom))
	}
	return fmt.Sprintf("%s: %d of %d answers failed or %s, %.1f expected", routeLabel(e.Route), e.Bad, e.Answers, slow, e.Expected)
}

func routeLabel(route string) string {
	if route == "" {
		return "all routes"
	}
	return "route " + route
}

// verdict is the evidence that a decision is based on.
type verdict []Evidence

// rollbackReason returns why the new version should be rolled back, or an empty string.
func (v verdict) rollbackReason() string {
	return v.firstReason((*Evidence).isConclusive)
}

// suspectReason returns why the share of the new version should not grow, or an empty
// string.
func (v verdict) suspectReason() string {
	return v.firstReason((*Evidence).isSuspect)
}

func (v verdict) firstReason(match func(*Evidence) bool) string {
	for i := range v {
		if match(&v[i]) {
			return v[i].String()
		}
	}
	return ""
}

// evidence returns the evidence on all routes together and on each of them, the first
// being that on all routes.
func (c statsByKey) evidence(newUpstreams int, baselines map[string]badBaseline) verdict {
	all := make(map[string]answerCount)
	byRoute := make(map[string]map[string]answerCount)
	for k, s := range c {
		b, ok := baselines[k.route]
		if len(baselines) == 0 {
			b, ok = noBaseline, true
		}
		if !k.isNew || !ok {
			continue
		}
		n := answerCount{answers: s.answers(b.slowFrom), bad: s.bad(b.slowFrom)}
		n.expected = float64(n.answers) * b.rate
		if byRoute[k.route] == nil {
			byRoute[k.route] = make(map[string]answerCount)
		}
		byRoute[k.route][k.target] = n
		if b.short {
			continue
		}
		sum := all[k.target]
		sum.add(n)
		all[k.target] = sum
	}
	out := make(verdict, 0, 1+len(byRoute))
	out = append(out, newEvidence("", all, newUpstreams))
	for route, byTarget := range byRoute {
		e := newEvidence(route, byTarget, newUpstreams)
		if b, ok := baselines[route]; ok {
			e.SlowFrom = call.LatencyBucketStart(b.slowFrom)
		}
		out = append(out, e)
	}
	return out
}

// newEvidence returns the evidence of the answers by upstream. Of several upstreams, the one
// with most bad answers is left out, and at least half must have some: otherwise it may be
// the fault of their VMs.
func newEvidence(route string, byTarget map[string]answerCount, newUpstreams int) Evidence {
	var sum, worst answerCount
	active, affected := 0, 0
	for _, n := range byTarget {
		sum.add(n)
		if n.excess() > worst.excess() {
			worst = n
		}
		if n.answers >= minUpstreamAnswers || n.bad > 0 {
			active++
		}
		if n.bad > 0 {
			affected++
		}
	}
	e := Evidence{Route: route, Answers: sum.answers, Bad: sum.bad, Expected: sum.expected, Probability: 1}
	e.logOdds = withoutOutliers(byTarget, sum).logOdds()
	if newUpstreams > 1 {
		sum.remove(worst)
	}
	if sum.answers == 0 || newUpstreams > 1 && 2*affected < active {
		return e
	}
	e.Probability = poissonTail(sum.bad, sum.expected)
	e.margin = sum.excess() / float64(sum.answers)
	return e
}

// withoutOutliers returns the sum without the upstreams that have much more bad answers than
// the others.
func withoutOutliers(byTarget map[string]answerCount, sum answerCount) answerCount {
	byExcess := slices.SortedFunc(maps.Values(byTarget), func(a, b answerCount) int { return cmp.Compare(b.excess(), a.excess()) })
	maxOutliers := int(math.Ceil(maxOutlierFraction * float64(len(byTarget))))
	for _, n := range byExcess[:min(maxOutliers, max(0, len(byExcess)-1))] {
		others := sum
		others.remove(n)
		rate := badRate{answers: others.answers, bad: others.bad}.smoothed(minBadRate, priorCalls)
		if poissonTail(n.bad, rate*float64(n.answers)) >= outlierProbability {
			break
		}
		sum = others
	}
	return sum
}

// logOdds returns the logarithm of the ratio of the likelihoods of the answers at a bad and
// at the expected rate, zero if the expected rate is as bad.
func (c answerCount) logOdds() float64 {
	if c.answers == 0 {
		return 0
	}
	expected := c.expected / float64(c.answers)
	if expected >= suspectRate {
		return 0
	}
	bad, good := float64(c.bad), float64(c.answers-c.bad)
	return bad*math.Log(suspectRate/expected) + good*math.Log((1-suspectRate)/(1-expected))
}

// poissonTail returns the probability of at least n events if mean are expected.
func poissonTail(n uint64, mean float64) float64 {
	below, term := 0.0, math.Exp(-mean)
	for i := range n {
		below += term
		term *= mean / float64(i+1)
	}
	return max(0, 1-below)
}
