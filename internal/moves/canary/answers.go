package canary

import (
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
