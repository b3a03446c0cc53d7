// Package centre decides about taking data centres out of service and
// returning them. It is deterministic and not safe for concurrent use; the
// Gate that it publishes is immutable and may be shared.
package centre

import (
	"context"

	"github.com/looplab/fsm"
)

// State is how far the move of a data centre has come.
type State int

// The states of a move.
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

// The causes.
//
//go:generate ../../../bin/stringer -type Cause -linecomment
const (
	// CauseSilent means that no status was received since the move began, or
	// none recently.
	CauseSilent     Cause = iota // silent
	CauseRevision                // old_revision
	CauseInProgress              // in_progress
)

const (
	evStart  = "start"
	evFinish = "finish"
	evReopen = "reopen"
	evReturn = "return"
	evSettle = "settle"
	evCancel = "cancel"
)

func newMachine() *fsm.FSM {
	return fsm.NewFSM(Announced.String(), fsm.Events{
		{Name: evStart, Src: names(Announced, Returning, Returned), Dst: Draining.String()},
		{Name: evFinish, Src: names(Draining), Dst: Done.String()},
		// A member that was missed can show up with calls in progress.
		{Name: evReopen, Src: names(Done), Dst: Draining.String()},
		{Name: evReturn, Src: names(Announced, Draining, Done), Dst: Returning.String()},
		{Name: evSettle, Src: names(Returning), Dst: Returned.String()},
		{Name: evCancel, Src: names(Announced), Dst: Returned.String()},
	}, fsm.Callbacks{})
}

func names(states ...State) []string {
	out := make([]string, 0, len(states))
	for _, s := range states {
		out = append(out, s.String())
	}
	return out
}

func stateOf(m *fsm.FSM) State {
	for s := Announced; s <= Returned; s++ {
		if m.Is(s.String()) {
			return s
		}
	}
	return Announced
}

// fire reports whether the event was possible in the current state.
func fire(m *fsm.FSM, event string) bool {
	return m.Event(context.Background(), event) == nil
}
