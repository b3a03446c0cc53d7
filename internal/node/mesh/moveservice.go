package mesh

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/canary"
)

const (
	// recordsSettleTime is how long after its first orders a daemon may lack the records of
	// daemons that start at the same time.
	recordsSettleTime = 2 * clock.Second
	// recordsRefreshInterval is the shortest time between the reads of all records that a
	// move to the version in service needs to end.
	recordsRefreshInterval = clock.Second
)

// updateOnlyVersion updates whether the ordered version of a running move is the only one that
// may get calls. This daemon may lack the latest records, so the move continues; but its requests
// are not refused for the lack of other versions. The caller holds the lock.
func (m *moveTracker) updateOnlyVersion(now clock.Milli, s *moveState) {
	if s.move.Phase() != canary.Running || s.otherVersionSeen {
		s.isOnlyVersion = false
		return
	}
	found := m.findVersions(s.move)
	s.otherVersionSeen = found.other
	isSettled := m.records.isComplete() && m.complete.Load() && now-m.loadedAt >= recordsSettleTime
	isOnly := isSettled && found.ordered && !found.other && !found.unknown
	if isOnly != s.isOnlyVersion {
		ord := s.move.Order()
		m.log.Info().Str("service", ord.Service).Str("version", ord.Version).Bool("only", isOnly).
			Bool("other", found.other).Bool("unknown", found.unknown).Msg("version_move_only_version")
	}
	s.isOnlyVersion = isOnly
}

// endIfInService ends a running move to the only version in service. The end holds for all
// daemons and lets the operator stop the other upstreams, so it takes all records that the
// store had after the order; without them, the move ends like any other. It reports whether the
// phase changed. The caller holds the lock.
func (m *moveTracker) endIfInService(now clock.Milli, s *moveState) bool {
	if !s.isOnlyVersion {
		return false
	}
	if !m.records.hasReadSince(max(s.move.Order().ReceivedAt, m.loadedAt+recordsSettleTime)) {
		m.refreshRecords(now)
		return false
	}
	return s.move.SetFinalPhase(canary.Succeeded, "the version is in service")
}

// refreshRecords requests a read of all records, unless one was requested a short time ago. The
// caller holds the lock.
func (m *moveTracker) refreshRecords(now clock.Milli) {
	if now-m.recordsRefreshedAt < recordsRefreshInterval {
		return
	}
	m.recordsRefreshedAt = now
	m.requestRecords()
}

// foundVersions says which upstreams of the service of a move this daemon has records of.
type foundVersions struct {
	// ordered is set if there are upstreams of the ordered version, other if there are some of
	// another version that may get calls.
	ordered, other bool
	// unknown is set if there is a daemon whose upstream is not known yet.
	unknown bool
}

// findVersions returns which upstreams there are. Records of daemons without an open link count
// too.
func (m *moveTracker) findVersions(move *canary.Move) foundVersions {
	var out foundVersions
	ord, records := move.Order(), m.table.Records()
	for i := range records {
		r := &records[i]
		switch {
		case r.Service != ord.Service || hasEnded(r):
		case r.Instance == "":
			out.unknown = true
		case r.Version == ord.Version:
			out.ordered = out.ordered || !r.Stopped
		case move.Earlier().Allows(r.Version):
			out.other = true
		}
	}
	return out
}

// hasEnded reports whether the upstream of a record gets no more calls. A daemon that stopped
// beside an upstream that is not leaving may start again beside it.
func hasEnded(r *peers.Record) bool {
	return r.Stopped && (r.Leaving || r.Instance == "")
}
