package daemon

import (
	"context"
	"fmt"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/server"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/centre"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
)

// Moves implements server.MoveLister. It first queries all members, because an
// operator may use any daemon, and only judges have recent statuses.
func (m *moveController) Moves(ctx context.Context) []server.MoveState {
	var ids []string
	for _, id := range m.memberIDs() {
		if id != m.self.ID {
			ids = append(ids, id)
		}
	}
	m.queryStatuses(ctx, ids)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.centreMoves = m.centreCore.Step(m.clock.Now())
	out := make([]server.MoveState, 0, len(m.centreMoves))
	for i := range m.centreMoves {
		out = append(out, centreMoveState(&m.centreMoves[i]))
	}
	for _, p := range m.shiftCore.Progress() {
		out = append(out, versionMoveState(&p))
	}
	return out
}

func centreMoveState(m *centre.Move) server.MoveState {
	s := server.MoveState{
		ID: m.Exception.ID, Kind: "centre", Subject: "data centre " + m.Exception.Scope.Centre,
		State: m.State.String(), Share: m.Share, Reason: m.Exception.Reason, Author: m.Exception.Author,
	}
	for _, b := range m.Blockers {
		s.WaitingFor = append(s.WaitingFor, fmt.Sprintf("%s (%s)", b.Member, b.Cause))
	}
	for _, capacity := range m.Capacity {
		if capacity.Fit != centre.FitEnough {
			s.Detail = fmt.Sprintf("service %s: %s, %.0f%% of background work is shed", capacity.Service, capacity.Fit, 100*capacity.BackgroundShedShare)
		}
	}
	return s
}

func versionMoveState(p *shift.Progress) server.MoveState {
	v := p.Exception.Move
	s := server.MoveState{
		ID: v.ID, Kind: "version", Service: v.Service, Subject: v.Service + " to version " + v.NewVersion,
		State: p.Decision.Phase.String(), Share: p.Decision.Share, Detail: v.Evidence,
		Reason: p.Exception.Reason, Author: p.Exception.Author,
	}
	if p.Overdue {
		s.WaitingFor = append(s.WaitingFor, "overdue")
	}
	for _, route := range p.LowTrafficRoutes {
		s.WaitingFor = append(s.WaitingFor, "too little traffic on route "+route)
	}
	return s
}
