// Package admit decides which calls a guard hands to its upstream.
package admit

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// Ticket is a call that asks for admission.
type Ticket struct {
	ID       call.ID
	Class    call.Class
	Deadline clock.Milli
}

// Action admits or refuses one call.
type Action struct {
	ID     call.ID
	Admit  bool
	Reason call.Reason
}

// Result is how an admitted call ended at the upstream.
type Result struct {
	// Latency is the time from handing over to the response's first byte.
	Latency clock.Milli
	Failed  bool
	// NewConnection says that the call had to open a connection.
	NewConnection bool
	// Epoch is what the upstream reports of its start, zero when it does not.
	Epoch uint64
}

// Admitter holds the calls of one upstream. It is not safe for concurrent use.
type Admitter struct {
	slots  int
	active map[call.ID]call.Class
}

// New returns an admitter for an upstream with a number of slots.
func New(slots int) *Admitter {
	return &Admitter{slots: slots, active: make(map[call.ID]call.Class)}
}

// Offer asks for admission of a call.
func (a *Admitter) Offer(_ clock.Milli, t Ticket) []Action {
	if len(a.active) >= a.slots {
		return []Action{{ID: t.ID, Reason: call.ReasonSlotsFull}}
	}
	a.active[t.ID] = t.Class
	return []Action{{ID: t.ID, Admit: true}}
}

// Done takes in the end of an admitted call.
func (a *Admitter) Done(_ clock.Milli, id call.ID, _ Result) []Action {
	delete(a.active, id)
	return nil
}

// Cancel removes a call that still waits for admission.
func (a *Admitter) Cancel(clock.Milli, call.ID) []Action {
	return nil
}

// Tick lets waiting calls time out.
func (a *Admitter) Tick(clock.Milli) []Action {
	return nil
}

// View reports the state of the upstream.
func (a *Admitter) View(clock.Milli) call.View {
	return call.View{InProgress: len(a.active), Limit: a.slots, Slots: a.slots}
}
