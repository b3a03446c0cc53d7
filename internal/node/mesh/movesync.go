package mesh

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/canary"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// statusStoredBit is set in an encoded phase if the final status is in the store.
const statusStoredBit = 4

// Reasons of phases that this daemon did not determine.
const (
	reasonPeer  = "reported by a peer"
	reasonStore = "found in the store"
)

// encode returns the moves as sent to peers, with times as ages.
func (m *moveTracker) encode(now clock.Milli) []*wire.MoveState {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*wire.MoveState, 0, len(m.byService))
	for service, s := range m.byService {
		out = append(out, s.encode(now, service))
	}
	return out
}

func (s *moveState) encode(now clock.Milli, service string) *wire.MoveState {
	phase := uint32(s.move.Phase())
	if s.statusStored {
		phase |= statusStoredBit
	}
	ord := s.move.Order()
	step, at := s.move.LastStep()
	out := &wire.MoveState{
		Service: service, Offset: int64(ord.Position), AgeMs: float64(now - ord.ReceivedAt), Phase: phase,
		Step: uint32(step), StepAgeMs: float64(now - at), Version: ord.Version, OrderStored: s.orderStored,
	}
	for _, o := range s.move.Earlier() {
		out.Earlier = append(out.Earlier, &wire.MoveOutcome{Offset: int64(o.Position), Version: o.Version, Phase: uint32(o.Phase)})
	}
	return out
}

// decodeEarlier returns the outcomes of the moves before the latest one that a peer reports.
func decodeEarlier(w *wire.MoveState) []canary.Outcome {
	out := make([]canary.Outcome, 0, len(w.GetEarlier()))
	for _, o := range w.GetEarlier() {
		out = append(out, canary.Outcome{Position: feed.Position(o.GetOffset()), Version: o.GetVersion(), Phase: canary.Phase(o.GetPhase())})
	}
	return out
}

// decodeLatest returns the outcome of the latest move that a peer reports, and whether the store
// has it.
func decodeLatest(w *wire.MoveState) (o canary.Outcome, stored bool) {
	o = canary.Outcome{Position: feed.Position(w.GetOffset()), Version: w.GetVersion(), Phase: canary.Phase(w.GetPhase() &^ statusStoredBit)}
	return o, w.GetPhase()&statusStoredBit != 0
}

// merge adopts the progress that a peer reports of moves with the same order, and the outcomes
// of earlier ones. Complete says that the peer has all of these.
func (m *moveTracker) merge(now clock.Milli, in []*wire.MoveState, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range in {
		s := m.byService[w.GetService()]
		if s == nil || int64(s.move.Order().Position) < w.GetOffset() {
			// Outcomes of moves before an order that this daemon lacks would be lost.
			complete = false
		}
		if s == nil {
			continue
		}
		for _, o := range decodeEarlier(w) {
			m.mergeOutcome(now, s, o, reasonPeer)
		}
		m.mergeLatest(now, s, w)
	}
	if complete && m.loadedAt > 0 {
		m.complete.Store(true)
	}
}

// mergeLatest adopts the latest move of a peer, whose order may be replaced here. The caller holds
// the lock.
func (m *moveTracker) mergeLatest(now clock.Milli, s *moveState, w *wire.MoveState) {
	latest, stored := decodeLatest(w)
	if latest.Position != s.move.Order().Position {
		m.mergeOutcome(now, s, latest.Replaced(stored), reasonPeer)
		return
	}
	m.mergeOutcome(now, s, latest, reasonPeer)
	m.mergeProgress(now, s, w)
	if stored {
		m.setStoredPhase(now, s, latest.Phase, reasonPeer)
	}
}

// mergeProgress adopts how far a peer has processed the move with the same order. The caller
// holds the lock.
func (m *moveTracker) mergeProgress(now clock.Milli, s *moveState, w *wire.MoveState) {
	s.move.MergeStart(now - clock.Milli(w.GetAgeMs()))
	s.move.MergeStep(int(w.GetStep()), now-clock.Milli(w.GetStepAgeMs()))
	s.orderStored = s.orderStored || w.GetOrderStored()
}

// setStoredPhase records the final phase that the store has. It counts whatever this daemon
// had. The caller holds the lock.
func (m *moveTracker) setStoredPhase(now clock.Milli, s *moveState, p canary.Phase, reason string) {
	s.statusStored, s.wasStored = true, true
	if s.move.SetStoredPhase(p, reason) {
		m.recordProgress(s, now)
	}
}

// mergeOutcome adopts the outcome of the latest move of a service or of an earlier one. The
// caller holds the lock.
func (m *moveTracker) mergeOutcome(now clock.Milli, s *moveState, o canary.Outcome, reason string) {
	ord := s.move.Order()
	switch {
	case o.Position == ord.Position:
		if s.move.SetFinalPhase(o.Phase, reason) {
			m.recordProgress(s, now)
		}
	case o.Version == "":
		// A daemon of an earlier release does not name it.
	case s.move.AddEarlier(o):
		m.log.Info().Str("service", ord.Service).Str("version", ord.Version).Stringer("earlier", s.move.Earlier()).Msg("version_move_history")
	}
}

// mergeStatus adopts the status in the store of the latest move of a service. The caller holds
// the lock.
func (m *moveTracker) mergeStatus(now clock.Milli, s *moveState, stored canary.Status) {
	for _, o := range stored.Earlier {
		m.mergeOutcome(now, s, o, reasonStore)
	}
	latest := stored.Latest
	if !latest.IsOf(s.move.Order()) {
		m.mergeOutcome(now, s, latest, reasonStore)
		return
	}
	s.orderStored = true
	if latest.Phase != canary.Running {
		m.setStoredPhase(now, s, latest.Phase, reasonStore)
	}
}
