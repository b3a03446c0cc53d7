// Package probe bounds the cost of asking guards for their views: a
// requester has tokens, and an upstream one budget for all requesters.
package probe

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// RequesterRatePerSecond is the number of probes a requester may send per second, for all
	// services together. With 100 bytes each way, 8 probes take 1.6 KB/s of
	// the daemon's 4 KB/s.
	RequesterRatePerSecond = 8
	// Burst is the largest number of unused tokens.
	Burst = 4
	// UpstreamProbesPerWindow is the number of probes and load reports that one upstream
	// serves per window, summed over all requesters.
	UpstreamProbesPerWindow = 8
	// Window is the period of the upstream's budget.
	Window = clock.Second
	// RoundTripBytes is the size of a probe and its answer on the wire.
	RoundTripBytes = 200
)

// RequesterBudget holds the tokens of a daemon that sends probes. It is not safe
// for concurrent use.
type RequesterBudget struct {
	rate   float64
	tokens float64
	last   clock.Milli
	sent   int
}

// NewRequesterBudget returns a requester without tokens; they grow from now on.
func NewRequesterBudget(now clock.Milli, rate float64) *RequesterBudget {
	return &RequesterBudget{rate: rate, last: now}
}

// Allow reports whether a probe may be sent and spends its token.
func (r *RequesterBudget) Allow(now clock.Milli) bool {
	if now > r.last {
		r.tokens = min(Burst, r.tokens+r.rate*float64((now-r.last)/clock.Second))
		r.last = now
	}
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	r.sent++
	return true
}

// Sent counts the probes so far.
func (r *RequesterBudget) Sent() int {
	return r.sent
}

// UpstreamBudget holds the budget of one upstream. It is not safe for concurrent
// use.
type UpstreamBudget struct {
	// served is a ring of the instants of the last probes served.
	served []clock.Milli
	next   int
	total  int
}

// NewUpstreamBudget returns the budget of an upstream that serves n probes per
// Window.
func NewUpstreamBudget(n int) *UpstreamBudget {
	return &UpstreamBudget{served: make([]clock.Milli, 0, max(1, n))}
}

// Allow reports whether one more probe or load report may be served now.
func (u *UpstreamBudget) Allow(now clock.Milli) bool {
	if len(u.served) < cap(u.served) {
		u.served = append(u.served, now)
	} else {
		if now-u.served[u.next] < Window {
			return false
		}
		u.served[u.next] = now
		u.next = (u.next + 1) % len(u.served)
	}
	u.total++
	n := u.within(now)
	assert.That(n <= cap(u.served), assert.ProbeBudget, "%d probes in %v ms, budget %d", n, Window, cap(u.served))
	return true
}

// Served counts the probes served so far.
func (u *UpstreamBudget) Served() int {
	return u.total
}

// within counts the served probes of the window that ends at now.
func (u *UpstreamBudget) within(now clock.Milli) int {
	n := 0
	for _, t := range u.served {
		if now-t < Window {
			n++
		}
	}
	return n
}
