package mesh

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

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
	// evaluationInterval is the time between evaluations of the running moves.
	evaluationInterval = 100 * clock.Millisecond
)

// moveState is a version move and how far this daemon has processed it.
type moveState struct {
	move *canary.Move
	// changedAt is when this daemon received the order or, later, the final phase.
	changedAt clock.Milli
	// orderStored is set once the store has a status that names the order, statusStored once
	// it has the final one.
	orderStored  bool
	statusStored bool
	// wasStored is set once the store has had the final status, also before a restore.
	wasStored bool
	// otherVersionSeen is set once this daemon has had a record of another version that may
	// get calls.
	otherVersionSeen bool
	// isOnlyVersion is set while no other version may get calls, as far as this daemon's
	// records say.
	isOnlyVersion bool
	// lastWriteAt is when this daemon last tried to store the status.
	lastWriteAt clock.Milli
}

// isStored reports whether the store has the current phase.
func (s *moveState) isStored() bool {
	if s.move.Phase() == canary.Running {
		return s.orderStored
	}
	return s.statusStored
}

// moveTracker evaluates the version moves that operators ordered.
type moveTracker struct {
	self  string
	clock clock.Clock
	log   zerolog.Logger
	table *peers.Table
	// records says whether the table has the records of all daemons. requestRecords requests
	// a read of all of them; it must not block.
	records        *recordsView
	requestRecords func()
	// notifyPeers sends the moves to all peers. It is called without the lock after a
	// change.
	notifyPeers func()

	// onOrder is called with the lock when an order starts a move.
	onOrder func(ord order.Move)
	// complete is set once this daemon has the outcomes of all earlier moves that decide which
	// versions get calls.
	complete atomic.Bool

	mu sync.Mutex
	// byService has the latest move of each service.
	byService map[string]*moveState
	// loadedAt is when this daemon received its first orders.
	loadedAt clock.Milli
	// recordsRefreshedAt is when this tracker last requested a read of all records.
	recordsRefreshedAt clock.Milli
}

// applyOrders starts the moves that are ordered in o and newer than the known ones.
func (m *moveTracker) applyOrders(o *order.ActiveSet) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordFirstOrders(len(o.Moves))
	for service, ord := range o.Moves {
		old := m.byService[service]
		if old != nil && old.move.Order().Position >= ord.Position {
			continue
		}
		if old != nil && ord.Repeats {
			m.repeatMove(service, old, ord)
			continue
		}
		var earlier canary.History
		if old != nil {
			earlier = old.move.Earlier().With(old.move.Outcome().Replaced(old.wasStored))
		}
		s := &moveState{move: canary.New(ord, canary.WithEarlier(earlier)), changedAt: m.clock.Now()}
		m.byService[service] = s
		m.onOrder(ord)
		m.log.Info().Str("service", service).Str("version", ord.Version).Stringer("earlier", earlier).
			Float64("within_ms", float64(ord.MaxDuration)).Msg("version_move_ordered")
		m.updateOnlyVersion(s.changedAt, s)
	}
}

// repeatMove continues a move whose order was written again after a restore of the store. The
// restore may have lost its status, so it is written again too. The caller holds the
// lock.
func (m *moveTracker) repeatMove(service string, s *moveState, ord order.Move) {
	s.move.RepeatOrder(ord)
	s.orderStored, s.statusStored, s.changedAt = false, false, m.clock.Now()
	m.log.Info().Str("service", service).Str("version", ord.Version).Str("phase", s.move.Phase().String()).Msg("version_move_repeated")
}

// runningOrder returns the order of the running move of a service, false if there is none.
func (m *moveTracker) runningOrder(service string) (order.Move, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.byService[service]
	if s == nil || s.move.Phase() != canary.Running {
		return order.Move{}, false
	}
	return s.move.Order(), true
}

// serviceSplit returns how the requests of a service are split between versions, nil
// if no move was ordered.
func (m *moveTracker) serviceSplit(service string) *trafficSplit {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.serviceSplitLocked(service)
}

// requestSplit returns the split for one request, with toVersion and subset set. It
// returns nil if no move was ordered.
func (m *moveTracker) requestSplit(now clock.Milli, req *call.Request) *trafficSplit {
	m.mu.Lock()
	defer m.mu.Unlock()
	split := m.serviceSplitLocked(req.Service)
	if split == nil {
		return nil
	}
	split.toVersion = splitBucket(req.ID) < uint64(split.share*splitBuckets)
	if split.toVersion && !split.final {
		split.subset = m.byService[req.Service].move.Subset(now, m.targetIDs(req.Service, split.version))
	}
	return split
}

// serviceSplitLocked implements serviceSplit. The caller holds the lock.
func (m *moveTracker) serviceSplitLocked(service string) *trafficSplit {
	s := m.byService[service]
	if s == nil {
		return nil
	}
	split := &trafficSplit{
		version: s.move.Order().Version, share: s.move.Share(), final: s.move.Phase() != canary.Running, earlier: s.move.Earlier(),
	}
	if s.isOnlyVersion {
		split.share, split.final = 1, true
	}
	return split
}

// targetIDs returns the ids of the targets of a version.
func (m *moveTracker) targetIDs(service, version string) []string {
	var out []string
	for _, t := range m.table.Targets(service) {
		if t.Version == version {
			out = append(out, t.ID)
		}
	}
	return out
}

// isJudge reports whether this daemon is one of the judges of a service, which receive
// the call statistics of all its guards and evaluate its move.
func (m *moveTracker) isJudge(service string) bool {
	return slices.Contains(shift.SelectJudges(service, m.table.LinkedIDs()), m.self)
}

// observe records the call statistics that a guard reports.
func (m *moveTracker) observe(r *wire.TallyReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.byService[r.GetService()]; s != nil {
		s.move.Observe(m.clock.Now(), r.GetTarget(), r.GetIncarnation(), r.GetVersion(), link.DecodeRouteStats(r.GetTallies()))
	}
}

// Serve implements suture.Service.
func (m *moveTracker) Serve(ctx context.Context) error {
	return m.run(ctx)
}

func (m *moveTracker) run(ctx context.Context) error {
	return clock.Every(ctx, evaluationInterval, func() {
		if m.evaluate(m.clock.Now()) {
			m.notifyPeers()
		}
	})
}

// evaluate evaluates the running moves that this daemon is a judge of. It reports whether the
// phase or the step of one changed.
func (m *moveTracker) evaluate(now clock.Milli) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for service, s := range m.byService {
		m.updateOnlyVersion(now, s)
		if s.move.Phase() != canary.Running || !m.isJudge(service) || !m.evaluateMove(now, s) {
			continue
		}
		changed = true
		m.recordProgress(s, now)
	}
	return changed
}

// evaluateMove evaluates a running move and reports whether the phase or the step changed. A
// daemon that knows nobody considers itself a judge, so one that may lack records of others
// only rolls back. The caller holds the lock.
func (m *moveTracker) evaluateMove(now clock.Milli, s *moveState) bool {
	if !m.records.isComplete() {
		return s.move.EvaluateRollback(now)
	}
	return m.endIfInService(now, s) || s.move.Evaluate(now)
}

// recordProgress logs a completed step or the end of a move and sets changedAt at the
// end.
func (m *moveTracker) recordProgress(s *moveState, now clock.Milli) {
	ord := s.move.Order()
	evidence := s.move.Evidence()
	event := m.log.Info().Str("service", ord.Service).Str("version", ord.Version).
		Uint64("answers", evidence.Answers).Uint64("bad", evidence.Bad).
		Float64("expected_bad", evidence.Expected).Float64("probability", evidence.Probability)
	if s.move.Phase() == canary.Running {
		event.Float64("share", s.move.Share()).Float64("age_ms", float64(now-ord.ReceivedAt)).Msg("version_move_grew")
		return
	}
	s.changedAt = now
	event.Str("phase", s.move.Phase().String()).Str("why", s.move.PhaseReason()).Msg("version_move_ended")
}

// evidence returns the evidence on the latest move of a service, which is empty unless this
// daemon is one of its judges.
func (m *moveTracker) evidence(service string) canary.Evidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.byService[service]; s != nil {
		return s.move.Evidence()
	}
	return canary.Evidence{}
}
