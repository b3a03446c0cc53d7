package entry

import (
	"context"

	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// probeTimeout bounds the wait for a guard's view, which is worthless later.
const probeTimeout = 100 * clock.Millisecond

// Prober holds the probe budget of the entry. It must be safe for concurrent
// use.
type Prober interface {
	// Next is asked once per call and returns the target to probe now, if any.
	Next(now clock.Milli, service string) (target string, ok bool)
}

// WithProber sets the source of probes; by default there are none.
func WithProber(p Prober) Option {
	return func(e *Entry) { e.prober = p }
}

// probe is one request for a guard's view.
type probe struct {
	entry   *Entry
	service *service
	target  string
}

// probe asks a guard for its view without delaying the call that caused it.
func (e *Entry) probe(now clock.Milli, s *service) {
	if e.prober == nil {
		return
	}
	if target, ok := e.prober.Next(now, s.name); ok {
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
	p.service.observe(now, *link.DecodeView(v, now))
}
