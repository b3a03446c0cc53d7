package shift

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
)

const (
	// repeatInterval is the time between two sends of the same notice or
	// record. Repeats reach daemons that started in the meantime, and the log
	// after an outage.
	repeatInterval = 5 * clock.Second
)

// ActionKind is the kind of work that an Action requests.
type ActionKind int

// The kinds of actions that Step returns.
//
//go:generate ../../../bin/stringer -type ActionKind -linecomment
const (
	ActNotify ActionKind = iota // tell
	ActAppend                   // append
)

// Action is work that the caller of Step performs: sending a notice to all live
// daemons or appending a record to the log. The caller need not retry a failed
// action, because Core returns it again.
type Action struct {
	Kind   ActionKind
	Notice Notice
	Record applog.Record
}

// Core tracks the version moves of all services and evaluates those for which
// this daemon is a judge.
type Core struct {
	self     string
	opts     []trial.Option
	revision int64
	members  []string
	capacity map[string]Capacity
	moves    map[string]*move
	table    *Table
}

// New returns a Core for the daemon with the member id self. The options apply
// to each trial.SequentialTest that it creates.
func New(self string, opts ...trial.Option) *Core {
	return &Core{
		self: self, opts: opts, capacity: make(map[string]Capacity),
		moves: make(map[string]*move), table: &Table{},
	}
}

// Configure applies a configuration. A version move ends by a verdict or when
// it is withdrawn. The expiry of its exception has no effect, because nothing
// would then limit the share of an unproven version.
func (c *Core) Configure(now clock.Milli, cfg *policy.Config) {
	c.revision = cfg.Revision
	present := make(map[string]bool)
	for i := range cfg.Exceptions {
		e := cfg.Exceptions[i]
		if e.Effect != policy.EffectVersionMove || e.Move == nil {
			continue
		}
		present[e.Move.ID] = true
		m, ok := c.moves[e.Move.ID]
		// A new revision of the exception starts a new move, to which the
		// earlier evidence does not apply.
		if !ok || m.Exception.Revision != e.Revision {
			m = &move{}
			c.moves[e.Move.ID] = m
		}
		e.Move = withStart(now, &e, m.Exception.Move)
		m.Exception = e
	}
	for id := range c.moves {
		if !present[id] {
			delete(c.moves, id)
		}
	}
	c.updateJudging()
	c.updateTable(now)
}

// withStart returns a copy of the move with its start set. A move without a
// configured start begins when this daemon first applies it.
func withStart(now clock.Milli, e *policy.Exception, previous *policy.VersionMove) *policy.VersionMove {
	out := *e.Move
	out.Start = max(out.Start, e.Start)
	switch {
	case out.Start != 0:
	case previous != nil:
		out.Start = previous.Start
	default:
		out.Start = now
	}
	return &out
}

// SetMembers replaces the ids of the live members, from which the judges are
// selected.
func (c *Core) SetMembers(members []string) {
	c.members = members
	c.updateJudging()
}

// SetCapacity sets the load of a service and the slots of its new upstreams. It
// takes effect when the table is next updated, at the latest by Step.
func (c *Core) SetCapacity(service string, capacity Capacity) {
	c.capacity[service] = capacity
}

// updateJudging starts a test for each move that this daemon now judges and
// drops the tests of the others.
func (c *Core) updateJudging() {
	for _, m := range c.moves {
		m.isJudge = false
		for _, j := range SelectJudges(m.Exception.Move.Service, c.members) {
			m.isJudge = m.isJudge || j == c.self
		}
		if !m.isJudge {
			m.test, m.LowTrafficRoutes = nil, nil
		} else if m.test == nil {
			v := m.Exception.Move
			m.test = trial.New(v.NewVersion, v.FinishBy-v.Start, c.opts...)
		}
	}
}

// AddSample adds a sample of a guard to the tests of its service.
func (c *Core) AddSample(s *Sample) {
	for _, m := range c.moves {
		if m.test != nil && m.Exception.Move.Service == s.Service {
			m.test.AddSample(s)
		}
	}
}

// HandleNotice applies a notice of another daemon. A milestone that is already
// set stays as it is.
func (c *Core) HandleNotice(now clock.Milli, n *Notice) {
	m, ok := c.moves[n.Move]
	if !ok || n.Revision != m.Exception.Revision {
		return
	}
	if m.mergeMilestones(now, n.Milestones, n.Finding) {
		c.updateTable(now)
	}
}

// Step advances all moves to now and returns the actions that are due.
func (c *Core) Step(now clock.Milli) []Action {
	for _, m := range c.moves {
		m.evaluate(now)
	}
	c.updateTable(now)
	var out []Action
	for _, id := range c.sortedIDs() {
		m := c.moves[id]
		if m.isSettled() {
			continue
		}
		out = append(out, c.noticeActions(now, m)...)
		out = append(out, c.verdictActions(now, m)...)
	}
	return out
}

// noticeActions returns a notice when a milestone was reached, and repeats it
// every repeatInterval. Daemons that are not judges store the milestones and send them
// once they become judges.
func (c *Core) noticeActions(now clock.Milli, m *move) []Action {
	hasMilestone := m.Milestones.WorseAt > 0 || m.Milestones.ProvenAt > 0
	if !m.isJudge || !hasMilestone || (!m.noticePending && now-m.notifiedAt < repeatInterval) {
		return nil
	}
	m.noticePending, m.notifiedAt = false, now
	return []Action{{Kind: ActNotify, Notice: Notice{
		Move: m.Exception.Move.ID, Revision: m.Exception.Revision, Sender: c.self,
		Milestones: m.Milestones, Finding: m.Finding,
	}}}
}

// verdictActions returns the append of the final verdict, and repeats it every
// repeatInterval until the configuration contains the verdict.
func (c *Core) verdictActions(now clock.Milli, m *move) []Action {
	if !m.isJudge || (m.appendedAt > 0 && now-m.appendedAt < repeatInterval) {
		return nil
	}
	v := Verdict{Move: m.Exception.Move.ID, Revision: m.Exception.Revision, Judge: c.self, At: now}
	switch {
	case m.Milestones.WorseAt > 0:
		v.Ruling, v.Evidence = RulingTakenBack, DescribeFinding(&m.Finding)
	case m.Milestones.DoneAt > 0:
		v.Ruling, v.Evidence = RulingDone, "no route was worse while the new version took over the calls"
	default:
		return nil
	}
	r, err := v.Record(c.revision)
	if err != nil {
		return nil
	}
	m.appendedAt = now
	return []Action{{Kind: ActAppend, Record: r}}
}

// updateTable computes the shares of all moves and replaces the table.
func (c *Core) updateTable(now clock.Milli) {
	t := &Table{}
	for _, m := range c.latestFirst() {
		v := m.Exception.Move
		m.Decision = Decide(v, now, m.Milestones, c.capacity[v.Service])
		m.Overdue = !m.isSettled() && now > v.FinishBy
		switch {
		case m.Decision.Share < topShare:
			m.topShareSince = 0
		case m.topShareSince == 0:
			m.topShareSince = now
		}
		if m.Decision.Phase == TakenBack && m.stoppedAt == 0 {
			m.stoppedAt = now
		}
		stopped := m.stoppedAt
		if v.Done {
			stopped = 0
		}
		t.rows = append(t.rows, row{
			service: v.Service, move: v.ID, version: v.NewVersion,
			salt: xxhash.Sum64String(v.ID), share: m.Decision.Share, stoppedAt: stopped,
		})
	}
	c.table = t
}

// Table returns the current routing table. It is safe to share.
func (c *Core) Table() *Table {
	return c.table
}

// Progress returns the states of all moves, ordered by move id.
func (c *Core) Progress() []Progress {
	out := make([]Progress, 0, len(c.moves))
	for _, id := range c.sortedIDs() {
		out = append(out, c.moves[id].Progress)
	}
	return out
}

// latestFirst returns all moves, the latest one first.
func (c *Core) latestFirst() []*move {
	return slices.SortedFunc(maps.Values(c.moves), func(a, b *move) int {
		return cmp.Or(cmp.Compare(b.Exception.Revision, a.Exception.Revision), cmp.Compare(a.Exception.Move.ID, b.Exception.Move.ID))
	})
}

func (c *Core) sortedIDs() []string {
	ids := make([]string, 0, len(c.moves))
	for id := range c.moves {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
