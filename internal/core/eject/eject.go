// Package eject ejects targets that fail more often than the rest of their
// service, so that they get no calls for a time. The number of ejected targets
// is bounded, and their calls are restored gradually.
package eject

import (
	"math"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// resultWeight is the weight of one result in a target's failure rate.
	resultWeight = 0.15
	// failureRateThreshold is the failure rate above which a target is ejected,
	// provided that it exceeds the rate of the service by failureRateMargin.
	failureRateThreshold = 0.4
	failureRateMargin    = 0.25
	// toleratedFailureRate is the failure rate, in excess of the service's, up
	// to which a target still gets all its calls: single failures are normal.
	toleratedFailureRate = 0.1
	// minResults is the number of results required for an ejection.
	minResults = 4
	// MaxEjectedFraction bounds the fraction of a service's targets that is
	// ejected at once.
	MaxEjectedFraction = 1.0 / 3
	// minEjectionTime and maxEjectionTime bound how long a target is ejected;
	// each further ejection in a row doubles the time.
	minEjectionTime = 500 * clock.Millisecond
	maxEjectionTime = 30 * clock.Second
	// probationWeight is the fraction of its usual calls that a target gets
	// when it returns. Each success doubles it.
	probationWeight = 1.0 / 16
	// failureRateTTL is how long the excess failure rate of a target without
	// calls takes to fade to zero.
	failureRateTTL = 2 * clock.Second
)

// TargetRecord holds the failure rate and the ejections of one target. Its zero
// value is a target without results.
type TargetRecord struct {
	failureRate  float64
	results      int
	ejectedUntil clock.Milli
	// ejections determines the length of the next ejection. It increases with each
	// ejection and decreases when a probation ends with success.
	ejections    int
	weight       float64
	state        state
	lastResultAt clock.Milli
}

type state uint8

const (
	stateActive state = iota
	stateEjected
	stateProbation
)

// Group tracks the failure rate of one service and bounds its ejections.
// It is not safe for concurrent use.
type Group struct {
	size        int
	ejected     int
	failureRate float64
}

// SetSize sets the number of targets of the service.
func (g *Group) SetSize(n int) {
	g.size = n
}

// Remove resets the record of a target that left the service and no longer counts
// it as ejected.
func (g *Group) Remove(t *TargetRecord) {
	if t.state == stateEjected {
		g.ejected--
	}
	*t = TargetRecord{}
}

// EjectedCount returns the number of ejected targets.
func (g *Group) EjectedCount() int {
	return g.ejected
}

// MaxEjected returns the number of targets that may be ejected at once.
func (g *Group) MaxEjected() int {
	return int(math.Floor(float64(g.size) * MaxEjectedFraction))
}

// Observe records the result of a call to a target, and ejects the target if it
// fails too often.
func (g *Group) Observe(now clock.Milli, t *TargetRecord, failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	g.failureRate += resultWeight / float64(max(1, g.size)) * (x - g.failureRate)
	t.failureRate += resultWeight * (x - t.failureRate)
	t.results++
	t.lastResultAt = now
	switch {
	case t.state == stateProbation && failed:
		g.eject(now, t)
	case t.state == stateProbation:
		t.weight *= 2
		if t.weight >= 1 {
			t.state, t.ejections, t.failureRate, t.results = stateActive, max(0, t.ejections-1), 0, 0
		}
	case t.state == stateActive && failed && t.results >= minResults &&
		t.failureRate > failureRateThreshold && t.failureRate > g.failureRate+failureRateMargin:
		g.eject(now, t)
	}
}

func (g *Group) eject(now clock.Milli, t *TargetRecord) {
	if g.ejected >= g.MaxEjected() {
		t.weight = probationWeight
		return
	}
	g.ejected++
	t.state = stateEjected
	t.ejectedUntil = now + min(maxEjectionTime, minEjectionTime*clock.Milli(math.Exp2(float64(min(t.ejections, 10)))))
	t.ejections++
}

// Weight returns the fraction of its usual calls that a target may get: zero
// while it is ejected, one normally. When the ejection is over, it puts the
// target on probation.
func (g *Group) Weight(now clock.Milli, t *TargetRecord) float64 {
	switch t.state {
	case stateActive:
		return 1
	case stateEjected:
		if now < t.ejectedUntil {
			return 0
		}
		g.ejected--
		t.state, t.weight = stateProbation, probationWeight
	case stateProbation:
	}
	return t.weight
}

// OnProbation reports whether a target has returned from an ejection and does not
// yet get all its calls.
func (t *TargetRecord) OnProbation() bool {
	return t.state == stateProbation
}

// ExcessFailureRate returns by how much the failure rate of a target exceeds
// that of its service. It fades to zero while the target gets no calls, so that
// calls are sent to it again.
func (g *Group) ExcessFailureRate(now clock.Milli, t *TargetRecord) float64 {
	excess := t.failureRate - g.failureRate - toleratedFailureRate
	if excess <= 0 {
		return 0
	}
	return excess * max(0, 1-float64((now-t.lastResultAt)/failureRateTTL))
}
