package shift

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
)

// Progress is the state of one version move as this daemon sees it.
type Progress struct {
	Exception policy.Exception
	Decision  Decision
	Evidence  Evidence
	Finding   trial.Evidence
	// Short lists routes with too little traffic for a conclusion. Only
	// judges know it.
	Short []string
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
func (m *move) learn(now clock.Milli, ev Evidence, f trial.Evidence) bool {
	learned := false
	if ev.ProvenAt > 0 && m.Evidence.ProvenAt == 0 {
		m.Evidence.ProvenAt, learned = ev.ProvenAt, true
	}
	if ev.DoneAt > 0 && m.Evidence.DoneAt == 0 {
		m.Evidence.DoneAt, learned = ev.DoneAt, true
	}
	if ev.WorseAt > 0 && m.Evidence.WorseAt == 0 {
		m.Evidence.WorseAt, m.Finding, m.stopped, learned = ev.WorseAt, f, now, true
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
	m.Short = res.Short
	switch res.Verdict {
	case trial.Worse:
		m.learn(now, Evidence{WorseAt: now}, res.Evidence)
	case trial.NotWorse:
		m.learn(now, Evidence{ProvenAt: now}, trial.Evidence{})
	case trial.None:
	}
	if m.Evidence.WorseAt > 0 {
		return
	}
	m.Finding = res.Evidence
	if m.fullAt > 0 && !res.Evidence.Suspect() && now-m.fullAt >= hold(m.Exception.Move, m.Evidence) {
		m.learn(now, Evidence{DoneAt: now}, trial.Evidence{})
	}
}
