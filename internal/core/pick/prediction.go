package pick

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

const (
	// targetErrorWeight and serviceErrorWeight are the weights of one call in the
	// prediction errors of its target and of the service.
	targetErrorWeight  = 0.05
	serviceErrorWeight = 0.01
	// fullTrustErrorRatio and zeroTrustErrorRatio bound the ratio of the error with
	// reported states to the error without: up to the first, reported states have
	// full weight; from the second, none.
	fullTrustErrorRatio = 1.05
	zeroTrustErrorRatio = 1.25
	// maxLatencyRatio is the cap on the latency and on the prediction error of one
	// call, in multiples of the baseline latency.
	maxLatencyRatio = 5.0
)

// predictionErrors holds the mean squared errors of latencies predicted with and
// without the reported states. States that are stale, frozen or false predict worse
// than none.
type predictionErrors struct {
	withState, withoutState float64
}

func (e *predictionErrors) observe(weight, withState, withoutState float64) {
	if e.withoutState == 0 {
		e.withState, e.withoutState = 1, 1
	}
	e.withState += weight * (withState - e.withState)
	e.withoutState += weight * (withoutState - e.withoutState)
}

// trust returns the weight of reported states, from 0 to 1.
func (e *predictionErrors) trust() float64 {
	if e.withoutState == 0 || e.withState <= fullTrustErrorRatio*e.withoutState {
		return 1
	}
	return max(0, (zeroTrustErrorRatio-e.withState/e.withoutState)/(zeroTrustErrorRatio-fullTrustErrorRatio))
}

// targetTrust returns the weight of a target's reported state, from 0 to 1.
func (p *Picker) targetTrust(c *candidate) float64 {
	return min(p.predictionErrors.trust(), c.predictionErrors.trust())
}

// recordPrediction stores the latencies predicted for a call to a chosen target.
func (p *Picker) recordPrediction(now clock.Milli, q *Query, c *candidate) {
	rtt := p.roundTripLatency(q, c)
	c.predictedWithState, c.predictedWithoutState = rtt+p.estimateResponseTime(now, c, 1), rtt+p.estimateResponseTime(now, c, 0)
}

// recordPredictionErrors compares the latency of a finished call with its
// predictions.
func (p *Picker) recordPredictionErrors(c *candidate, latency clock.Milli) {
	if c.predictedWithState == 0 {
		return
	}
	baseline := p.means.baselineLatency()
	actual := min(float64(latency/baseline), maxLatencyRatio)
	withState, withoutState := cappedSquare(actual-float64(c.predictedWithState/baseline)), cappedSquare(actual-float64(c.predictedWithoutState/baseline))
	c.predictionErrors.observe(targetErrorWeight, withState, withoutState)
	p.predictionErrors.observe(serviceErrorWeight, withState, withoutState)
}

func cappedSquare(x float64) float64 {
	return min(x*x, maxLatencyRatio*maxLatencyRatio)
}
