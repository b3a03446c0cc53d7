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
