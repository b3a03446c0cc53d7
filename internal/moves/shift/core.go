package shift

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
)

const (
	// repeatEvery is the pause between repeats of a notice or an append. A
	// repeat reaches daemons that started meanwhile and a log that was down.
	repeatEvery = 5 * clock.Second
)

// ActionKind says what the shell must do.
type ActionKind int

// The kinds of actions.
//
//go:generate ../../../bin/stringer -type ActionKind -linecomment
const (
	ActNotify ActionKind = iota // tell
	ActAppend                   // append
)

// Action is work for the shell: a notice for all live daemons or a record for
// the log. A failed action needs no retry, as the core repeats it.
type Action struct {
	Kind   ActionKind
	Notice Notice
	Record applog.Record
}

// Core follows the version moves of all services and judges some of them.
type Core struct {
	self     string
	opts     []trial.Option
	revision int64
	members  []string
	capacity map[string]Capacity
	moves    map[string]*move
	table    *Table
}

// New returns the core of a daemon. The options go to its tests.
func New(self string, opts ...trial.Option) *Core {
	return &Core{
		self: self, opts: opts, capacity: make(map[string]Capacity),
		moves: make(map[string]*move), table: &Table{},
	}
}

// Configure takes in the configuration in force. A version move ends by a
// verdict or when it is withdrawn; the end of its exception has no effect, as
// an unproven version would get a full share then.
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
		// A new revision asks for a new move, to which old evidence does not apply.
		if !ok || m.Exception.Revision != e.Revision {
			m = &move{}
			c.moves[e.Move.ID] = m
		}
		e.Move = started(now, &e, m.Exception.Move)
		m.Exception = e
	}
	for id := range c.moves {
		if !present[id] {
			delete(c.moves, id)
		}
	}
	c.assign()
	c.decide(now)
}

// started returns the move with a definite start. One without a start begins
// when this daemon first has it in force.
func started(now clock.Milli, e *policy.Exception, before *policy.VersionMove) *policy.VersionMove {
	v := *e.Move
	v.Start = max(v.Start, e.Start)
	switch {
	case v.Start != 0:
	case before != nil:
		v.Start = before.Start
	default:
		v.Start = now
	}
	return &v
}

// SetMembers replaces the live members of the fleet.
func (c *Core) SetMembers(members []string) {
	c.members = members
	c.assign()
}

// SetCapacity takes in a service's load and the slots of its new upstreams.
func (c *Core) SetCapacity(service string, load Capacity) {
	c.capacity[service] = load
}

// assign starts or ends this daemon's work as a judge.
func (c *Core) assign() {
	for _, m := range c.moves {
		m.judging = false
		for _, j := range SelectJudges(m.Exception.Move.Service, c.members) {
			m.judging = m.judging || j == c.self
		}
		if !m.judging {
			m.test, m.LowTrafficRoutes = nil, nil
		} else if m.test == nil {
			v := m.Exception.Move
			m.test = trial.New(v.NewVersion, v.FinishBy-v.Start, c.opts...)
		}
	}
}

// AddSample takes in what a guard counted.
func (c *Core) AddSample(s *Sample) {
	for _, m := range c.moves {
		if m.test != nil && m.Exception.Move.Service == s.Service {
			m.test.AddSample(s)
		}
	}
}

// HandleNotice takes in what another daemon found. The first finding stays.
func (c *Core) HandleNotice(now clock.Milli, n *Notice) {
	m, ok := c.moves[n.Move]
	if !ok || n.Revision != m.Exception.Revision {
		return
	}
	if m.learn(now, n.Milestones, n.Finding) {
		c.decide(now)
	}
}

// Step advances all moves to now.
func (c *Core) Step(now clock.Milli) []Action {
	for _, m := range c.moves {
		m.judge(now)
	}
	c.decide(now)
	var out []Action
	for _, id := range c.ids() {
		m := c.moves[id]
		if m.settled() {
			continue
		}
		out = append(out, c.tell(now, m)...)
		out = append(out, c.rule(now, m)...)
	}
	return out
}

// tell passes findings on at once and repeats them. Daemons that are no judges
// keep what they were told, and tell it when they become judges.
func (c *Core) tell(now clock.Milli, m *move) []Action {
	known := m.Milestones.WorseAt > 0 || m.Milestones.ProvenAt > 0
	if !m.judging || !known || (!m.news && now-m.told < repeatEvery) {
		return nil
	}
	m.news, m.told = false, now
	return []Action{{Kind: ActNotify, Notice: Notice{
		Move: m.Exception.Move.ID, Revision: m.Exception.Revision, Sender: c.self,
		Milestones: m.Milestones, Finding: m.Finding,
	}}}
}

// rule asks for the final record until the configuration shows one.
func (c *Core) rule(now clock.Milli, m *move) []Action {
	if !m.judging || (m.appended > 0 && now-m.appended < repeatEvery) {
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
	m.appended = now
	return []Action{{Kind: ActAppend, Record: r}}
}

// decide computes the shares and publishes them.
func (c *Core) decide(now clock.Milli) {
	t := &Table{}
	for _, id := range c.ids() {
		m := c.moves[id]
		v := m.Exception.Move
		m.Decision = Decide(v, now, m.Milestones, c.capacity[v.Service])
		m.Overdue = !m.settled() && now > v.FinishBy
		switch {
		case m.Decision.Share < topShare:
			m.fullAt = 0
		case m.fullAt == 0:
			m.fullAt = now
		}
		if m.Decision.Phase == TakenBack && m.stopped == 0 {
			m.stopped = now
		}
		stopped := m.stopped
		if v.Done {
			stopped = 0
		}
		t.rows = append(t.rows, row{
			service: v.Service, move: id, version: v.NewVersion,
			salt: xxhash.Sum64String(id), share: m.Decision.Share, stopped: stopped,
		})
	}
	c.table = t
}

// Table returns the current answers for the path of a call.
func (c *Core) Table() *Table {
	return c.table
}

// Progress returns the state of all moves, ordered by id.
func (c *Core) Progress() []Progress {
	out := make([]Progress, 0, len(c.moves))
	for _, id := range c.ids() {
		out = append(out, c.moves[id].Progress)
	}
	return out
}

func (c *Core) ids() []string {
	ids := make([]string, 0, len(c.moves))
	for id := range c.moves {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
