package daemon

import (
	"context"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const sampleInterval = trial.WindowDuration

// handleEvidence applies the samples and notices of another daemon.
func (m *moveController) handleEvidence(_ context.Context, e *wire.Evidence) (*wire.Evidence, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range e.GetSamples() {
		if s, ok := shift.SampleFromWire(w); ok {
			m.shiftCore.AddSample(&s)
			m.loads.addSample(&s)
		}
	}
	now := m.clock.Now()
	for _, w := range e.GetNotices() {
		n := shift.NoticeFromWire(w)
		m.shiftCore.HandleNotice(now, &n)
		if v, ok := m.conf.Config().Exception(n.Move); ok && v.Move != nil && w.GetOffered() > 0 {
			m.updateCapacity(v.Move.Service, w.GetOffered(), m.fleet.Members())
		}
	}
	m.publishRules()
	return &wire.Evidence{}, nil
}

// sendSamples sends the collected samples of the guard to the judges of its
// service while a version move of the service is in progress.
func (m *moveController) sendSamples(ctx context.Context, now clock.Milli) {
	samples := m.callStats.drainSamples(now)
	if len(samples) == 0 || !m.hasActiveMove() {
		return
	}
	e := &wire.Evidence{}
	for i := range samples {
		e.Samples = append(e.Samples, shift.SampleToWire(&samples[i]))
	}
	for _, id := range shift.SelectJudges(m.self.Service, m.memberIDs()) {
		if id == m.self.ID {
			_, _ = m.handleEvidence(ctx, e)
			continue
		}
		go m.sendEvidence(ctx, id, e)
	}
}

func (m *moveController) hasActiveMove() bool {
	for _, v := range m.conf.Config().VersionMoves(m.self.Service) {
		if !v.TakenBack && !v.Done {
			return true
		}
	}
	return false
}

// memberIDs returns the sorted ids of the live members. The caller must not
// modify the slice.
func (m *moveController) memberIDs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sortedIDs
}

// sendEvidence sends evidence to one member, within the limit of sendLimited.
func (m *moveController) sendEvidence(ctx context.Context, id string, e *wire.Evidence) {
	m.sendLimited(ctx, func(ctx context.Context) error {
		return peer{control: m.control, id: id}.sendEvidence(ctx, e)
	})
}

// performActions starts the actions of the version moves. The core repeats an
// action that fails.
func (m *moveController) performActions(ctx context.Context, actions []shift.Action) {
	for _, a := range actions {
		switch a.Kind {
		case shift.ActNotify:
			e := &wire.Evidence{Notices: []*wire.Notice{m.noticeToWire(&a.Notice)}}
			for _, id := range m.memberIDs() {
				if id != m.self.ID {
					go m.sendEvidence(ctx, id, e)
				}
			}
		case shift.ActAppend:
			go m.appendVerdict(ctx, a)
		}
	}
}

// noticeToWire converts a notice and adds the load of the service, without
// which the receivers keep the new version at its cap.
func (m *moveController) noticeToWire(n *shift.Notice) *wire.Notice {
	w := shift.NoticeToWire(n)
	v, ok := m.conf.Config().Exception(n.Move)
	if ok && v.Move != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		w.Offered = m.loads.busySlots[v.Move.Service]
	}
	return w
}

// appendVerdict appends a verdict to the log and logs the outcome.
func (m *moveController) appendVerdict(ctx context.Context, a shift.Action) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	out, err := m.conf.Publish(ctx, a.Record)
	m.log.Info().Str("record", a.Record.ID).Str("status", out.Status.String()).AnErr("error", err).Msg("verdict_appended")
}
