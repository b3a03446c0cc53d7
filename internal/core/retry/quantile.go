package retry

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

const (
	// tailFraction is the fraction of calls that are slower than the estimate,
	// and so the largest fraction of calls that is hedged.
	tailFraction = 0.03
	// relativeStep is the relative change of the estimate per call.
	relativeStep = 0.02
	// minSamples is the number of calls from which on the estimate is used.
	minSamples = 100
)

// quantileEstimator estimates a high quantile of the latency without storing single
// latencies: each call moves the estimate by a small step.
type quantileEstimator struct {
	estimate clock.Milli
	samples  int
}

func (q *quantileEstimator) observe(latency clock.Milli) {
	q.samples++
	if q.estimate == 0 {
		q.estimate = latency
		return
	}
	if latency > q.estimate {
		q.estimate *= 1 + relativeStep*(1-tailFraction)
	} else {
		q.estimate *= 1 - relativeStep*tailFraction
	}
}

func (q *quantileEstimator) value() (clock.Milli, bool) {
	return q.estimate, q.samples >= minSamples
}
