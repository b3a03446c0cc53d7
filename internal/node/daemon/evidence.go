package daemon

import (
	"context"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const sampleInterval = trial.WindowDuration

// evidence takes in samples and notices of other daemons.
func (m *mover) evidence(_ context.Context, e *wire.Evidence) (*wire.Evidence, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range e.GetSamples() {
		if s, ok := shift.SampleFromWire(w); ok {
			m.shifts.AddSample(&s)
			m.offers.add(&s)
		}
	}
	now := m.clock.Now()
	for _, w := range e.GetNotices() {
		n := shift.NoticeFromWire(w)
		m.shifts.HandleNotice(now, &n)
		if v, ok := m.conf.Config().Exception(n.Move); ok && v.Move != nil && w.GetOffered() > 0 {
			m.capacity(v.Move.Service, w.GetOffered(), m.fleet.Members())
		}
	}
	m.publish()
	return &wire.Evidence{}, nil
}

// sendSamples sends what the guard counted to the judges of its service, as
// long as a version move of the service is not settled.
func (m *mover) sendSamples(ctx context.Context, now clock.Milli) {
	samples := m.counts.take(now)
	if len(samples) == 0 || !m.moving() {
		return
	}
	e := &wire.Evidence{}
	for i := range samples {
		e.Samples = append(e.Samples, shift.SampleToWire(&samples[i]))
	}
	for _, id := range shift.SelectJudges(m.self.Service, m.members()) {
		if id == m.self.ID {
			_, _ = m.evidence(ctx, e)
			continue
		}
		go m.loopSend(ctx, id, e)
	}
}

func (m *mover) moving() bool {
	for _, v := range m.conf.Config().VersionMoves(m.self.Service) {
		if !v.TakenBack && !v.Done {
			return true
		}
	}
	return false
}

// members returns the ids of the live members in order. The slice must not be
// changed.
func (m *mover) members() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ids
}

// loopSend delivers evidence to one member.
func (m *mover) loopSend(ctx context.Context, id string, e *wire.Evidence) {
	m.send(ctx, func(ctx context.Context) error {
		return peer{control: m.control, id: id}.evidence(ctx, e)
	})
}

// act carries out what the version moves ask for. The core repeats an action
// that fails.
func (m *mover) act(ctx context.Context, actions []shift.Action) {
	for _, a := range actions {
		switch a.Kind {
		case shift.ActNotify:
			e := &wire.Evidence{Notices: []*wire.Notice{m.notice(&a.Notice)}}
			for _, id := range m.members() {
				if id != m.self.ID {
					go m.loopSend(ctx, id, e)
				}
			}
		case shift.ActAppend:
			go m.loopAppend(ctx, a)
		}
	}
}

// notice adds the service's load to a notice, without which the others keep
// the new version at its cap.
func (m *mover) notice(n *shift.Notice) *wire.Notice {
	w := shift.NoticeToWire(n)
	v, ok := m.conf.Config().Exception(n.Move)
	if ok && v.Move != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		w.Offered = m.offers.load[v.Move.Service]
	}
	return w
}

// loopAppend appends a verdict to the log.
func (m *mover) loopAppend(ctx context.Context, a shift.Action) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	out, err := m.conf.Publish(ctx, a.Record)
	m.log.Info().Str("record", a.Record.ID).Str("status", out.Status.String()).AnErr("error", err).Msg("verdict_appended")
}
