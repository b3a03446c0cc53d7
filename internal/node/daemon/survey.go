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

// surveyAtMost bounds the members that a judge asks per interval, so that the
// cost does not grow with the fleet.
const surveyAtMost = 24

// status answers a peer that asks for this daemon's status.
func (m *mover) status(context.Context, *wire.ReportQuery) (*wire.StatusReply, error) {
	return m.ownStatus(), nil
}

func (m *mover) ownStatus() *wire.StatusReply {
	fore, back := m.counts.busy()
	return &wire.StatusReply{
		Member: m.self.ID, Centre: m.self.Centre, Service: m.self.Service,
		Revision: m.conf.Config().Revision, InProgress: uint32(m.guard.InProgress()),
		Slots: uint32(m.self.Slots), Foreground: fore, Background: back,
	}
}

// survey asks members for their status if this daemon is a judge of a data
// centre move that is in progress.
func (m *mover) survey(ctx context.Context, now clock.Milli) {
	ids := m.toAsk(now)
	if len(ids) == 0 {
		return
	}
	go m.loopSurvey(ctx, ids)
}

// toAsk returns the members whose status prevents a judged move from being
// done, those of the move's data centre first.
func (m *mover) toAsk(now clock.Milli) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	members := m.ids
	var out []string
	for _, mv := range m.last {
		if mv.State != centre.Draining && mv.State != centre.Done && mv.State != centre.Announced {
			continue
		}
		if !slices.Contains(shift.SelectJudges(mv.Exception.ID, members), m.self.ID) {
			continue
		}
		out = append(out, m.stale(now, members, mv.Exception.Scope.Centre)...)
	}
	return out
}

// stale returns the members to ask. They are asked in turns.
func (m *mover) stale(now clock.Milli, members []string, out string) []string {
	var first, later []string
	for i, id := range members {
		if id == m.self.ID {
			continue
		}
		s := m.loads[id]
		switch {
		case s == nil || s.GetCentre() == out:
			first = append(first, id)
		case int64(now/surveyInterval)%int64(1+len(members)/surveyAtMost) == int64(i/surveyAtMost):
			later = append(later, id)
		}
	}
	first = append(first, later...)
	return first[:min(len(first), surveyAtMost)]
}

// loopSurvey asks the members, a few at once.
func (m *mover) loopSurvey(ctx context.Context, ids []string) {
	var wg sync.WaitGroup
	for _, id := range ids {
		wg.Go(func() {
			m.send(ctx, func(ctx context.Context) error {
				s, err := peer{control: m.control, id: id}.status(ctx)
				if err != nil {
					return err
				}
				m.mu.Lock()
				defer m.mu.Unlock()
				m.observe(m.clock.Now(), s)
				m.centres.SetLoads(m.totals())
				return nil
			})
		})
	}
	wg.Wait()
}

// totals sums the loads that are known by service and data centre. The caller
// holds the lock.
func (m *mover) totals() []centre.Load {
	type key struct{ service, centre string }
	sums := make(map[key]*centre.Load)
	for _, s := range m.loads {
		k := key{s.GetService(), s.GetCentre()}
		l := sums[k]
		if l == nil {
			l = &centre.Load{Service: k.service, Centre: k.centre}
			sums[k] = l
		}
		l.Slots += float64(s.GetSlots())
		l.Foreground += s.GetForeground()
		l.Background += s.GetBackground()
	}
	out := make([]centre.Load, 0, len(sums))
	for _, l := range sums {
		out = append(out, *l)
	}
	return out
}

// send runs f with a timeout as soon as one of the few places is free.
func (m *mover) send(ctx context.Context, f func(context.Context) error) {
	select {
	case m.sending <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-m.sending }()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout.Duration())
	defer cancel()
	if err := f(ctx); err != nil {
		m.log.Debug().Err(err).Msg("move_message_failed")
	}
}
