// Package eject keeps calls away from targets that fail more than the rest
// of their service. The number of ejected targets is bounded and their
// return is gradual.
package eject

import (
	"math"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// smooth is the weight of one result in a target's failure share.
	smooth = 0.15
	// threshold is the failure share of a target that is ejected, margin
	// how far it must be above the share of the service.
	threshold = 0.4
	margin    = 0.25
	// tolerated is the failure share that costs a target no calls: single
	// failures happen everywhere.
	tolerated = 0.1
	// fewest is the number of results that are evidence enough.
	fewest = 4
	// MaxEjectedShare is the largest part of a service that is ejected at once.
	MaxEjectedShare = 1.0 / 3
	// first and longest bound how long a target stays out; each further
	// ejection in a row doubles the time.
	first   = 500 * clock.Millisecond
	longest = 30 * clock.Second
	// probation is the share of calls that a returning target gets, doubled
	// by each success.
	probation = 1.0 / 16
	// forget is how long the failure share of a target without calls lasts.
	forget = 2 * clock.Second
)

// TargetRecord is the record of one target. Its zero value is a target without
// failures.
type TargetRecord struct {
	share   float64
	results int
	until   clock.Milli
	times   int
	weight  float64
	state   state
	last    clock.Milli
}

type state uint8

const (
	in state = iota
	out
	back
)

// Group bounds the ejections of one service. It is not safe for concurrent
// use.
type Group struct {
	size    int
	ejected int
	share   float64
}

// SetSize sets the number of targets of the service.
func (g *Group) SetSize(n int) {
	g.size = n
}

// Remove forgets a target that left the service.
func (g *Group) Remove(m *TargetRecord) {
	if m.state == out {
		g.ejected--
	}
	*m = TargetRecord{}
}

// EjectedCount returns how many targets are out.
func (g *Group) EjectedCount() int {
	return g.ejected
}

// MaxEjected returns how many targets may be out at once.
func (g *Group) MaxEjected() int {
	return int(math.Floor(float64(g.size) * MaxEjectedShare))
}

// Observe counts the end of a call at a target.
func (g *Group) Observe(now clock.Milli, m *TargetRecord, failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	g.share += smooth / float64(max(1, g.size)) * (x - g.share)
	m.share += smooth * (x - m.share)
	m.results++
	m.last = now
	switch {
	case m.state == back && failed:
		g.eject(now, m)
	case m.state == back:
		m.weight *= 2
		if m.weight >= 1 {
			m.state, m.times, m.share, m.results = in, max(0, m.times-1), 0, 0
		}
	case m.state == in && failed && m.results >= fewest &&
		m.share > threshold && m.share > g.share+margin:
		g.eject(now, m)
	}
}

func (g *Group) eject(now clock.Milli, m *TargetRecord) {
	if g.ejected >= g.MaxEjected() {
		m.weight = probation
		return
	}
	g.ejected++
	m.state = out
	m.until = now + min(longest, first*clock.Milli(math.Exp2(float64(min(m.times, 10)))))
	m.times++
}

// Weight returns the share of its usual calls that a target may get: zero
// while it is out, one when it is in.
func (g *Group) Weight(now clock.Milli, m *TargetRecord) float64 {
	switch m.state {
	case in:
		return 1
	case out:
		if now < m.until {
			return 0
		}
		g.ejected--
		m.state, m.weight = back, probation
	case back:
	}
	return m.weight
}

// OnProbation reports whether a target is on probation.
func (m *TargetRecord) OnProbation() bool {
	return m.state == back
}

// ExcessFailureShare returns by how much a target fails more than its service. It fades
// to nothing while the target gets no calls, so that it is tried again.
func (g *Group) ExcessFailureShare(now clock.Milli, m *TargetRecord) float64 {
	excess := m.share - g.share - tolerated
	if excess <= 0 {
		return 0
	}
	return excess * max(0, 1-float64((now-m.last)/forget))
}
