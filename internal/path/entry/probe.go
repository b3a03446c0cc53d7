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

// probeTimeout bounds the wait for a guard's view, which is worthless later.
const probeTimeout = 100 * clock.Millisecond

// probes holds the tokens for probes, shared by all services.
type probes struct {
	mu     sync.Mutex
	tokens *core.RequesterBudget
}

// WithProbeRate sets how many probes a second the entry may send; 0 is none.
func WithProbeRate(rate float64) Option {
	return func(e *Entry) { e.probeRate = rate }
}

func (p *probes) take(now clock.Milli) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tokens.Allow(now)
}

// probe is one request for a guard's view.
type probe struct {
	entry   *Entry
	service *service
	target  string
}

// probe asks a guard for its view without delaying the call that caused it.
func (e *Entry) probe(now clock.Milli, s *service) {
	target, ok := s.stale(now)
	if ok && e.probes.take(now) {
		go (&probe{entry: e, service: s, target: target}).run()
	}
}

func (p *probe) run() {
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
