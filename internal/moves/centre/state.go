// Package centre decides on taking data centres out of service and returning them.
// It is deterministic and not safe for concurrent use, except for the immutable Gate.
package centre

import (
	"context"

	"github.com/looplab/fsm"
)

// State is the progress of a data centre move.
type State int

// The states of a move, in their usual order. A data centre is out while Draining and
// Done; Done means that all members have confirmed it.
//
//go:generate ../../../bin/stringer -type State -linecomment
const (
	Announced State = iota // announced
	Draining               // draining
	Done                   // done
	Returning              // returning
	Returned               // returned
)

// Cause says why a member prevents a move from being done.
type Cause int

// CauseOldRevision means that the member has an older configuration than the
// exception, CauseInProgress that calls are in progress in the data centre.
//
//go:generate ../../../bin/stringer -type Cause -linecomment
const (
	// CauseSilent means that no status was received since the start of the move
	// or within StatusTTL.
	CauseSilent      Cause = iota // silent
	CauseOldRevision              // old_revision
	CauseInProgress               // in_progress
)

const (
	eventStart  = "start"
	eventFinish = "finish"
	eventReopen = "reopen"
	eventReturn = "return"
	eventSettle = "settle"
	eventCancel = "cancel"
)

func newStateMachine() *fsm.FSM {
	return fsm.NewFSM(Announced.String(), fsm.Events{
		{Name: eventStart, Src: stateNames(Announced, Returning, Returned), Dst: Draining.String()},
		{Name: eventFinish, Src: stateNames(Draining), Dst: Done.String()},
		// A member may join late or report calls in progress again.
		{Name: eventReopen, Src: stateNames(Done), Dst: Draining.String()},
		{Name: eventReturn, Src: stateNames(Announced, Draining, Done), Dst: Returning.String()},
		{Name: eventSettle, Src: stateNames(Returning), Dst: Returned.String()},
		{Name: eventCancel, Src: stateNames(Announced), Dst: Returned.String()},
	}, fsm.Callbacks{})
}

func stateNames(states ...State) []string {
	out := make([]string, 0, len(states))
	for _, s := range states {
		out = append(out, s.String())
	}
	return out
}

func currentState(m *fsm.FSM) State {
	for s := Announced; s <= Returned; s++ {
		if m.Is(s.String()) {
			return s
		}
	}
	return Announced
}

// fireEvent reports whether the event was possible in the current state.
func fireEvent(m *fsm.FSM, event string) bool {
	return m.Event(context.Background(), event) == nil
}
