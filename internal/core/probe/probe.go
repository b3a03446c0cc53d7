// Package probe bounds the cost of querying guards for the state of their
// upstreams: each requester has a token bucket, and each upstream a budget shared by
// all requesters.
package probe

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// RequesterRatePerSecond is the number of probes that a requester may send
	// per second, to all services together. With 100 bytes each way, 8 probes
	// take 1.6 KB/s of the 4 KB/s that a daemon may use.
	RequesterRatePerSecond = 8
	// Burst is the maximum number of unused tokens.
	Burst = 4
	// UpstreamProbesPerWindow is the number of probes and load reports that one
	// upstream serves per Window, summed over all requesters.
	UpstreamProbesPerWindow = 8
	// Window is the period to which an upstream's budget applies.
	Window = clock.Second
	// RoundTripBytes is the size of a probe and its response on the wire.
	RoundTripBytes = 200
)

// RequesterBudget is the token bucket of a daemon that sends probes. It is not safe
// for concurrent use.
type RequesterBudget struct {
	rate         float64
	tokens       float64
	lastRefillAt clock.Milli
	sent         int
}

// NewRequesterBudget returns an empty token bucket that refills from now on by rate
// tokens per second.
func NewRequesterBudget(now clock.Milli, rate float64) *RequesterBudget {
	return &RequesterBudget{rate: rate, lastRefillAt: now}
}

// Allow reports whether a probe may be sent, and if so takes a token.
func (r *RequesterBudget) Allow(now clock.Milli) bool {
	if now > r.lastRefillAt {
		r.tokens = min(Burst, r.tokens+r.rate*float64((now-r.lastRefillAt)/clock.Second))
		r.lastRefillAt = now
	}
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	r.sent++
	return true
}

// Sent returns the number of probes allowed so far.
func (r *RequesterBudget) Sent() int {
	return r.sent
}

// UpstreamBudget bounds the probes that one upstream serves in any Window. It is
// not safe for concurrent use.
type UpstreamBudget struct {
	// servedAt is a ring buffer of the instants at which the last probes were
	// served; oldest is the index of its oldest element.
	servedAt    []clock.Milli
	oldest      int
	servedTotal int
}

// NewUpstreamBudget returns the budget of an upstream that serves n probes per
// Window.
func NewUpstreamBudget(n int) *UpstreamBudget {
	return &UpstreamBudget{servedAt: make([]clock.Milli, 0, max(1, n))}
}

// Allow reports whether one more probe or load report may be served now, and if so
// charges the budget.
func (u *UpstreamBudget) Allow(now clock.Milli) bool {
	if len(u.servedAt) < cap(u.servedAt) {
		u.servedAt = append(u.servedAt, now)
	} else {
		if now-u.servedAt[u.oldest] < Window {
			return false
		}
		u.servedAt[u.oldest] = now
		u.oldest = (u.oldest + 1) % len(u.servedAt)
	}
	u.servedTotal++
	n := u.servedInWindow(now)
	assert.That(n <= cap(u.servedAt), assert.ProbeBudget, "%d probes in %v ms, budget %d", n, Window, cap(u.servedAt))
	return true
}

// Served returns the number of probes and load reports allowed so far.
func (u *UpstreamBudget) Served() int {
	return u.servedTotal
}

// servedInWindow counts the probes served in the window that ends at now.
func (u *UpstreamBudget) servedInWindow(now clock.Milli) int {
	n := 0
	for _, t := range u.servedAt {
		if now-t < Window {
			n++
		}
	}
	return n
}
