package centre

import (
	"sort"

	"github.com/looplab/fsm"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

// MemberStatus is the latest status that a live member reported.
type MemberStatus struct {
	Member string
	Centre string
	// Revision is the configuration in force at the member.
	Revision int64
	// InProgress counts the calls at its upstream, queued ones included.
	InProgress int
	// ReceivedAt is when the status was received; zero means never.
	ReceivedAt clock.Milli
}

// Blocker is a member that prevents a move from being done, with its latest status.
// StatusReceivedAt is zero if it never reported one.
type Blocker struct {
	Member           string
	Centre           string
	Cause            Cause
	Revision         int64
	InProgress       int
	StatusReceivedAt clock.Milli
}

// Move describes the move of one data centre out of service and back.
type Move struct {
	Exception policy.Exception
	State     State
	// StateSince is when State was entered.
	StateSince clock.Milli
	// Share is the share in 0..1 of its usual new work that the data centre gets.
	Share    float64
	Blockers []Blocker
	Capacity []CapacityAssessment
}

type move struct {
	Move
	stateMachine *fsm.FSM
	// inForce reports whether the configuration has the exception.
	inForce bool
	// inForceSince is when the exception last came into force at this daemon.
	inForceSince clock.Milli
	// endedAt is when the data centre began to return, zero before that.
	endedAt clock.Milli
}

// Core decides on all data centre moves from the view of one daemon.
type Core struct {
	opts    Options
	moves   map[string]*move
	members map[string]MemberStatus
	loads   []ServiceLoad
	gate    *Gate
}

// New returns a Core without moves, members and loads.
func New(opts ...Option) *Core {
	o := Options{
		RampDuration: clock.Minute, InitialShare: 0.05, StatusTTL: 10 * clock.Second,
		MaxUtilisation: 0.85, Retention: clock.Hour,
	}
	for _, opt := range opts {
		opt(&o)
	}
	c := &Core{opts: o, moves: make(map[string]*move), members: make(map[string]MemberStatus)}
	c.gate = c.buildGate(nil)
	return c
}

// Configure applies the configuration in force to the moves and to the gate.
func (c *Core) Configure(now clock.Milli, cfg *policy.Config) {
	wasInForce := make(map[string]bool, len(c.moves))
	for id, m := range c.moves {
		wasInForce[id] = m.inForce
		m.inForce = false
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
		} else if !wasInForce[e.ID] {
			m.inForceSince = now
		}
		m.Exception, m.inForce = e, true
	}
	c.Step(now)
}

func newMove(now clock.Milli) *move {
	return &move{Move: Move{State: Announced, StateSince: now}, stateMachine: newStateMachine(), inForceSince: now}
}

// Observe records the status of a live member.
func (c *Core) Observe(s MemberStatus) {
	c.members[s.Member] = s
}

// AddMember adds a live member that has not reported a status yet. It does nothing if
// the member exists.
func (c *Core) AddMember(member, centre string) {
	if _, ok := c.members[member]; !ok {
		c.members[member] = MemberStatus{Member: member, Centre: centre}
	}
}

// RemoveMember removes a member that left or died. Don't call it for one that is only
// unreachable, as that one may still have calls in progress.
func (c *Core) RemoveMember(member string) {
	delete(c.members, member)
}

// SetLoads replaces the loads that capacity is assessed for.
func (c *Core) SetLoads(loads []ServiceLoad) {
	c.loads = loads
}

// Gate returns the gate of the latest Configure or Step.
func (c *Core) Gate() *Gate {
	return c.gate
}

// Step advances all moves to now and returns them, ordered by exception id. Moves
// in state Returned are removed after the retention period if their exception is no
// longer in force.
func (c *Core) Step(now clock.Milli) []Move {
	ids := make([]string, 0, len(c.moves))
	for id := range c.moves {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		m := c.moves[id]
		c.advance(now, m)
		if !m.inForce && m.State == Returned && now > m.StateSince+c.opts.Retention {
			delete(c.moves, id)
		}
	}
	c.gate = c.buildGate(ids)
	c.gate.shedShares = c.shedShares(now)
	out := make([]Move, 0, len(ids))
	for _, id := range ids {
		if m, ok := c.moves[id]; ok {
			m.Share = c.gate.Share(now, m.Exception.Scope.Centre)
			m.Capacity = c.assessCapacity(now, m)
			out = append(out, m.Move)
		}
	}
	return out
}

func (c *Core) advance(now clock.Milli, m *move) {
	m.applyException(now)
	if m.State == Returning && now >= m.endedAt+c.opts.RampDuration {
		m.transition(now, eventSettle)
	}
	m.Blockers = nil
	if !m.isOut() {
		return
	}
	m.Blockers = c.blockers(now, m)
	// Without members there is no evidence that the data centre is idle.
	if len(m.Blockers) == 0 && len(c.members) > 0 {
		m.transition(now, eventFinish)
	} else {
		m.transition(now, eventReopen)
	}
}

func (m *move) isOut() bool {
	return m.State == Draining || m.State == Done
}

// applyException fires the event that the exception requires at now. An event that is
// not possible in the current state has no effect.
func (m *move) applyException(now clock.Milli) {
	e := &m.Exception
	expired := m.inForce && e.End != 0 && now >= e.End
	switch {
	case m.inForce && e.Active(now):
		if !m.isOut() {
			m.endedAt = 0
		}
		m.transition(now, eventStart)
	case m.isOut():
		m.endedAt = now
		if expired {
			m.endedAt = e.End
		}
		m.transition(now, eventReturn)
	case m.State == Announced && expired:
		m.endedAt = e.End
		m.transition(now, eventReturn)
	case !m.inForce:
		m.transition(now, eventCancel)
	}
}

// transition fires an event and records the new state if it was possible.
func (m *move) transition(now clock.Milli, event string) {
	if fireEvent(m.stateMachine, event) {
		m.State = currentState(m.stateMachine)
		m.StateSince = now
	}
}

// blockers returns the members that prevent a move from being done, ordered by name.
func (c *Core) blockers(now clock.Milli, m *move) []Blocker {
	startedAt := max(m.Exception.Start, m.inForceSince)
	out := make([]Blocker, 0, len(c.members))
	for _, s := range c.members {
		b := Blocker{Member: s.Member, Centre: s.Centre, Revision: s.Revision, InProgress: s.InProgress, StatusReceivedAt: s.ReceivedAt}
		switch {
		case s.ReceivedAt < startedAt || s.ReceivedAt == 0 || now-s.ReceivedAt > c.opts.StatusTTL:
			b.Cause = CauseSilent
		case s.Revision < m.Exception.Revision:
			b.Cause = CauseOldRevision
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

// assessCapacity assesses the capacity during a move. An announced move is assessed as
// if its data centre were out already, so that a shortage is reported in advance.
func (c *Core) assessCapacity(now clock.Milli, m *move) []CapacityAssessment {
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

// shedShares returns the share of background work to shed for each service, nil while
// all data centres get their full share.
func (c *Core) shedShares(now clock.Milli) map[string]float64 {
	reduced := false
	for _, m := range c.moves {
		reduced = reduced || c.gate.Share(now, m.Exception.Scope.Centre) < 1
	}
	if !reduced {
		return nil
	}
	shares := make(map[string]float64)
	for _, assessment := range AssessCapacity(c.loads, func(centre string) float64 { return c.gate.Share(now, centre) }, c.opts.MaxUtilisation) {
		if assessment.BackgroundShedShare > 0 {
			shares[assessment.Service] = assessment.BackgroundShedShare
		}
	}
	return shares
}

// buildGate returns a gate for the moves of these exceptions, without shedding.
func (c *Core) buildGate(ids []string) *Gate {
	g := &Gate{rampDuration: c.opts.RampDuration, initialShare: c.opts.InitialShare}
	for _, id := range ids {
		m, ok := c.moves[id]
		if !ok {
			continue
		}
		period := outPeriod{centre: m.Exception.Scope.Centre, exception: id, inForceSince: m.inForceSince}
		if m.endedAt != 0 {
			period.end = m.endedAt
			g.outPeriods = append(g.outPeriods, period)
		}
		if m.inForce && (m.endedAt == 0 || m.Exception.Start >= m.endedAt) {
			period.start, period.end = m.Exception.Start, m.Exception.End
			g.outPeriods = append(g.outPeriods, period)
		}
	}
	return g
}
