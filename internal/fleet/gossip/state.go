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

// The states of the membership of this daemon, as returned by State.
const (
	Joining = "joining"
	Live    = "live"
	Leaving = "leaving"
	Left    = "left"

	// The events of the state machine.
	eventJoined        = "joined"
	eventStartLeaving  = "leave"
	eventFinishLeaving = "gone"
)

func newStateMachine(log zerolog.Logger) *fsm.FSM {
	return fsm.NewFSM(Joining, fsm.Events{
		{Name: eventJoined, Src: []string{Joining}, Dst: Live},
		{Name: eventStartLeaving, Src: []string{Joining, Live}, Dst: Leaving},
		{Name: eventFinishLeaving, Src: []string{Joining, Live, Leaving}, Dst: Left},
	}, fsm.Callbacks{
		"enter_state": func(_ context.Context, e *fsm.Event) {
			log.Info().Str("from", e.Src).Str("to", e.Dst).Msg("membership_state")
		},
	})
}

// transition triggers an event and reports whether the state changed. An event
// that is not valid in the current state is ignored, such as the end of a join
// after the daemon started to leave.
func (m *Membership) transition(event string) bool {
	return m.state.Event(context.Background(), event) == nil
}

// State returns Joining, Live, Leaving or Left.
func (m *Membership) State() string { return m.state.Current() }

// StartLeaving announces that this daemon accepts no new work.
func (m *Membership) StartLeaving() {
	if m.transition(eventStartLeaving) {
		m.handle(member.StartLeaving{}, budget.Update)
	}
}

// FinishLeaving announces that this daemon has left the fleet. It waits 1 s, in
// which the departure is gossiped, and a random time of up to 5 s. Then it
// records the departure in the platform log. The random delay avoids a burst of
// appends when a whole data centre stops. It returns early if ctx is done.
func (m *Membership) FinishLeaving(ctx context.Context) {
	if !m.transition(eventFinishLeaving) {
		return
	}
	m.handle(member.FinishLeaving{}, budget.Update)
	if !clock.Sleep(ctx, clock.Second+clock.FromDuration(leaveJitter)*clock.Milli(rand.Float64())) {
		return
	}
	if err := m.settings.Seeds.Leave(ctx, m.Self()); err != nil {
		m.settings.Log.Warn().Err(err).Msg("leave_not_logged")
	}
}

// Publish distributes a topic update to all daemons of the fleet.
func (m *Membership) Publish(update member.TopicUpdate) {
	m.handle(member.Publish{Update: update}, budget.Update)
}

// Self returns the latest fact that this daemon announced about itself.
func (m *Membership) Self() member.Fact {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Self()
}

// Members returns the live members (alive or suspect), including this daemon,
// sorted by ID.
func (m *Membership) Members() []member.Fact {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Members()
}

// Lookup returns the latest fact about a member, including a dead or departed
// one for as long as its tombstone is kept.
func (m *Membership) Lookup(id string) (member.Fact, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Lookup(id)
}

// Size returns the number of live members (alive or suspect), including this
// daemon.
func (m *Membership) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.LiveCount()
}
