package pick

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// loadHalfLife is the age at which a reported load has half its weight. Load
	// changes within a few service times.
	loadHalfLife = 50 * clock.Millisecond
	// limitHalfLife is the age at which a reported limit has half its weight.
	// Without the decay, a target that was once cold would receive no call whose
	// response shows that it is warm.
	limitHalfLife = clock.Second
	// latencyHalfLife is the age at which a latency has half its weight. Slowdowns
	// last longer than queues.
	latencyHalfLife = 2000 * clock.Millisecond
	// equalLatencyRatio is the ratio to the service's baseline latency up to which
	// targets are considered equally fast. Medians of a few dozen calls differ that
	// much by chance, and preferring the lower one makes all entries choose the
	// same target.
	equalLatencyRatio = 1.4
	// waitAtFullLoad is the expected wait, in service times, at a target whose limit
	// is just reached.
	waitAtFullLoad = 0.15
	// equalObservedRatio is the same as equalLatencyRatio for the latency that this
	// entry observed, which has a larger variance.
	equalObservedRatio = 2.0
	// failurePenalty is the cost of a failed call in multiples of the baseline
	// latency. It makes a target that fails immediately cost more than a full one.
	failurePenalty = 30
	// meanEWMAWeight is the weight of one reported state or one call in the
	// service's means.
	meanEWMAWeight = 0.05
	// defaultLatency is the assumed baseline latency before any call has ended.
	defaultLatency = 10 * clock.Millisecond
)

// Option changes a default of New.
type Option func(*options)

type options struct {
	localSamples, remoteSamples           int
	sameRegionLatency, otherRegionLatency clock.Milli
}

func defaultOptions() options {
	return options{localSamples: 3, remoteSamples: 2, sameRegionLatency: 1.5, otherRegionLatency: 15}
}

// WithSampleSizes sets how many targets of the caller's data centre and of the
// other data centres are compared for a call.
func WithSampleSizes(local, remote int) Option {
	return func(o *options) { o.localSamples, o.remoteSamples = local, remote }
}

// WithOneWayLatency sets the one-way network latency to another data centre in the
// same region and to one in another region.
func WithOneWayLatency(sameRegion, otherRegion clock.Milli) Option {
	return func(o *options) { o.sameRegionLatency, o.otherRegionLatency = sameRegion, otherRegion }
}

// serviceMeans holds moving averages over the targets of the service, which replace
// reported states that are too old. The utilisation is also averaged separately
// for the local data centre and the others, as their capacities per entry differ.
type serviceMeans struct {
	utilisation, localUtilisation, remoteUtilisation float64
	meanLatency                                      clock.Milli
}

func (m *serviceMeans) observe(local bool, state *call.UpstreamState) {
	if state.Limit > 0 {
		utilisation := float64(state.InProgress+state.Queued) / float64(state.Limit)
		m.utilisation += meanEWMAWeight * (utilisation - m.utilisation)
		if local {
			m.localUtilisation += meanEWMAWeight * (utilisation - m.localUtilisation)
		} else {
			m.remoteUtilisation += meanEWMAWeight * (utilisation - m.remoteUtilisation)
		}
	}
	m.observeLatency(state.Latency)
}

// expectedUtilisation returns the mean utilisation of the local or of the remote
// targets. The lower the trust in reported states, the closer the result is to the
// mean over all targets: following stale local and remote means would shift the calls
// of all entries at the same time.
func (m *serviceMeans) expectedUtilisation(local bool, trust float64) float64 {
	mean := m.remoteUtilisation
	if local {
		mean = m.localUtilisation
	}
	return m.utilisation + trust*(mean-m.utilisation)
}

func (m *serviceMeans) observeLatency(latency clock.Milli) {
	switch {
	case latency <= 0:
	case m.meanLatency == 0:
		m.meanLatency = latency
	default:
		// The cap keeps single slow targets from raising the baseline.
		m.meanLatency += meanEWMAWeight * (min(latency, 2*m.meanLatency) - m.meanLatency)
	}
}

func (m *serviceMeans) baselineLatency() clock.Milli {
	if m.meanLatency == 0 {
		return defaultLatency
	}
	return m.meanLatency
}

// observedLatency is the moving average of the latency that this entry observed at
// a target.
type observedLatency struct {
	value     clock.Milli
	updatedAt clock.Milli
}

func (o *observedLatency) observe(now, latency clock.Milli) {
	w := clock.Milli(0.3)
	if o.value == 0 {
		w = 1
	}
	o.value += w * (latency - o.value)
	o.updatedAt = now
}

// ageWeight returns the weight of a value of the given age: 1 for age zero, 1/2 at
// halfLife, and 1/(1+(age/halfLife)²) in general.
func ageWeight(age, halfLife clock.Milli) float64 {
	if age <= 0 {
		return 1
	}
	x := float64(age / halfLife)
	return 1 / (1 + x*x)
}

// estimateLoad estimates the number of calls at a target and its limit. It weights
// the reported state, plus the calls sent since, by its age and by trust, and the
// service's mean by the rest.
func (p *Picker) estimateLoad(now clock.Milli, c *candidate, trust float64) (load, limit float64) {
	limit = float64(max(1, c.target.Slots))
	prior := p.means.expectedUtilisation(c.target.Centre == p.localCentre, trust)*limit + float64(c.inFlight)
	if !c.hasState {
		return prior, limit
	}
	w := trust * ageWeight(now-c.state.ReceivedAt, loadHalfLife)
	if c.state.Limit > 0 {
		limit += trust * ageWeight(now-c.state.ReceivedAt, limitHalfLife) * (float64(c.state.Limit) - limit)
	}
	reported := float64(c.state.InProgress + c.state.Queued + c.inFlight - c.inFlightAtState)
	load = w*reported + (1-w)*prior
	return max(load, float64(c.inFlight)), limit
}

// estimateServiceTime estimates the service time of a target. A high latency that
// this entry observed itself counts regardless of what the target reports.
func (p *Picker) estimateServiceTime(now clock.Milli, c *candidate, trust float64) clock.Milli {
	baseline := p.means.baselineLatency()
	ratio := 1.0
	if c.hasState && c.state.Latency > 0 {
		w := trust * ageWeight(now-c.state.ReceivedAt, latencyHalfLife)
		ratio = 1 + w*(float64(c.state.Latency/baseline)-1)
	}
	if c.observed.value > equalObservedRatio*baseline {
		w := ageWeight(now-c.observed.updatedAt, latencyHalfLife)
		ratio = max(ratio, 1+w*(float64(c.observed.value/baseline)-equalObservedRatio))
	}
	if ratio <= equalLatencyRatio {
		return baseline
	}
	return baseline * clock.Milli(ratio-equalLatencyRatio+1)
}

// expectedCost returns the expected time until a call is answered plus a penalty
// for excess failures.
func (p *Picker) expectedCost(now clock.Milli, q *Query, c *candidate) clock.Milli {
	cost := p.roundTripLatency(q, c) + p.estimateResponseTime(now, c, p.targetTrust(c))
	if f := p.ejectGroup.ExcessFailureRate(now, &c.ejectRecord); f > 0 {
		cost += clock.Milli(f*failurePenalty) * p.means.baselineLatency()
	}
	return cost
}

// estimateResponseTime estimates the sum of waiting and service time at a target.
func (p *Picker) estimateResponseTime(now clock.Milli, c *candidate, trust float64) clock.Milli {
	load, limit := p.estimateLoad(now, c, trust)
	utilisation := load / limit
	wait := waitAtFullLoad * utilisation * utilisation * utilisation
	if free := limit - load; free < 1 {
		wait = waitAtFullLoad + (1-free)/limit
	}
	return p.estimateServiceTime(now, c, trust) * clock.Milli(1+wait)
}

// roundTripLatency returns the network latency of a call and its response.
func (p *Picker) roundTripLatency(q *Query, c *candidate) clock.Milli {
	switch {
	case c.target.Centre == q.Centre:
		return 0
	case q.Region != "" && c.target.Region != q.Region:
		return 2 * p.opts.otherRegionLatency
	default:
		return 2 * p.opts.sameRegionLatency
	}
}

// choiceReason returns the reason of a choice. localCompared is the number of local
// targets that were compared.
func (p *Picker) choiceReason(now clock.Milli, sel *selection, localCompared int) call.Reason {
	c := sel.candidate
	load, limit := p.estimateLoad(now, c, p.targetTrust(c))
	switch {
	case len(p.all) == 1:
		return call.ReasonOnlyTarget
	case c.ejectRecord.OnProbation():
		return call.ReasonProbation
	case c.target.Centre != p.localCentre && localCompared == 0:
		return call.ReasonRemoteOnly
	case c.target.Centre != p.localCentre:
		return call.ReasonRemoteCheaper
	case !c.hasState || now-c.state.ReceivedAt > latencyHalfLife:
		return call.ReasonExploration
	case load < limit:
		return call.ReasonLocalCool
	default:
		return call.ReasonLocalLeastBad
	}
}

// NextProbe returns the ID of the target with the oldest state among a few random
// ones, and false if all of these states are recent.
func (p *Picker) NextProbe(now clock.Milli) (string, bool) {
	var oldest *candidate
	var age clock.Milli
	for range min(len(p.all), 4) {
		c := p.all[p.rand.IntN(len(p.all))]
		if a := now - max(c.state.ReceivedAt, c.lastProbe); a > age && !c.target.Leaving {
			oldest, age = c, a
		}
	}
	if oldest == nil || age < loadHalfLife {
		return "", false
	}
	oldest.lastProbe = now
	return oldest.target.ID, true
}
