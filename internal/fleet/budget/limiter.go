package budget

import (
	"sync"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// The budget of a member for control traffic, and the rate and burst of the token
// buckets that enforce it. In any 10 s, rate and burst leave a third of the budget for
// unsolicited packets from peers: 2,000 B/s * 10 s + 1.25 * 6,000 B (the burst and the
// debt that vital packets may add) is 27,500 of 40,000 B. With 37,500 B, a restart of
// a third of 800 members made some members use 53,000 B.
const (
	MaxBytesPerSecond = 4000
	MaxCPUPercent     = 1

	rateBytesPerSecond = 2000
	burstBytes         = 6000
	rateCPUMsPerSecond = 7.5
	burstCPUMs         = 25
)

// bucket is a token bucket. Its tokens may become negative, because received packets
// are charged after they arrive.
type bucket struct {
	ratePerSecond, burst, tokens float64
	refilledAt                   clock.Milli
}

func (b *bucket) refill(now clock.Milli) {
	if now > b.refilledAt {
		b.tokens = min(b.burst, b.tokens+float64((now-b.refilledAt)/clock.Second)*b.ratePerSecond)
		b.refilledAt = now
	}
}

// Limiter decides which packets may be sent now. The lower the priority of a packet,
// the more tokens must remain after it, so low priorities wait longest. It is safe
// for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	bytes bucket
	cpu   bucket
}

// NewLimiter returns a limiter with full token buckets.
func NewLimiter(now clock.Milli) *Limiter {
	return &Limiter{
		bytes: bucket{ratePerSecond: rateBytesPerSecond, burst: burstBytes, tokens: burstBytes, refilledAt: now},
		cpu:   bucket{ratePerSecond: rateCPUMsPerSecond, burst: burstCPUMs, tokens: burstCPUMs, refilledAt: now},
	}
}

// minTokenFraction returns the fraction of the burst that must remain after a packet
// of this priority is sent; negative allows debt.
func minTokenFraction(priority member.Priority) float64 {
	switch priority {
	case member.Vital:
		return -0.25
	case member.Urgent:
		return 0
	case member.Ordinary:
		return 0.3
	}
	return 0.5
}

// Allow reports whether a packet of this size and priority may be sent now. It takes
// no tokens; these are taken by Charge when the packet is sent.
func (l *Limiter) Allow(now clock.Milli, bytes int, priority member.Priority) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes.refill(now)
	l.cpu.refill(now)
	fraction := minTokenFraction(priority)
	return l.bytes.tokens-float64(bytes) >= fraction*l.bytes.burst && l.cpu.tokens >= fraction*l.cpu.burst
}

// Charge takes tokens for bytes that were sent or received and for CPU time in
// milliseconds. The debt of a bucket is limited to its burst.
func (l *Limiter) Charge(now clock.Milli, bytes int, cpu clock.Milli) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes.refill(now)
	l.cpu.refill(now)
	l.bytes.tokens = max(l.bytes.tokens-float64(bytes), -l.bytes.burst)
	l.cpu.tokens = max(l.cpu.tokens-float64(cpu), -l.cpu.burst)
}
