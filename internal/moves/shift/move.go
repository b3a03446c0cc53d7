package shift

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
)

// Progress is the state of one version move as this daemon sees it.
type Progress struct {
	Exception  policy.Exception
	Decision   Decision
	Milestones Milestones
	Finding    trial.Finding
	// LowTrafficRoutes lists the routes with too few calls for a conclusion. It
	// is set only on judges.
	LowTrafficRoutes []string
	// Overdue reports that finish_by has passed without a verdict.
	Overdue bool
}

type move struct {
	Progress
	test          *trial.SequentialTest
	isJudge       bool
	notifiedAt    clock.Milli
	noticePending bool
	appendedAt    clock.Milli
	topShareSince clock.Milli
	stoppedAt     clock.Milli
}

// mergeMilestones sets the milestones that were not reached before and reports
// whether there were any.
func (m *move) mergeMilestones(now clock.Milli, reached Milestones, f trial.Finding) bool {
	changed := false
	if reached.ProvenAt > 0 && m.Milestones.ProvenAt == 0 {
		m.Milestones.ProvenAt, changed = reached.ProvenAt, true
	}
	if reached.DoneAt > 0 && m.Milestones.DoneAt == 0 {
		m.Milestones.DoneAt, changed = reached.DoneAt, true
	}
	if reached.WorseAt > 0 && m.Milestones.WorseAt == 0 {
		m.Milestones.WorseAt, m.Finding, m.stoppedAt, changed = reached.WorseAt, f, now, true
	}
	m.noticePending = m.noticePending || changed
	return changed
}

func (m *move) isSettled() bool {
	return m.Exception.Move.TakenBack || m.Exception.Move.Done
}

func (m *move) evaluate(now clock.Milli) {
	if m.test == nil || m.isSettled() {
		return
	}
	m.test.Step(now)
	res := m.test.Result()
	m.LowTrafficRoutes = res.LowTrafficRoutes
	switch res.Verdict {
	case trial.Worse:
		m.mergeMilestones(now, Milestones{WorseAt: now}, res.Finding)
	case trial.NotWorse:
		m.mergeMilestones(now, Milestones{ProvenAt: now}, trial.Finding{})
	case trial.Inconclusive:
	}
	if m.Milestones.WorseAt > 0 {
		return
	}
	m.Finding = res.Finding
	if m.topShareSince > 0 && !res.Finding.IsSuspect() && now-m.topShareSince >= holdDuration(m.Exception.Move, m.Milestones) {
		m.mergeMilestones(now, Milestones{DoneAt: now}, trial.Finding{})
	}
}
