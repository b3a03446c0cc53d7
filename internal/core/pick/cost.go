package pick

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// viewLife is the age at which a view counts half. Load changes within
	// some service times.
	viewLife = 50 * clock.Millisecond
	// limitLife is the age at which a reported limit counts half. Without it,
	// a target that was once cold gets no call that would show it warm.
	limitLife = clock.Second
	// latencyLife is the age at which a latency counts half. Slowdowns last
	// longer than queues.
	latencyLife = 2000 * clock.Millisecond
	// even is the ratio to the service's latency up to which targets count
	// as equally fast: medians of some dozen calls differ that much by
	// chance, and following the difference makes herds.
	even = 1.4
	// busyShare is the wait, in service times, at a target that is just full.
	busyShare = 0.15
	// ownEven is the same for the latency that this entry saw, which has more
	// chance in it.
	ownEven = 2.0
	// failurePenalty is the cost of a failed call in multiples of the usual
	// latency. It makes a target that fails at once dearer than a full one.
	failurePenalty = 30
	// meanSmooth is the weight of one view or call in the service's means.
	meanSmooth = 0.05
	// unknownLatency stands in before any call has ended.
	unknownLatency = 10 * clock.Millisecond
)

// Option changes a setting of a picker.
type Option func(*options)

type options struct {
	near, far    int
	centre, away clock.Milli
}

func defaults() options {
	return options{near: 3, far: 2, centre: 1.5, away: 15}
}

// WithSamples sets how many targets of the own data centre and of others are
// compared.
func WithSamples(near, far int) Option {
	return func(o *options) { o.near, o.far = near, far }
}

// WithOneWayLatency sets the latency one way to another data centre of the own
// region and to one of another region.
func WithOneWayLatency(centre, region clock.Milli) Option {
	return func(o *options) { o.centre, o.away = centre, region }
}

// mean holds what an average target of the service looks like; it stands in
// for views that are too old. The load is also kept apart for the own data
// centre and the others, as their capacities per entry differ.
type mean struct {
	all, near, far float64
	speed          clock.Milli
}

func (m *mean) observe(near bool, v *call.UpstreamState) {
	if v.Limit > 0 {
		load := float64(v.InProgress+v.Queued) / float64(v.Limit)
		m.all += meanSmooth * (load - m.all)
		if near {
			m.near += meanSmooth * (load - m.near)
		} else {
			m.far += meanSmooth * (load - m.far)
		}
	}
	m.latency(v.Latency)
}

// load is the mean per slot. Without trust in the views it is the same
// everywhere: following stale means moves all entries at once.
func (m *mean) load(near bool, trust float64) float64 {
	part := m.far
	if near {
		part = m.near
	}
	return m.all + trust*(part-m.all)
}

func (m *mean) latency(l clock.Milli) {
	switch {
	case l <= 0:
	case m.speed == 0:
		m.speed = l
	default:
		// Single slow targets must not move the reference.
		m.speed += meanSmooth * (min(l, 2*m.speed) - m.speed)
	}
}

func (m *mean) usual() clock.Milli {
	if m.speed == 0 {
		return unknownLatency
	}
	return m.speed
}

// ownLatency is the latency that this entry saw at a target.
type ownLatency struct {
	value clock.Milli
	at    clock.Milli
}

func (o *ownLatency) add(now, l clock.Milli) {
	w := clock.Milli(0.3)
	if o.value == 0 {
		w = 1
	}
	o.value += w * (l - o.value)
	o.at = now
}

// fade is one for age zero, a half at life, and falls on from there.
func fade(age, life clock.Milli) float64 {
	if age <= 0 {
		return 1
	}
	x := float64(age / life)
	return 1 / (1 + x*x)
}

// load estimates the calls at a target: the view as far as it is recent and
// trusted, the service's mean for the rest, and what this entry sent since.
func (p *Picker) load(now clock.Milli, e *entry, trust float64) (load, limit float64) {
	limit = float64(max(1, e.target.Slots))
	prior := p.mean.load(e.target.Centre == p.centre, trust)*limit + float64(e.pending)
	if !e.seen {
		return prior, limit
	}
	w := trust * fade(now-e.view.ReceivedAt, viewLife)
	if e.view.Limit > 0 {
		limit += trust * fade(now-e.view.ReceivedAt, limitLife) * (float64(e.view.Limit) - limit)
	}
	reported := float64(e.view.InProgress + e.view.Queued + e.pending - e.atView)
	load = w*reported + (1-w)*prior
	return max(load, float64(e.pending)), limit
}

// speed estimates the service time of a target. What this entry saw itself
// counts whatever the target reports.
func (p *Picker) speed(now clock.Milli, e *entry, trust float64) clock.Milli {
	usual := p.mean.usual()
	ratio := 1.0
	if e.seen && e.view.Latency > 0 {
		w := trust * fade(now-e.view.ReceivedAt, latencyLife)
		ratio = 1 + w*(float64(e.view.Latency/usual)-1)
	}
	if e.own.value > ownEven*usual {
		w := fade(now-e.own.at, latencyLife)
		ratio = max(ratio, 1+w*(float64(e.own.value/usual)-ownEven))
	}
	if ratio <= even {
		return usual
	}
	return usual * clock.Milli(ratio-even+1)
}

// cost is the expected time until a call is answered.
func (p *Picker) cost(now clock.Milli, q *Query, e *entry) clock.Milli {
	c := p.distance(q, e) + p.expect(now, e, p.trust(e))
	if f := p.group.ExcessFailureShare(now, &e.record); f > 0 {
		c += clock.Milli(f*failurePenalty) * p.mean.usual()
	}
	return c
}

// expect estimates waiting and service at a target.
func (p *Picker) expect(now clock.Milli, e *entry, trust float64) clock.Milli {
	load, limit := p.load(now, e, trust)
	u := load / limit
	wait := busyShare * u * u * u
	if free := limit - load; free < 1 {
		wait = busyShare + (1-free)/limit
	}
	return p.speed(now, e, trust) * clock.Milli(1+wait)
}

// distance is the network latency of a call there and back.
func (p *Picker) distance(q *Query, e *entry) clock.Milli {
	switch {
	case e.target.Centre == q.Centre:
		return 0
	case q.Region != "" && e.target.Region != q.Region:
		return 2 * p.opts.away
	default:
		return 2 * p.opts.centre
	}
}

// reason explains a choice in one word.
func (p *Picker) reason(now clock.Milli, b *best, near int) call.Reason {
	e := b.entry
	load, limit := p.load(now, e, p.trust(e))
	switch {
	case len(p.order) == 1:
		return call.ReasonOnlyTarget
	case e.record.OnProbation():
		return call.ReasonProbation
	case e.target.Centre != p.centre && near == 0:
		return call.ReasonRemoteOnly
	case e.target.Centre != p.centre:
		return call.ReasonRemoteCheaper
	case !e.seen || now-e.view.ReceivedAt > latencyLife:
		return call.ReasonExploration
	case load < limit:
		return call.ReasonLocalCool
	default:
		return call.ReasonLocalLeastBad
	}
}

// NextProbe returns the target whose view this entry most needs to renew, and
// false when all are recent.
func (p *Picker) NextProbe(now clock.Milli) (string, bool) {
	var oldest *entry
	var age clock.Milli
	for range min(len(p.order), 4) {
		e := p.order[p.rand.IntN(len(p.order))]
		if a := now - max(e.view.ReceivedAt, e.lastProb); a > age && !e.target.Leaving {
			oldest, age = e, a
		}
	}
	if oldest == nil || age < viewLife {
		return "", false
	}
	oldest.lastProb = now
	return oldest.target.ID, true
}
