package entry

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	core "gitlab.com/cranberrytack/cranberrytack/internal/core/probe"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// probeTimeout limits the wait for a guard's report on its upstream, which is
// outdated if it arrives later.
const probeTimeout = 100 * clock.Millisecond

// probeLimiter limits the rate of probes over all services.
type probeLimiter struct {
	mu     sync.Mutex
	budget *core.RequesterBudget
}

// WithProbeRate sets the maximum number of probes per second that the entry
// sends; 0 disables probes.
func WithProbeRate(rate float64) Option {
	return func(e *Entry) { e.probeRate = rate }
}

func (p *probeLimiter) allow(now clock.Milli) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Allow(now)
}

// probeRequest requests the upstream state from the guard of one target.
type probeRequest struct {
	entry   *Entry
	service *service
	target  string
}

// probeIfAllowed sends a probe to the target that most needs one, if the rate
// limit allows it. It does not block.
func (e *Entry) probeIfAllowed(now clock.Milli, s *service) {
	target, ok := s.nextProbe(now)
	if ok && e.probeLimiter.allow(now) {
		go (&probeRequest{entry: e, service: s, target: target}).run()
	}
}

func (p *probeRequest) run() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout.Duration())
	defer cancel()
	payload, err := p.entry.pool.Control(ctx, p.target, wire.ControlKind_CONTROL_KIND_PROBE, nil)
	if err != nil {
		p.entry.log.Debug().Str("target", p.target).Err(err).Msg("probe_failed")
		return
	}
	v := new(wire.View)
	if err := proto.Unmarshal(payload, v); err != nil {
		p.entry.log.Warn().Str("target", p.target).Err(err).Msg("probe_malformed")
		return
	}
	now := p.entry.clock.Now()
	p.service.observe(now, *link.DecodeUpstreamState(v, now))
}
