package mesh

import (
	"context"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/canary"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	// stepInterval is the time between looks at the evidence.
	stepInterval = 100 * clock.Millisecond
)

// writtenBit marks a phase whose status is known to be in the store.
const writtenBit = 4

// moveState is one move and what this daemon did about it.
type moveState struct {
	move *canary.Move
	// ended is when the phase became final here.
	ended clock.Milli
	// written says that the store has the final status.
	written bool
	tried   clock.Milli
}

// moves follow the version moves that operators ordered.
type moves struct {
	self  string
	clock clock.Clock
	log   zerolog.Logger
	table *peers.Table
	// push tells all peers about an ended move.
	push func()

	mu       sync.Mutex
	services map[string]*moveState
}

// ordered takes in the orders in force.
func (m *moves) ordered(o *order.ActiveSet) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, ord := range o.Moves {
		old := m.services[service]
		if old != nil && old.move.Order().Offset >= ord.Offset {
			continue
		}
		m.services[service] = &moveState{move: canary.New(ord)}
		m.log.Info().Str("service", service).Str("version", ord.Version).
			Float64("within_ms", float64(ord.MaxDuration)).Msg("version_move_ordered")
	}
}

// active reports whether a move of the service runs.
func (m *moves) active(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[service]
	return s != nil && s.move.Phase() == canary.Running
}

// versions returns how the requests of a service are spread, nil if all
// upstreams may serve them.
func (m *moves) versions(service string) *versions {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.spread(service)
}

// versionsFor returns the same with the part that one request belongs to.
func (m *moves) versionsFor(now clock.Milli, req *call.Request) *versions {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.spread(req.Service)
	if v == nil {
		return nil
	}
	v.moved = draw(req.ID) < uint64(v.share*draws)
	if v.moved && !v.final {
		v.chosen = m.services[req.Service].move.Subset(now, m.upstreams(req.Service, v.to))
	}
	return v
}

// spread implements versions. The caller holds the lock.
func (m *moves) spread(service string) *versions {
	s := m.services[service]
	if s == nil {
		return nil
	}
	return &versions{to: s.move.Order().Version, share: s.move.Share(), final: s.move.Phase() != canary.Running}
}

// upstreams returns the daemons beside the upstreams of a version.
func (m *moves) upstreams(service, version string) []string {
	var out []string
	for _, t := range m.table.Targets(service) {
		if t.Version == version {
			out = append(out, t.ID)
		}
	}
	return out
}

// judge reports whether this daemon is one of those that get the counts of all
// guards of a service.
func (m *moves) judge(service string) bool {
	return slices.Contains(shift.SelectJudges(service, m.table.LinkedIDs()), m.self)
}

// observe takes in what a guard counted.
func (m *moves) observe(r *wire.TallyReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.services[r.GetService()]; s != nil {
		s.move.Observe(m.clock.Now(), r.GetTarget(), r.GetIncarnation(), r.GetVersion(), link.DecodeRouteStats(r.GetTallies()))
	}
}

// Serve implements suture.Service.
func (m *moves) Serve(ctx context.Context) error {
	return m.run(ctx)
}

func (m *moves) run(ctx context.Context) error {
	return clock.Every(ctx, stepInterval, func() {
		if m.step(m.clock.Now()) {
			m.push()
		}
	})
}

// step lets the moves that this daemon judges go on. It reports whether the
// phase or the share of one changed.
func (m *moves) step(now clock.Milli) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for service, s := range m.services {
		if s.move.Phase() != canary.Running || !m.judge(service) || !s.move.Evaluate(now) {
			continue
		}
		changed = true
		m.report(service, s, now)
	}
	return changed
}

// report logs that a move went on or ended.
func (m *moves) report(service string, s *moveState, now clock.Milli) {
	ord := s.move.Order()
	line := m.log.Info().Str("service", service).Str("version", ord.Version)
	if s.move.Phase() == canary.Running {
		line.Float64("share", s.move.Share()).Float64("age_ms", float64(now-ord.ReceivedAt)).Msg("version_move_grew")
		return
	}
	s.ended = now
	line.Str("phase", s.move.Phase().String()).Str("why", s.move.RollbackReason()).Msg("version_move_ended")
}

// encode returns what peers are told.
func (m *moves) encode(now clock.Milli) []*wire.MoveState {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*wire.MoveState, 0, len(m.services))
	for service, s := range m.services {
		phase := uint32(s.move.Phase())
		if s.written {
			phase |= writtenBit
		}
		ord := s.move.Order()
		step, at := s.move.LastStep()
		out = append(out, &wire.MoveState{
			Service: service, Offset: ord.Offset, AgeMs: float64(now - ord.ReceivedAt), Phase: phase,
			Step: uint32(step), StepAgeMs: float64(now - at),
		})
	}
	return out
}

// merge takes in what a peer told.
func (m *moves) merge(now clock.Milli, in []*wire.MoveState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range in {
		s := m.services[w.GetService()]
		if s == nil || s.move.Order().Offset != w.GetOffset() {
			continue
		}
		s.move.MergeStart(now - clock.Milli(w.GetAgeMs()))
		s.move.MergeStep(int(w.GetStep()), now-clock.Milli(w.GetStepAgeMs()))
		if s.move.SetFinalPhase(canary.Phase(w.GetPhase()&^writtenBit), "told by a peer") {
			m.report(w.GetService(), s, now)
		}
		s.written = s.written || w.GetPhase()&writtenBit != 0
	}
}
