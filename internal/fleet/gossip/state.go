package gossip

import (
	"context"
	"math/rand/v2"

	"github.com/looplab/fsm"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// The states and events of this daemon's own membership.
const (
	Joining = "joining"
	Live    = "live"
	Leaving = "leaving"
	Left    = "left"

	evJoined = "joined"
	evLeave  = "leave"
	evGone   = "gone"
)

func newLife(log zerolog.Logger) *fsm.FSM {
	return fsm.NewFSM(Joining, fsm.Events{
		{Name: evJoined, Src: []string{Joining}, Dst: Live},
		{Name: evLeave, Src: []string{Joining, Live}, Dst: Leaving},
		{Name: evGone, Src: []string{Joining, Live, Leaving}, Dst: Left},
	}, fsm.Callbacks{
		"enter_state": func(_ context.Context, e *fsm.Event) {
			log.Info().Str("from", e.Src).Str("to", e.Dst).Msg("membership_state")
		},
	})
}

// transition ignores an event that the current state does not have, such as
// the end of a join after this member began to leave.
func (s *Membership) transition(ev string) bool {
	return s.life.Event(context.Background(), ev) == nil
}

// State returns the state of this daemon's own membership.
func (s *Membership) State() string { return s.life.Current() }

// StartLeaving announces that this daemon takes no new work.
func (s *Membership) StartLeaving() {
	if s.transition(evLeave) {
		s.handle(member.StartLeaving{}, budget.Update)
	}
}

// FinishLeaving announces that this daemon has finished. It takes up to 6 s or until
// ctx is done: the departure is sent a few times, and the log is told at a
// random moment, so that a data centre that stops makes no surge.
func (s *Membership) FinishLeaving(ctx context.Context) {
	if !s.transition(evGone) {
		return
	}
	s.handle(member.FinishLeaving{}, budget.Update)
	if !clock.Sleep(ctx, clock.Second+clock.FromDuration(leaveSpread)*clock.Milli(rand.Float64())) {
		return
	}
	if err := s.s.Seeds.Leave(ctx, s.Self()); err != nil {
		s.s.Log.Warn().Err(err).Msg("leave_not_logged")
	}
}

// Publish spreads an item of news.
func (s *Membership) Publish(n member.TopicUpdate) {
	s.handle(member.Publish{Update: n}, budget.Update)
}

// Self returns what this daemon announces of itself.
func (s *Membership) Self() member.Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Self()
}

// Members returns all members that are not gone.
func (s *Membership) Members() []member.Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Members()
}

// Lookup returns what is known of a member.
func (s *Membership) Lookup(id string) (member.Fact, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Lookup(id)
}

// Size returns the number of members that are not gone.
func (s *Membership) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.LiveCount()
}
