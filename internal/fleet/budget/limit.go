package budget

import (
	"sync"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// The budget of control traffic. Rate and burst leave a third of the budget
// of 10 s for what peers send unasked: 2,000 B/s * 10 s + 1.25 * 6,000 B is
// 27,500 of 40,000 B. With 37,500 B, a restart of a third of 800 members made
// some members use 53,000 B.
const (
	MaxBytesPerSecond = 4000
	MaxCPUPercent     = 1

	rateBytes  = 2000
	burstBytes = 6000
	rateCPU    = 7.5 // ms per s
	burstCPU   = 25  // ms
)

// bucket refills with time. It may be overdrawn, because what was received is
// charged after the fact.
type bucket struct {
	rate, burst, tokens float64
	at                  clock.Milli
}

func (b *bucket) refill(now clock.Milli) {
	if now > b.at {
		b.tokens = min(b.burst, b.tokens+float64((now-b.at)/clock.Second)*b.rate)
		b.at = now
	}
}

// Limiter decides which updates may be sent now. The less important one is,
// the more of the burst must be left, so it waits longest. It is safe for
// concurrent use.
type Limiter struct {
	mu    sync.Mutex
	bytes bucket
	cpu   bucket
}

// NewLimiter returns a limiter with a full burst.
func NewLimiter(now clock.Milli) *Limiter {
	return &Limiter{
		bytes: bucket{rate: rateBytes, burst: burstBytes, tokens: burstBytes, at: now},
		cpu:   bucket{rate: rateCPU, burst: burstCPU, tokens: burstCPU, at: now},
	}
}

// floor is the share of the burst that an importance must leave.
func floor(imp member.Priority) float64 {
	switch imp {
	case member.Vital:
		return -0.25
	case member.Urgent:
		return 0
	case member.Ordinary:
		return 0.3
	}
	return 0.5
}

// Allow reports whether bytes of an importance may be sent now. It takes
// nothing; Charge does when the packet is sent.
func (l *Limiter) Allow(now clock.Milli, bytes int, imp member.Priority) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes.refill(now)
	l.cpu.refill(now)
	f := floor(imp)
	return l.bytes.tokens-float64(bytes) >= f*l.bytes.burst && l.cpu.tokens >= f*l.cpu.burst
}

// Charge takes what was sent, received or computed.
func (l *Limiter) Charge(now clock.Milli, bytes int, cpu clock.Milli) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes.refill(now)
	l.cpu.refill(now)
	l.bytes.tokens = max(l.bytes.tokens-float64(bytes), -l.bytes.burst)
	l.cpu.tokens = max(l.cpu.tokens-float64(cpu), -l.cpu.burst)
}
