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
	// Short lists routes with too little traffic for a conclusion. Only
	// judges know it.
	LowTrafficRoutes []string
	// Overdue says that finish_by passed without a verdict.
	Overdue bool
}

type move struct {
	Progress
	test     *trial.Test
	judging  bool
	told     clock.Milli
	news     bool
	appended clock.Milli
	fullAt   clock.Milli
	stopped  clock.Milli
}

// learn keeps the first finding of each kind and reports whether it was new.
func (m *move) learn(now clock.Milli, ev Milestones, f trial.Finding) bool {
	learned := false
	if ev.ProvenAt > 0 && m.Milestones.ProvenAt == 0 {
		m.Milestones.ProvenAt, learned = ev.ProvenAt, true
	}
	if ev.DoneAt > 0 && m.Milestones.DoneAt == 0 {
		m.Milestones.DoneAt, learned = ev.DoneAt, true
	}
	if ev.WorseAt > 0 && m.Milestones.WorseAt == 0 {
		m.Milestones.WorseAt, m.Finding, m.stopped, learned = ev.WorseAt, f, now, true
	}
	m.news = m.news || learned
	return learned
}

func (m *move) settled() bool {
	return m.Exception.Move.TakenBack || m.Exception.Move.Done
}

func (m *move) judge(now clock.Milli) {
	if m.test == nil || m.settled() {
		return
	}
	m.test.Step(now)
	res := m.test.Result()
	m.LowTrafficRoutes = res.LowTrafficRoutes
	switch res.Verdict {
	case trial.Worse:
		m.learn(now, Milestones{WorseAt: now}, res.Finding)
	case trial.NotWorse:
		m.learn(now, Milestones{ProvenAt: now}, trial.Finding{})
	case trial.Inconclusive:
	}
	if m.Milestones.WorseAt > 0 {
		return
	}
	m.Finding = res.Finding
	if m.fullAt > 0 && !res.Finding.IsSuspect() && now-m.fullAt >= hold(m.Exception.Move, m.Milestones) {
		m.learn(now, Milestones{DoneAt: now}, trial.Finding{})
	}
}
