// Package pick chooses the target of a call by comparing the expected costs of a
// random sample of the service's targets.
package pick

import (
	"math/rand/v2"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/eject"
)

// Query describes the call that needs a target.
type Query struct {
	Request *call.Request
	// Centre and Region are those of the entry that sends the call.
	Centre string
	Region string
	// Tried lists the IDs of the targets that earlier attempts of the call used.
	Tried []string
	// Allow reports whether a target may be chosen; nil allows every target.
	Allow func(*call.Target) bool
}

// Choice is the picker's decision. Target is nil if no target may be used.
type Choice struct {
	Target *call.Target
	Reason call.Reason
	// Compared is the number of targets that were compared.
	Compared int
}

// Picker chooses targets of one service. It is not safe for concurrent use.
type Picker struct {
	rand       *rand.Rand
	opts       options
	byID       map[string]*candidate
	ejectGroup eject.Group
	// local and remote hold the targets in localCentre and in the other data
	// centres.
	local, remote    []*candidate
	localCentre      string
	all              []*candidate
	means            serviceMeans
	predictionErrors predictionErrors
}

type candidate struct {
	target   call.Target
	state    call.UpstreamState
	hasState bool
	inFlight int
	// inFlightAtState is the value of inFlight when state was received.
	inFlightAtState  int
	ejectRecord      eject.TargetRecord
	observed         observedLatency
	lastProbe        clock.Milli
	predictionErrors predictionErrors
	// predictedWithState and predictedWithoutState are the latencies predicted for
	// the last call from the reported state and without it.
	predictedWithState, predictedWithoutState clock.Milli
}

// New returns a picker without targets that takes its random numbers from r.
func New(r *rand.Rand, opts ...Option) *Picker {
	o := defaultOptions()
	for _, f := range opts {
		f(&o)
	}
	return &Picker{rand: r, opts: o, byID: make(map[string]*candidate)}
}

// SetTargets replaces the targets. The recorded state of a target is kept if its
// incarnation is unchanged.
func (p *Picker) SetTargets(_ clock.Milli, targets []call.Target) {
	byID := make(map[string]*candidate, len(targets))
	p.all = p.all[:0]
	for i := range targets {
		target := &targets[i]
		c, ok := p.byID[target.ID]
		if !ok || c.target.Incarnation != target.Incarnation {
			c = &candidate{}
		}
		c.target = *target
		byID[target.ID] = c
		p.all = append(p.all, c)
	}
	for id, c := range p.byID {
		if byID[id] != c {
			p.ejectGroup.Remove(&c.ejectRecord)
		}
	}
	p.byID = byID
	p.ejectGroup.SetSize(len(p.all))
	p.splitByCentre(p.localCentre)
}

// splitByCentre makes centre the local data centre and divides the targets into
// local and remote ones.
func (p *Picker) splitByCentre(centre string) {
	p.localCentre = centre
	p.local, p.remote = p.local[:0], p.remote[:0]
	for _, c := range p.all {
		if c.target.Centre == centre {
			p.local = append(p.local, c)
		} else {
			p.remote = append(p.remote, c)
		}
	}
}

// Observe records the state that a guard reports. It ignores reports on unknown
// targets or earlier incarnations, and those older than the last one.
func (p *Picker) Observe(now clock.Milli, state call.UpstreamState) {
	c, ok := p.byID[state.Target]
	if !ok || (state.Incarnation != 0 && state.Incarnation < c.target.Incarnation) {
		return
	}
	if state.ReceivedAt == 0 {
		state.ReceivedAt = now
	}
	if c.hasState && state.ReceivedAt < c.state.ReceivedAt {
		return
	}
	c.state, c.hasState, c.inFlightAtState = state, true, c.inFlight
	p.means.observe(c.target.Centre == p.localCentre, &state)
}

// RecordStart counts a call that this entry sent to a target.
func (p *Picker) RecordStart(_ clock.Milli, id string) {
	if c, ok := p.byID[id]; ok {
		c.inFlight++
	}
}

// RecordResult updates a target's state with the result of a call.
func (p *Picker) RecordResult(now clock.Milli, id string, r call.Result) {
	c, ok := p.byID[id]
	if !ok {
		return
	}
	c.inFlight = max(0, c.inFlight-1)
	switch {
	case r.Reason == call.ReasonCancelled:
	case r.Outcome == call.OutcomeAnswered && !r.Failed:
		p.ejectGroup.Observe(now, &c.ejectRecord, false)
		p.observeResult(now, c, &r)
	case isTargetFailure(&r):
		p.ejectGroup.Observe(now, &c.ejectRecord, true)
	default:
		p.observeResult(now, c, &r)
	}
	if r.State != nil {
		p.Observe(now, *r.State)
	}
}

// observeResult records the latency of an interactive call. A refused call counts as
// a very slow one, but only in the prediction errors.
func (p *Picker) observeResult(now clock.Milli, c *candidate, r *call.Result) {
	switch {
	case r.Class != call.Interactive:
	case r.Outcome == call.OutcomeNotRun:
		p.recordPredictionErrors(c, maxLatencyRatio*p.means.baselineLatency())
	default:
		p.recordPredictionErrors(c, r.Latency)
		c.observed.observe(now, r.Latency)
		p.means.observeLatency(r.Latency)
	}
}

// isTargetFailure reports whether an unsuccessful result counts as a failure of the
// target. A refusal because of load does not: the state that comes with it already
// reports the load.
func isTargetFailure(r *call.Result) bool {
	if r.Outcome != call.OutcomeNotRun {
		return true
	}
	switch r.Reason {
	case call.ReasonDialFailed, call.ReasonLinkFailed, call.ReasonLinkBroken, call.ReasonUpstreamFailed:
		return true
	default:
		return false
	}
}

// Choose compares random samples of the local and of the remote targets and returns
// the one with the lowest expected cost. If the samples contain none that may be
// used, it considers all targets, including ejected ones.
func (p *Picker) Choose(now clock.Milli, q Query) Choice {
	if q.Centre != p.localCentre {
		p.splitByCentre(q.Centre)
	}
	var sel selection
	sel.consider(p.cheapestOfSample(now, &q, p.local, p.opts.localSamples, &sel))
	localCompared := sel.compared
	sel.consider(p.cheapestOfSample(now, &q, p.remote, p.opts.remoteSamples, &sel))
	if sel.candidate == nil {
		return p.chooseEjected(now, &q)
	}
	p.recordPrediction(now, &q, sel.candidate)
	return Choice{Target: &sel.candidate.target, Reason: p.choiceReason(now, &sel, localCompared), Compared: sel.compared}
}

// cheapestOfSample returns the cheapest of up to size random targets of a list and
// its cost, or nil if there is none.
func (p *Picker) cheapestOfSample(now clock.Milli, q *Query, list []*candidate, size int, sel *selection) (*candidate, clock.Milli) {
	n := len(list)
	if n == 0 {
		return nil, 0
	}
	var cheapest *candidate
	var minCost clock.Milli
	// A stride coprime to n visits every target once, so no target is drawn twice.
	index, stride := p.rand.IntN(n), 1
	if n > 2 {
		stride = 1 + p.rand.IntN(n-1)
		for gcd(stride, n) != 1 {
			stride = 1 + stride%(n-1)
		}
	}
	for i := 0; i < n && size > 0; i++ {
		c := list[index]
		index += stride
		if index >= n {
			index -= n
		}
		if !isUsable(q, c) {
			continue
		}
		w := p.ejectGroup.Weight(now, &c.ejectRecord)
		if w == 0 || (w < 1 && p.rand.Float64() >= w) {
			sel.skipped++
			continue
		}
		size--
		sel.compared++
		cost := p.expectedCost(now, q, c)
		if w < 1 {
			// A target on probation that was drawn is always tried: its earlier
			// failures would keep its cost too high for it to recover.
			cost = 0
		}
		if cheapest == nil || cost < minCost {
			cheapest, minCost = c, cost
		}
	}
	return cheapest, minCost
}

func isUsable(q *Query, c *candidate) bool {
	return !c.target.Leaving && (!c.hasState || !c.state.Leaving) &&
		!slices.Contains(q.Tried, c.target.ID) &&
		(q.Allow == nil || q.Allow(&c.target))
}

// chooseEjected returns the cheapest of all usable targets regardless of ejection.
// Choose calls it if its samples contain no target that may be used.
func (p *Picker) chooseEjected(now clock.Milli, q *Query) Choice {
	var sel selection
	for _, c := range p.all {
		if isUsable(q, c) {
			sel.compared++
			sel.consider(c, p.expectedCost(now, q, c))
		}
	}
	if sel.candidate == nil {
		return Choice{Reason: call.ReasonNoTarget}
	}
	return Choice{Target: &sel.candidate.target, Reason: call.ReasonEjected, Compared: sel.compared}
}

// selection is the cheapest candidate so far and the number of targets compared and
// skipped because of ejection.
type selection struct {
	candidate *candidate
	cost      clock.Milli
	compared  int
	skipped   int
}

func (s *selection) consider(c *candidate, cost clock.Milli) {
	if c != nil && (s.candidate == nil || cost < s.cost) {
		s.candidate, s.cost = c, cost
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
