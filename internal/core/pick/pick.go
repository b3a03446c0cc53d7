// Package pick chooses the target of a call.
package pick

import (
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
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
	Target     *call.Target
	Reason     call.Reason
	Candidates int
}

// Picker chooses targets of one service. It is not safe for concurrent use.
type Picker struct {
	rand    *rand.Rand
	targets []*entry
	byID    map[string]*entry
}

type entry struct {
	target  call.Target
	pending int
}

// New returns a picker that draws from r.
func New(r *rand.Rand) *Picker {
	return &Picker{rand: r, byID: make(map[string]*entry)}
}

// Update replaces the targets and keeps what is known of those that stay.
func (p *Picker) Update(_ clock.Milli, targets []call.Target) {
	byID := make(map[string]*entry, len(targets))
	p.targets = p.targets[:0]
	for _, t := range targets {
		e, ok := p.byID[t.ID]
		if !ok || e.target.Incarnation != t.Incarnation {
			e = &entry{}
		}
		e.target = t
		byID[t.ID] = e
		p.targets = append(p.targets, e)
	}
	p.byID = byID
}

// Observe takes in a guard's view.
func (p *Picker) Observe(clock.Milli, call.View) {}

// Choose picks the less loaded of two random targets.
func (p *Picker) Choose(_ clock.Milli, q Query) Choice {
	var best *entry
	n := 0
	for _, i := range p.rand.Perm(len(p.targets)) {
		e := p.targets[i]
		if e.target.Leaving || contains(q.Tried, e.target.ID) || (q.Allow != nil && !q.Allow(&e.target)) {
			continue
		}
		n++
		if best == nil || e.pending < best.pending {
			best = e
		}
		if n == 2 {
			break
		}
	}
	if best == nil {
		return Choice{Reason: call.ReasonNoTarget}
	}
	return Choice{Target: &best.target, Reason: call.ReasonLocalCool, Candidates: n}
}

// Started counts a call that this entry sent to a target.
func (p *Picker) Started(_ clock.Milli, id string) {
	if e, ok := p.byID[id]; ok {
		e.pending++
	}
}

// Finished takes in the end of a call.
func (p *Picker) Finished(_ clock.Milli, id string, _ call.Result) {
	if e, ok := p.byID[id]; ok && e.pending > 0 {
		e.pending--
	}
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
