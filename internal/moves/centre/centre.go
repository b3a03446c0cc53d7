package centre

import (
	"sort"

	"github.com/looplab/fsm"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

// Status is what a live member last said of itself.
type Status struct {
	Member string
	Centre string
	// Revision is the configuration in force at the member.
	Revision int64
	// InProgress counts the calls at its upstream, queued ones included.
	InProgress int
	// ReceivedAt is when the status was received; zero means never.
	ReceivedAt clock.Milli
}

// Blocker is a member that prevents a move from being done.
type Blocker struct {
	Member           string
	Centre           string
	Cause            Cause
	Revision         int64
	InProgress       int
	StatusReceivedAt clock.Milli
}

// Move is the state of one data centre move.
type Move struct {
	Exception policy.Exception
	State     State
	// Since is when the state was entered.
	StateSince clock.Milli
	Share      float64
	Blockers   []Blocker
	Capacity   []CapacityAssessment
}

type move struct {
	Move
	machine *fsm.FSM
	present bool
	// known is when this daemon first had the exception in force.
	known clock.Milli
	ended clock.Milli
}

// Core decides about all data centre moves as one daemon sees them.
type Core struct {
	opts    Options
	moves   map[string]*move
	members map[string]Status
	loads   []Load
	gate    *Gate
}

// New returns a core without moves.
func New(opts ...Option) *Core {
	o := Options{
		RampDuration: clock.Minute, InitialShare: 0.05, StatusTTL: 10 * clock.Second,
		MaxUtilisation: 0.85, Retention: clock.Hour,
	}
	for _, opt := range opts {
		opt(&o)
	}
	c := &Core{opts: o, moves: make(map[string]*move), members: make(map[string]Status)}
	c.gate = c.build(nil)
	return c
}

// Configure takes in the configuration in force. The gate follows at once.
func (c *Core) Configure(now clock.Milli, cfg *policy.Config) {
	had := make(map[string]bool, len(c.moves))
	for id, m := range c.moves {
		had[id] = m.present
		m.present = false
	}
	for i := range cfg.Exceptions {
		e := cfg.Exceptions[i]
		if e.Effect != policy.EffectCentreOut {
			continue
		}
		m, ok := c.moves[e.ID]
		if !ok {
			m = newMove(now)
			c.moves[e.ID] = m
		} else if !had[e.ID] {
			m.known = now
		}
		m.Exception, m.present = e, true
	}
	c.Step(now)
}

func newMove(now clock.Milli) *move {
	return &move{Move: Move{State: Announced, StateSince: now}, machine: newMachine(), known: now}
}

// Observe takes in a live member's status.
func (c *Core) Observe(s Status) {
	c.members[s.Member] = s
}

// AddMember adds a live member of which no status is known yet.
func (c *Core) AddMember(member, centre string) {
	if _, ok := c.members[member]; !ok {
		c.members[member] = Status{Member: member, Centre: centre}
	}
}

// RemoveMember drops a member that left or died. An unreachable member is not gone.
func (c *Core) RemoveMember(member string) {
	delete(c.members, member)
}

// SetLoads replaces the load of all services.
func (c *Core) SetLoads(loads []Load) {
	c.loads = loads
}

// Gate returns the current answers for the path of a call.
func (c *Core) Gate() *Gate {
	return c.gate
}

// Step advances all moves to now and returns them, ordered by exception id.
func (c *Core) Step(now clock.Milli) []Move {
	ids := make([]string, 0, len(c.moves))
	for id := range c.moves {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		m := c.moves[id]
		c.advance(now, m)
		if !m.present && m.State == Returned && now > m.StateSince+c.opts.Retention {
			delete(c.moves, id)
		}
	}
	c.gate = c.build(ids)
	c.gate.shed = c.shed(now)
	out := make([]Move, 0, len(ids))
	for _, id := range ids {
		if m, ok := c.moves[id]; ok {
			m.Share = c.gate.Share(now, m.Exception.Scope.Centre)
			m.Capacity = c.capacity(now, m)
			out = append(out, m.Move)
		}
	}
	return out
}

func (c *Core) advance(now clock.Milli, m *move) {
	m.follow(now)
	if m.State == Returning && now >= m.ended+c.opts.RampDuration {
		m.enter(now, evSettle)
	}
	m.Blockers = nil
	if !m.out() {
		return
	}
	m.Blockers = c.blockers(now, m)
	// Without any member nothing is known, so nothing is done.
	if len(m.Blockers) == 0 && len(c.members) > 0 {
		m.enter(now, evFinish)
	} else {
		m.enter(now, evReopen)
	}
}

func (m *move) out() bool {
	return m.State == Draining || m.State == Done
}

// follow enters the state that the exception asks for. An event that is not
// possible in the current state changes nothing.
func (m *move) follow(now clock.Milli) {
	e := &m.Exception
	over := m.present && e.End != 0 && now >= e.End
	switch {
	case m.present && e.Active(now):
		if !m.out() {
			m.ended = 0
		}
		m.enter(now, evStart)
	case m.out():
		m.ended = now
		if over {
			m.ended = e.End
		}
		m.enter(now, evReturn)
	case m.State == Announced && over:
		m.ended = e.End
		m.enter(now, evReturn)
	case !m.present:
		m.enter(now, evCancel)
	}
}

func (m *move) enter(now clock.Milli, event string) {
	if fire(m.machine, event) {
		m.State = stateOf(m.machine)
		m.StateSince = now
	}
}

// blockers lists, in the order of their names, the members that prevent done.
func (c *Core) blockers(now clock.Milli, m *move) []Blocker {
	began := max(m.Exception.Start, m.known)
	out := make([]Blocker, 0, len(c.members))
	for _, s := range c.members {
		b := Blocker{Member: s.Member, Centre: s.Centre, Revision: s.Revision, InProgress: s.InProgress, StatusReceivedAt: s.ReceivedAt}
		switch {
		case s.ReceivedAt < began || s.ReceivedAt == 0 || now-s.ReceivedAt > c.opts.StatusTTL:
			b.Cause = CauseSilent
		case s.Revision < m.Exception.Revision:
			b.Cause = CauseRevision
		case s.Centre == m.Exception.Scope.Centre && s.InProgress > 0:
			b.Cause = CauseInProgress
		default:
			continue
		}
		out = append(out, b)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Member < out[j].Member })
	return out
}

// capacity judges a move as if its data centre were out already, so that a
// shortage is known before the move begins.
func (c *Core) capacity(now clock.Milli, m *move) []CapacityAssessment {
	if m.State == Returned || len(c.loads) == 0 {
		return nil
	}
	return AssessCapacity(c.loads, func(centre string) float64 {
		if m.State == Announced && centre == m.Exception.Scope.Centre {
			return 0
		}
		return c.gate.Share(now, centre)
	}, c.opts.MaxUtilisation)
}

func (c *Core) shed(now clock.Milli) map[string]float64 {
	reduced := false
	for _, m := range c.moves {
		reduced = reduced || c.gate.Share(now, m.Exception.Scope.Centre) < 1
	}
	if !reduced {
		return nil
	}
	shed := make(map[string]float64)
	for _, j := range AssessCapacity(c.loads, func(centre string) float64 { return c.gate.Share(now, centre) }, c.opts.MaxUtilisation) {
		if j.BackgroundShedShare > 0 {
			shed[j.Service] = j.BackgroundShedShare
		}
	}
	return shed
}

func (c *Core) build(ids []string) *Gate {
	g := &Gate{ramp: c.opts.RampDuration, first: c.opts.InitialShare}
	for _, id := range ids {
		m, ok := c.moves[id]
		if !ok {
			continue
		}
		s := span{centre: m.Exception.Scope.Centre, exception: id, known: m.known}
		if m.ended != 0 {
			s.until = m.ended
			g.spans = append(g.spans, s)
		}
		if m.present && (m.ended == 0 || m.Exception.Start >= m.ended) {
			s.from, s.until = m.Exception.Start, m.Exception.End
			g.spans = append(g.spans, s)
		}
	}
	return g
}
