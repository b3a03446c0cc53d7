// Package place chooses the target of a call for services whose calls take long
// compared with the network latency. It compares the expected response times of
// all targets of the service, and handles loads from idle to full on VMs whose
// speed changes several times a second.
package place

import (
	"math/rand/v2"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
)

const (
	// loadHalfLife is the age at which a reported load has half its weight. It is
	// about as long as a call runs.
	loadHalfLife = 300 * clock.Millisecond
	// slowdownHalfLife is the age at which a reported slowdown has half its weight.
	slowdownHalfLife = 200 * clock.Millisecond
	// defaultSlowdown is the mean slowdown of a VM. It is assumed for a VM without a
	// recent report.
	defaultSlowdown = 1.4
	// initialServiceTime is the assumed service time before any call has ended.
	initialServiceTime = 150 * clock.Millisecond
	// ewmaWeight is the weight of one sample in the service's moving averages.
	ewmaWeight = 0.1
	// crossCentreCost is added for a target in another data centre, for network
	// latency, traffic and attempts that are refused there, if the call has no large
	// body.
	crossCentreCost = 60 * clock.Millisecond
	// crossCentreTransferCost replaces crossCentreCost for a call with a large
	// body.
	crossCentreTransferCost = 120 * clock.Millisecond
	// busyThreshold is the fraction of a target's limit in use above which service
	// times increase by the factor busySlowdown.
	busyThreshold = 0.8
	busySlowdown  = 1.7
	// slowLatencyRatio is the ratio of a target's latency to the baseline above
	// which the target is considered slower than others. Smaller differences are
	// noise.
	slowLatencyRatio = 1.6
	// failureEWMAWeight is the weight of one result in a target's failure rate.
	failureEWMAWeight = 0.25
	// failureHalfLife is the age at which the failure rate of a target without calls
	// has half its weight, and so has a reported latency above the baseline. A report that
	// the target leaves or has a lower limit is ignored from the same age on.
	failureHalfLife = 2 * clock.Second
	// failureCost is the cost of a failure rate of 1, and of a target that reported
	// to leave, in mean service times.
	failureCost = 6
	// minFailedTime is the shortest time that a failed call is assumed to cost its caller,
	// who has to send it again, also if the calls of the service are short.
	minFailedTime = 150 * clock.Millisecond
	// maxCostJitter is the maximum fraction that is added to a cost at random. It
	// spreads the entries over targets of about the same cost.
	maxCostJitter = 0.15
)

type target struct {
	call.Target
	state    call.UpstreamState
	hasState bool
	// inFlight counts the calls from this entry that have not ended.
	inFlight int
	// inFlightAtState counts those of them that were in flight when state was
	// received.
	inFlightAtState int
	failureRate     float64
	failureRateAt   clock.Milli
}

// Picker chooses targets of one service. It is not safe for concurrent use.
type Picker struct {
	rand            *rand.Rand
	byID            map[string]*target
	targets         []*target
	meanServiceTime clock.Milli
	meanUtilisation float64
	// baselineLatency is the mean of the latencies that targets report. Reported
	// latencies exclude the slowdown of the VM.
	baselineLatency clock.Milli
}

// New returns a picker without targets that takes its random numbers from r.
func New(r *rand.Rand) *Picker {
	return &Picker{rand: r, byID: make(map[string]*target), meanServiceTime: initialServiceTime}
}

// SetTargets replaces the targets. The recorded state of a target is kept if its
// incarnation is unchanged.
func (p *Picker) SetTargets(_ clock.Milli, targets []call.Target) {
	byID := make(map[string]*target, len(targets))
	p.targets = p.targets[:0]
	for i := range targets {
		t, ok := p.byID[targets[i].ID]
		if !ok || t.Incarnation != targets[i].Incarnation {
			t = &target{}
		}
		t.Target = targets[i]
		byID[t.ID] = t
		p.targets = append(p.targets, t)
	}
	p.byID = byID
}

// Observe records the state that a guard reports. It ignores reports on unknown
// targets or other incarnations, and those older than the last one.
func (p *Picker) Observe(now clock.Milli, state call.UpstreamState) {
	t, ok := p.byID[state.Target]
	if !ok || state.Incarnation != 0 && state.Incarnation != t.Incarnation {
		return
	}
	if state.ReceivedAt == 0 {
		state.ReceivedAt = now
	}
	if t.hasState && state.ReceivedAt < t.state.ReceivedAt {
		return
	}
	t.state, t.hasState, t.inFlightAtState = state, true, t.inFlight
	p.observeLatency(state.Latency)
	if state.Limit > 0 {
		p.meanUtilisation += ewmaWeight * (float64(state.InProgress+state.Queued)/float64(state.Limit) - p.meanUtilisation)
	}
}

// observeLatency updates the baseline with a reported latency, zero if the target has
// measured none.
func (p *Picker) observeLatency(latency clock.Milli) {
	switch {
	case latency == 0:
	case p.baselineLatency == 0:
		p.baselineLatency = latency
	default:
		p.baselineLatency += ewmaWeight * (min(latency, 2*p.baselineLatency) - p.baselineLatency)
	}
}

// RecordStart counts a call that this entry sent to a target.
func (p *Picker) RecordStart(_ clock.Milli, id string) {
	if t, ok := p.byID[id]; ok {
		t.inFlight++
	}
}

// RecordResult updates a target's state with the result of a call.
func (p *Picker) RecordResult(now clock.Milli, id string, r call.Result) {
	t, ok := p.byID[id]
	if !ok {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	t.inFlightAtState = max(0, t.inFlightAtState-1)
	switch {
	case r.Reason == call.ReasonCancelled:
	case r.Outcome == call.OutcomeAnswered && !r.Failed:
		t.observeFailure(now, 0)
		p.meanServiceTime += ewmaWeight * (r.Latency - p.meanServiceTime)
	case r.Failed || r.Outcome == call.OutcomeUnknown:
		t.observeFailure(now, 1)
	case r.Reason == call.ReasonNotReady || r.Reason == call.ReasonShed:
		t.observeFailure(now, 0.5)
	}
	if r.State != nil {
		p.Observe(now, *r.State)
	}
}

func (t *target) observeFailure(now clock.Milli, sample float64) {
	rate := t.decayedFailureRate(now)
	t.failureRate, t.failureRateAt = rate+failureEWMAWeight*(sample-rate), now
}

// decayedFailureRate returns the failure rate, which decays with time so that a
// target without calls is tried again.
func (t *target) decayedFailureRate(now clock.Milli) float64 {
	return t.failureRate * ageWeight(now-t.failureRateAt, failureHalfLife)
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

// candidate is the cheapest of the targets that it was offered.
type candidate struct {
	target *target
	cost   clock.Milli
}

func (c *candidate) offer(t *target, cost clock.Milli) {
	if c.target == nil || cost < c.cost {
		c.target, c.cost = t, cost
	}
}

// Choose returns the target with the lowest expected cost in the caller's own data centre,
// if it has room, or else among all. The target is nil if none is allowed.
func (p *Picker) Choose(now clock.Milli, q pick.Query) pick.Choice {
	var best, own candidate
	compared := 0
	for _, t := range p.targets {
		if t.Leaving || slices.Contains(q.Tried, t.ID) || q.Allow != nil && !q.Allow(&t.Target) {
			continue
		}
		compared++
		c := p.expectedCost(now, &q, t) * clock.Milli(1+maxCostJitter*p.rand.Float64())
		best.offer(t, c)
		if t.Centre == q.Centre {
			own.offer(t, c)
		}
	}
	switch {
	case best.target == nil:
		return pick.Choice{Reason: call.ReasonNoTarget}
	case compared == 1:
		return pick.Choice{Target: &best.target.Target, Reason: call.ReasonOnlyTarget, Compared: compared}
	case own.target != nil && own.target != best.target && p.hasRoom(now, own.target):
		return pick.Choice{Target: &own.target.Target, Reason: call.ReasonLocalCool, Compared: compared}
	default:
		return pick.Choice{Target: &best.target.Target, Reason: call.ReasonLowestCost, Compared: compared}
	}
}

// expectedCost returns the expected response time plus penalties for failures and
// for traffic between data centres.
func (p *Picker) expectedCost(now clock.Milli, q *pick.Query, t *target) clock.Milli {
	load, limit, slowdown := p.estimateLoad(now, t)
	factor := slowdown * p.latencyRatio(now, t)
	if load+1 > busyThreshold*limit {
		factor *= busySlowdown
	}
	cost := p.meanServiceTime*clock.Milli(factor) + t.admitDelay(now)
	if excess := load + 1 - limit; excess > 0 {
		cost += p.meanServiceTime * clock.Milli(factor*excess/limit)
	}
	if t.isLeaving(now) {
		cost += failureCost * p.meanServiceTime
	}
	cost += clock.Milli(failureCost*t.decayedFailureRate(now)) * max(minFailedTime, p.meanServiceTime)
	if t.Centre != q.Centre {
		if q.Request.Class == call.Transfer {
			cost += crossCentreTransferCost
		} else {
			cost += crossCentreCost
		}
	}
	return cost
}

// NextProbe always returns false: this picker receives upstream states with
// responses only and needs no probes.
func (p *Picker) NextProbe(clock.Milli) (string, bool) {
	return "", false
}
