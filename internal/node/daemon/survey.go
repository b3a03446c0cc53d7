package daemon

import (
	"context"
	"slices"
	"sync"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/centre"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// maxQueriesPerSurvey limits the members that a judge queries per
// surveyInterval and move, so that the cost does not grow with the fleet.
const maxQueriesPerSurvey = 24

// handleStatus answers a status query of a peer.
func (m *moveController) handleStatus(context.Context, *wire.ReportQuery) (*wire.StatusReply, error) {
	return m.ownStatus(), nil
}

func (m *moveController) ownStatus() *wire.StatusReply {
	foreground, background := m.callStats.busySlots()
	return &wire.StatusReply{
		Member: m.self.ID, Centre: m.self.Centre, Service: m.self.Service,
		Revision: m.conf.Config().Revision, InProgress: uint32(m.guard.InProgress()),
		Slots: uint32(m.self.Slots), Foreground: foreground, Background: background,
	}
}

// survey queries the status of members if this daemon is a judge of a data
// centre move in progress.
func (m *moveController) survey(ctx context.Context, now clock.Milli) {
	ids := m.membersToQuery(now)
	if len(ids) == 0 {
		return
	}
	go m.queryStatuses(ctx, ids)
}

// membersToQuery returns the members to query for all data centre moves that
// this daemon judges.
func (m *moveController) membersToQuery(now clock.Milli) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	members := m.sortedIDs
	var out []string
	for _, move := range m.centreMoves {
		if move.State != centre.Draining && move.State != centre.Done && move.State != centre.Announced {
			continue
		}
		if !slices.Contains(shift.SelectJudges(move.Exception.ID, members), m.self.ID) {
			continue
		}
		out = append(out, m.membersToQueryFor(now, members, move.Exception.Scope.Centre)...)
	}
	return out
}

// membersToQueryFor returns the members to query for the move of one data
// centre: first those in the data centre and those without a status, then a
// part of the others, in rotation.
func (m *moveController) membersToQueryFor(now clock.Milli, members []string, centreName string) []string {
	var first, others []string
	for i, id := range members {
		if id == m.self.ID {
			continue
		}
		s := m.statuses[id]
		switch {
		case s == nil || s.GetCentre() == centreName:
			first = append(first, id)
		case int64(now/surveyInterval)%int64(1+len(members)/maxQueriesPerSurvey) == int64(i/maxQueriesPerSurvey):
			others = append(others, id)
		}
	}
	first = append(first, others...)
	return first[:min(len(first), maxQueriesPerSurvey)]
}

// queryStatuses queries the members concurrently, within the limit of
// sendLimited, and records their statuses.
func (m *moveController) queryStatuses(ctx context.Context, ids []string) {
	var wg sync.WaitGroup
	for _, id := range ids {
		wg.Go(func() {
			m.sendLimited(ctx, func(ctx context.Context) error {
				s, err := peer{control: m.control, id: id}.queryStatus(ctx)
				if err != nil {
					return err
				}
				m.mu.Lock()
				defer m.mu.Unlock()
				m.recordStatus(m.clock.Now(), s)
				m.centreCore.SetLoads(m.sumLoads())
				return nil
			})
		})
	}
	wg.Wait()
}

// sumLoads sums the loads in the recorded statuses by service and data centre.
// The caller holds the lock.
func (m *moveController) sumLoads() []centre.ServiceLoad {
	type key struct{ service, centre string }
	sums := make(map[key]*centre.ServiceLoad)
	for _, s := range m.statuses {
		k := key{s.GetService(), s.GetCentre()}
		l := sums[k]
		if l == nil {
			l = &centre.ServiceLoad{Service: k.service, Centre: k.centre}
			sums[k] = l
		}
		l.Slots += float64(s.GetSlots())
		l.Foreground += s.GetForeground()
		l.Background += s.GetBackground()
	}
	out := make([]centre.ServiceLoad, 0, len(sums))
	for _, l := range sums {
		out = append(out, *l)
	}
	return out
}

// sendLimited runs f with sendTimeout, after waiting until fewer than
// maxConcurrentSends are running.
func (m *moveController) sendLimited(ctx context.Context, f func(context.Context) error) {
	select {
	case m.sendSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-m.sendSlots }()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout.Duration())
	defer cancel()
	if err := f(ctx); err != nil {
		m.log.Debug().Err(err).Msg("move_message_failed")
	}
}
