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
	// minSuspectBad is the number of bad answers on one route, or of failures, from which the
	// version can be suspect.
	minSuspectBad = 2
	// outlierProbability is the probability of an upstream's bad answers at the rate of the
	// others, below which its VM is assumed to be slow. maxOutlierFraction limits the
	// fraction of the upstreams that are left out for that.
	outlierProbability = 0.02
	maxOutlierFraction = 0.25
	// minSlowUpstreams is the number of upstreams that must have bad answers, if the version has
	// so many. Two with slow VMs may be the first ones that get calls.
	minSlowUpstreams = 3
	// minUpstreamAnswers is the number of answers from which an upstream counts in the
	// comparison of how many upstreams have bad answers.
	minUpstreamAnswers = 3
)

// criterion says which answers are bad and how many of them are evidence.
type criterion struct {
	// count counts the answers and the bad ones among them. Calls are slow from a bucket on.
	count func(s *callStats, slowFrom int) badRate
	// minRate is the rate of bad answers that is assumed of the old version at least.
	minRate float64
	// rollbackProbability is the probability that a version as good as the old one has so
	// many bad answers, below which it is rolled back.
	rollbackProbability float64
	// mostAreOfVMs is set if most bad answers of good versions come from single slow VMs. The
	// upstream with most bad answers then never counts, and half of them must have some.
	mostAreOfVMs bool
	// minMargin is the difference between the rate of bad answers and the expected rate from
	// which the version is rolled back.
	minMargin float64
	// suspectRate is the rate of bad answers of an assumed bad version. A version whose
	// answers are more likely at this rate than at the expected one gets no larger share.
	suspectRate float64
	// minSuspectBad is the number of bad answers on all routes from which the version can be
	// suspect.
	minSuspectBad uint64
}

var (
	// failedOrSlow covers all bad answers. A good version that is cold has slow ones too.
	failedOrSlow = criterion{
		count: countFailedOrSlow, minRate: 0.03, rollbackProbability: 1e-3, minMargin: 0.08, suspectRate: 0.2, mostAreOfVMs: true,
	}
	// failed covers failures alone. Good versions have few, so a smaller rate is evidence:
	// some versions fail only under load, and then only a part of their calls.
	failed = criterion{
		count: countFailed, minRate: 0.01, rollbackProbability: 5e-3, minMargin: 0.05, suspectRate: 0.1, minSuspectBad: minSuspectBad,
	}
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

// badBaselines returns the baseline of each route. history has the old version's calls from
// before the order too, period those of the period for which the new version is judged: a
// slow period of both versions does not count against the new one.
func (c *criterion) badBaselines(history, period map[string]*callStats) map[string]badBaseline {
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
		n := c.count(h, b.slowFrom)
		sum.answers += n.answers
		sum.bad += n.bad
	}
	prior := sum.smoothed(c.minRate, 1)
	for route, b := range out {
		b.rate = c.count(history[route], b.slowFrom).smoothed(prior, priorCalls)
		if p := period[route]; p != nil {
			b.rate = c.count(p, b.slowFrom).smoothed(b.rate, priorCalls)
		}
		b.rate = max(b.rate, c.minRate)
		out[route] = b
	}
	return out
}

// badRate counts answers and the bad ones among them.
type badRate struct {
	answers, bad uint64
}

// countFailedOrSlow counts failed calls, slow ones, and those that were cut off or are in
// progress after a time at which they are slow. Of others that were cut off or are in progress
// it is not known whether they are bad.
func countFailedOrSlow(s *callStats, slowFrom int) badRate {
	unanswered := s.cutOff.CountFrom(slowFrom) + s.running.CountFrom(slowFrom)
	return badRate{answers: s.calls + unanswered, bad: s.failed + s.answered.CountFrom(slowFrom) + unanswered}
}

func countFailed(s *callStats, _ int) badRate {
	return badRate{answers: s.calls, bad: s.failed}
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

// answerCount counts answers of the new version and the bad ones among them, beside the
// number of bad ones expected of the old version.
type answerCount struct {
	badRate
	expected float64
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
	// answers, without the upstreams that are left out. It is 1 if the bad answers come from
	// too few upstreams.
	Probability float64
	// conclusive and suspect are set if the version is to be rolled back, or its answers are
	// more likely those of a bad one.
	conclusive, suspect bool
}

func (e *Evidence) isConclusive() bool { return e.conclusive }

func (e *Evidence) isSuspect() bool { return e.suspect }

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
func (c *criterion) evidence(stats statsByKey, newUpstreams int, baselines map[string]badBaseline) verdict {
	all := make(map[string]answerCount)
	byRoute := make(map[string]map[string]answerCount)
	for k, s := range stats {
		b, ok := baselines[k.route]
		if len(baselines) == 0 {
			// The old version has had no calls: only failures are bad.
			b, ok = badBaseline{slowFrom: call.LatencyBuckets, rate: c.minRate}, true
		}
		if !k.isNew || !ok {
			continue
		}
		n := answerCount{badRate: c.count(&s, b.slowFrom)}
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
	out = append(out, c.newEvidence("", all, newUpstreams))
	for route, byTarget := range byRoute {
		e := c.newEvidence(route, byTarget, newUpstreams)
		if b, ok := baselines[route]; ok {
			e.SlowFrom = call.LatencyBucketStart(b.slowFrom)
		}
		out = append(out, e)
	}
	return out
}

// newEvidence returns the evidence of the answers by upstream. Bad answers of a single one of
// several upstreams may be the fault of its VM.
func (c *criterion) newEvidence(route string, byTarget map[string]answerCount, newUpstreams int) Evidence {
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
	minBad := c.minSuspectBad
	if route != "" {
		// One bad answer on a route with few calls says nothing.
		minBad = minSuspectBad
	}
	rest := c.withoutOutliers(byTarget, sum)
	e.suspect = e.Bad >= minBad && rest.logOdds(c.suspectRate) > 0
	minAffected := min(2, newUpstreams)
	if c.mostAreOfVMs && newUpstreams > 1 {
		rest, minAffected = sum, max(min(minSlowUpstreams, newUpstreams), (active+1)/2)
		rest.remove(worst)
	}
	if rest.answers == 0 || affected < minAffected {
		return e
	}
	e.Probability = poissonTail(rest.bad, rest.expected)
	margin := rest.excess() / float64(rest.answers)
	e.conclusive = e.Probability < c.rollbackProbability && margin >= c.minMargin
	return e
}

// withoutOutliers returns the sum without the upstreams that have much more bad answers than
// the others.
func (c *criterion) withoutOutliers(byTarget map[string]answerCount, sum answerCount) answerCount {
	byExcess := slices.SortedFunc(maps.Values(byTarget), func(a, b answerCount) int { return cmp.Compare(b.excess(), a.excess()) })
	maxOutliers := int(math.Ceil(maxOutlierFraction * float64(len(byTarget))))
	for _, n := range byExcess[:min(maxOutliers, max(0, len(byExcess)-1))] {
		others := sum
		others.remove(n)
		rate := badRate{answers: others.answers, bad: others.bad}.smoothed(c.minRate, priorCalls)
		if poissonTail(n.bad, rate*float64(n.answers)) >= outlierProbability {
			break
		}
		sum = others
	}
	return sum
}

// logOdds returns the logarithm of the ratio of the likelihoods of the answers at a bad and
// at the expected rate, zero if the expected rate is as bad.
func (c answerCount) logOdds(suspectRate float64) float64 {
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
