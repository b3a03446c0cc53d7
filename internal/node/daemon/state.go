package daemon

import (
	"context"
	"fmt"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/server"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/centre"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
)

// Moves implements server.Moves. An operator may ask any daemon, which need
// not be a judge, so all members are asked first.
func (m *mover) Moves(ctx context.Context) []server.MoveState {
	var ids []string
	for _, id := range m.members() {
		if id != m.self.ID {
			ids = append(ids, id)
		}
	}
	m.loopSurvey(ctx, ids)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last = m.centres.Step(m.clock.Now())
	out := make([]server.MoveState, 0, len(m.last))
	for i := range m.last {
		out = append(out, centreState(&m.last[i]))
	}
	for _, p := range m.shifts.Progress() {
		out = append(out, shiftState(&p))
	}
	return out
}

func centreState(m *centre.Move) server.MoveState {
	s := server.MoveState{
		ID: m.Exception.ID, Kind: "centre", Subject: "data centre " + m.Exception.Scope.Centre,
		State: m.State.String(), Share: m.Share, Reason: m.Exception.Reason, Author: m.Exception.Author,
	}
	for _, b := range m.Blockers {
		s.Waiting = append(s.Waiting, fmt.Sprintf("%s (%s)", b.Member, b.Cause))
	}
	for _, j := range m.Capacity {
		if j.Fit != centre.FitEnough {
			s.Detail = fmt.Sprintf("service %s: %s, %.0f%% of background work is shed", j.Service, j.Fit, 100*j.BackgroundShedShare)
		}
	}
	return s
}

func shiftState(p *shift.Progress) server.MoveState {
	v := p.Exception.Move
	s := server.MoveState{
		ID: v.ID, Kind: "version", Service: v.Service, Subject: v.Service + " to version " + v.NewVersion,
		State: p.Decision.Phase.String(), Share: p.Decision.Share, Detail: v.Evidence,
		Reason: p.Exception.Reason, Author: p.Exception.Author,
	}
	if p.Overdue {
		s.Waiting = append(s.Waiting, "overdue")
	}
	for _, route := range p.LowTrafficRoutes {
		s.Waiting = append(s.Waiting, "too little traffic on route "+route)
	}
	return s
}
