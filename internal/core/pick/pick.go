// Package pick chooses the target of a call.
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
	Centre  string
	Region  string
	// Tried lists targets that earlier attempts of the call used.
	Tried []string
	// Allow is nil when every target is allowed.
	Allow func(*call.Target) bool
}

// Choice is the picker's decision. Target is nil when there is none.
type Choice struct {
	Target *call.Target
	Reason call.Reason
	// Candidates is the number of targets that were compared.
	Candidates int
}

// Picker chooses targets of one service. It is not safe for concurrent use.
type Picker struct {
	rand  *rand.Rand
	opts  options
	byID  map[string]*entry
	group eject.Group
	// near and far hold the targets in the own data centre and elsewhere.
	near, far []*entry
	centre    string
	order     []*entry
	mean      mean
	skill     skill
}

type entry struct {
	target  call.Target
	view    call.UpstreamState
	seen    bool
	pending int
	// atView is pending at the time of the view.
	atView   int
	record   eject.TargetRecord
	own      ownLatency
	lastProb clock.Milli
	skill    skill
	// byView and byOwn are the latencies expected of the last call, with
	// the view and without.
	byView, byOwn clock.Milli
}

// New returns a picker that draws from r.
func New(r *rand.Rand, opts ...Option) *Picker {
	o := defaults()
	for _, f := range opts {
		f(&o)
	}
	return &Picker{rand: r, opts: o, byID: make(map[string]*entry)}
}

// SetTargets replaces the targets and keeps what is known of those that stay.
func (p *Picker) SetTargets(_ clock.Milli, targets []call.Target) {
	byID := make(map[string]*entry, len(targets))
	p.order = p.order[:0]
	for i := range targets {
		t := &targets[i]
		e, ok := p.byID[t.ID]
		if !ok || e.target.Incarnation != t.Incarnation {
			e = &entry{}
		}
		e.target = *t
		byID[t.ID] = e
		p.order = append(p.order, e)
	}
	for id, e := range p.byID {
		if byID[id] != e {
			p.group.Remove(&e.record)
		}
	}
	p.byID = byID
	p.group.SetSize(len(p.order))
	p.split(p.centre)
}

// split sorts the targets into those of a data centre and the others.
func (p *Picker) split(centre string) {
	p.centre = centre
	p.near, p.far = p.near[:0], p.far[:0]
	for _, e := range p.order {
		if e.target.Centre == centre {
			p.near = append(p.near, e)
		} else {
			p.far = append(p.far, e)
		}
	}
}

// Observe takes in a guard's view.
func (p *Picker) Observe(now clock.Milli, v call.UpstreamState) {
	e, ok := p.byID[v.Target]
	if !ok || (v.Incarnation != 0 && v.Incarnation < e.target.Incarnation) {
		return
	}
	if v.ReceivedAt == 0 {
		v.ReceivedAt = now
	}
	if e.seen && v.ReceivedAt < e.view.ReceivedAt {
		return
	}
	e.view, e.seen, e.atView = v, true, e.pending
	p.mean.observe(e.target.Centre == p.centre, &v)
}

// RecordStart counts a call that this entry sent to a target.
func (p *Picker) RecordStart(_ clock.Milli, id string) {
	if e, ok := p.byID[id]; ok {
		e.pending++
	}
}

// RecordResult takes in the end of a call.
func (p *Picker) RecordResult(now clock.Milli, id string, r call.Result) {
	e, ok := p.byID[id]
	if !ok {
		return
	}
	e.pending = max(0, e.pending-1)
	switch {
	case r.Reason == call.ReasonCancelled:
	case r.Outcome == call.OutcomeAnswered && !r.Failed:
		p.group.Observe(now, &e.record, false)
		p.learn(now, e, &r)
	case failed(&r):
		p.group.Observe(now, &e.record, true)
	default:
		p.learn(now, e, &r)
	}
	if r.State != nil {
		p.Observe(now, *r.State)
	}
}

// learn takes in how long an interactive call took. A refusal counts as a
// very slow call, but only in the comparison of predictions.
func (p *Picker) learn(now clock.Milli, e *entry, r *call.Result) {
	switch {
	case r.Class != call.Interactive:
	case r.Outcome == call.OutcomeNotRun:
		p.compare(e, worst*p.mean.usual())
	default:
		p.compare(e, r.Latency)
		e.own.add(now, r.Latency)
		p.mean.latency(r.Latency)
	}
}

// failed reports whether a result speaks against the target. A refusal for
// load does not: the view that comes with it says what there is to say.
func failed(r *call.Result) bool {
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

// Choose compares some random targets of the own data centre and of the
// others, and takes the one with the least expected cost.
func (p *Picker) Choose(now clock.Milli, q Query) Choice {
	if q.Centre != p.centre {
		p.split(q.Centre)
	}
	var b best
	b.offer(p.sample(now, &q, p.near, p.opts.near, &b))
	near := b.count
	b.offer(p.sample(now, &q, p.far, p.opts.far, &b))
	if b.entry == nil {
		return p.fallback(now, &q)
	}
	p.predict(now, &q, b.entry)
	return Choice{Target: &b.entry.target, Reason: p.reason(now, &b, near), Candidates: b.count}
}

// sample scores up to d random targets of a list.
func (p *Picker) sample(now clock.Milli, q *Query, list []*entry, d int, b *best) (*entry, clock.Milli) {
	n := len(list)
	if n == 0 {
		return nil, 0
	}
	var taken *entry
	var cost clock.Milli
	// A stride that visits every target once keeps the draws distinct.
	at, stride := p.rand.IntN(n), 1
	if n > 2 {
		stride = 1 + p.rand.IntN(n-1)
		for gcd(stride, n) != 1 {
			stride = 1 + stride%(n-1)
		}
	}
	for i := 0; i < n && d > 0; i++ {
		e := list[at]
		at += stride
		if at >= n {
			at -= n
		}
		if !usable(q, e) {
			continue
		}
		w := p.group.Weight(now, &e.record)
		if w == 0 || (w < 1 && p.rand.Float64() >= w) {
			b.skipped++
			continue
		}
		d--
		b.count++
		c := p.cost(now, q, e)
		if w < 1 {
			// A target on probation is tried when its turn comes: compared
			// by its old failures, it would never return.
			c = 0
		}
		if taken == nil || c < cost {
			taken, cost = e, c
		}
	}
	return taken, cost
}

func usable(q *Query, e *entry) bool {
	return !e.target.Leaving && (!e.seen || !e.view.Leaving) &&
		!slices.Contains(q.Tried, e.target.ID) &&
		(q.Allow == nil || q.Allow(&e.target))
}

// fallback takes the target that fails least when all are ejected.
func (p *Picker) fallback(now clock.Milli, q *Query) Choice {
	var b best
	for _, e := range p.order {
		if usable(q, e) {
			b.count++
			b.offer(e, p.cost(now, q, e))
		}
	}
	if b.entry == nil {
		return Choice{Reason: call.ReasonNoTarget}
	}
	return Choice{Target: &b.entry.target, Reason: call.ReasonEjected, Candidates: b.count}
}

// best is the cheapest target so far.
type best struct {
	entry   *entry
	cost    clock.Milli
	count   int
	skipped int
}

func (b *best) offer(e *entry, cost clock.Milli) {
	if e != nil && (b.entry == nil || cost < b.cost) {
		b.entry, b.cost = e, cost
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
