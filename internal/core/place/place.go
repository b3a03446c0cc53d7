// Package place chooses the target of a call where service times are long
// compared with the network: it compares all targets of the service by the time
// at which each would answer. It answers loads from idle to full, with VMs
// whose speed changes several times a second.
package place

import (
	"math/rand/v2"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
)

const (
	// viewLife is the age at which a reported load counts half: as long as
	// calls run.
	viewLife = 300 * clock.Millisecond
	// paceLife is the age at which a reported pace counts half.
	paceLife = 200 * clock.Millisecond
	// usualPace is the mean pace of a VM of which nothing is known.
	usualPace = 1.4
	// usualService stands in before any call has ended.
	usualService  = 150 * clock.Millisecond
	serviceSmooth = 0.1
	// awayCost is the price of another data centre, in network latency and
	// traffic, for a call without a large body.
	awayCost = 15 * clock.Millisecond
	// awayTransfer is the same for a call whose body is large.
	awayTransfer = 120 * clock.Millisecond
	// busyFrom is the share of slots in use from which targets slow down.
	busyFrom = 0.8
	busySlow = 1.7
	// notablySlow is the ratio of service times from which a target counts as
	// slower than others.
	notablySlow = 1.6
	// failSmooth is the weight of one result in a target's share of failures.
	failSmooth = 0.25
	// failLife is the time in which a failure share without calls halves.
	failLife = 2 * clock.Second
	// failCost is what a sure failure costs in service times.
	failCost = 6
	// jitter spreads the entries over targets of about the same cost.
	jitter = 0.15
)

type target struct {
	call.Target
	view   call.UpstreamState
	seen   bool
	own    int
	atView int
	fail   float64
	failAt clock.Milli
}

// Picker chooses targets of one service. It is not safe for concurrent use.
type Picker struct {
	rand    *rand.Rand
	byID    map[string]*target
	order   []*target
	service clock.Milli
	mean    float64
	// usual is the mean service time that targets report at the usual pace.
	usual clock.Milli
}

// New returns a picker that draws from r.
func New(r *rand.Rand) *Picker {
	return &Picker{rand: r, byID: make(map[string]*target), service: usualService}
}

// SetTargets replaces the targets and keeps what is known of those that stay.
func (p *Picker) SetTargets(_ clock.Milli, targets []call.Target) {
	byID := make(map[string]*target, len(targets))
	p.order = p.order[:0]
	for i := range targets {
		t, ok := p.byID[targets[i].ID]
		if !ok || t.Incarnation != targets[i].Incarnation {
			t = &target{}
		}
		t.Target = targets[i]
		byID[t.ID] = t
		p.order = append(p.order, t)
	}
	p.byID = byID
}

// Observe takes in a guard's view.
func (p *Picker) Observe(now clock.Milli, v call.UpstreamState) {
	t, ok := p.byID[v.Target]
	if !ok || v.Incarnation != 0 && v.Incarnation != t.Incarnation {
		return
	}
	if v.ReceivedAt == 0 {
		v.ReceivedAt = now
	}
	if t.seen && v.ReceivedAt < t.view.ReceivedAt {
		return
	}
	t.view, t.seen, t.atView = v, true, t.own
	if p.usual == 0 {
		p.usual = v.Latency
	}
	p.usual += serviceSmooth * (min(v.Latency, 2*p.usual) - p.usual)
	if v.Limit > 0 {
		p.mean += serviceSmooth * (float64(v.InProgress+v.Queued)/float64(v.Limit) - p.mean)
	}
}

// RecordStart counts a call that this entry sent to a target.
func (p *Picker) RecordStart(_ clock.Milli, id string) {
	if t, ok := p.byID[id]; ok {
		t.own++
	}
}

// RecordResult takes in the end of a call.
func (p *Picker) RecordResult(now clock.Milli, id string, r call.Result) {
	t, ok := p.byID[id]
	if !ok {
		return
	}
	t.own = max(0, t.own-1)
	t.atView = max(0, t.atView-1)
	switch {
	case r.Reason == call.ReasonCancelled:
	case r.Outcome == call.OutcomeAnswered && !r.Failed:
		t.learn(now, 0)
		p.service += serviceSmooth * (r.Latency - p.service)
	case r.Failed || r.Outcome == call.OutcomeUnknown:
		t.learn(now, 1)
	case r.Reason == call.ReasonNotReady || r.Reason == call.ReasonShed:
		t.learn(now, 0.5)
	}
	if r.State != nil {
		p.Observe(now, *r.State)
	}
}

func (t *target) learn(now clock.Milli, failed float64) {
	share := t.failing(now)
	t.fail, t.failAt = share+failSmooth*(failed-share), now
}

// failing is the share of failures, which fades so that a target without calls
// is tried again.
func (t *target) failing(now clock.Milli) float64 {
	return t.fail * fade(now-t.failAt, failLife)
}

// fade is one for age zero, a half at life, and falls on from there.
func fade(age, life clock.Milli) float64 {
	if age <= 0 {
		return 1
	}
	x := float64(age / life)
	return 1 / (1 + x*x)
}

// Choose takes the target with the least expected cost.
func (p *Picker) Choose(now clock.Milli, q pick.Query) pick.Choice {
	var best *target
	var cost clock.Milli
	n := 0
	for _, t := range p.order {
		if t.Leaving || slices.Contains(q.Tried, t.ID) || q.Allow != nil && !q.Allow(&t.Target) {
			continue
		}
		n++
		c := p.cost(now, &q, t) * clock.Milli(1+jitter*p.rand.Float64())
		if best == nil || c < cost {
			best, cost = t, c
		}
	}
	if best == nil {
		return pick.Choice{Reason: call.ReasonNoTarget}
	}
	reason := call.ReasonLowestCost
	if n == 1 {
		reason = call.ReasonOnlyTarget
	}
	return pick.Choice{Target: &best.Target, Reason: reason, Candidates: n}
}

// cost is the expected time until the call is answered, with a price for
// failures and for traffic between data centres.
func (p *Picker) cost(now clock.Milli, q *pick.Query, t *target) clock.Milli {
	load, limit, pace := p.load(now, t)
	slow := pace * p.slowness(t)
	if load+1 > busyFrom*limit {
		slow *= busySlow
	}
	c := p.service * clock.Milli(slow)
	if over := load + 1 - limit; over > 0 {
		c += p.service * clock.Milli(slow*over/limit)
	}
	if t.view.Leaving && now-t.view.ReceivedAt < failLife {
		c += failCost * p.service
	}
	c += clock.Milli(failCost*t.failing(now)) * p.service
	if t.Centre != q.Centre {
		if q.Request.Class == call.Transfer {
			c += awayTransfer
		} else {
			c += awayCost
		}
	}
	return c
}

// slowness is how much longer work takes at a target than at others, apart from
// the pace of its VM. Small differences are chance.
func (p *Picker) slowness(t *target) float64 {
	if !t.seen || p.usual == 0 {
		return 1
	}
	if r := float64(t.view.Latency / p.usual); r > notablySlow {
		return r
	}
	return 1
}

// load estimates the calls at a target, its limit and its pace.
func (p *Picker) load(now clock.Milli, t *target) (load, limit, pace float64) {
	limit = float64(max(1, t.Slots))
	if !t.seen {
		return p.mean*limit + float64(t.own), limit, usualPace
	}
	age := now - t.view.ReceivedAt
	w := fade(age, viewLife)
	if t.view.Limit > 0 && t.view.Limit < t.view.Slots && age < failLife {
		limit = float64(t.view.Limit)
	}
	reported := float64(t.view.InProgress + t.view.Queued + t.own - t.atView)
	load = max(float64(t.own), w*reported+(1-w)*(p.mean*limit+float64(t.own)/2))
	pace = usualPace
	if t.view.Slowdown > 0 {
		f := fade(age, paceLife)
		pace = f*t.view.Slowdown + (1-f)*usualPace
	}
	return load, limit, pace
}

// NextProbe implements the entry's picker; views come with responses only.
func (p *Picker) NextProbe(clock.Milli) (string, bool) {
	return "", false
}
