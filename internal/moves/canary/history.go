package canary

import (
	"cmp"
	"slices"
	"strings"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
)

// maxOutcomes limits the length of a History. The oldest outcomes are dropped.
const maxOutcomes = 32

// Outcome is the phase that a version move has reached.
type Outcome struct {
	// Position is that of the order of the move. It is feed.PositionNone in a status of an
	// earlier release, which does not name the order.
	Position feed.Position
	Version  string
	// Phase is Running also if a later order replaced the move before it ended.
	Phase Phase
}

// IsOf reports whether the outcome is that of the move that was ordered by ord. In a restored
// copy of the store, a record has its offset in a later era.
func (o Outcome) IsOf(ord order.Move) bool {
	if o.Version != ord.Version {
		return false
	}
	isCopy := o.Position.Era() != ord.Position.Era() && o.Position.Offset() == ord.Position.Offset()
	return o.Position == ord.Position || isCopy || o.Position == feed.PositionNone
}

// Replaced returns the outcome of a move that a later order replaces. A success that the store
// never had counts as none: the operator did not see it, so the other upstreams still run.
func (o Outcome) Replaced(stored bool) Outcome {
	if o.Phase == Succeeded && !stored {
		o.Phase = Running
	}
	return o
}

// String returns the version and the phase.
func (o Outcome) String() string {
	return o.Version + " " + o.Phase.String()
}

// Status is what the store has of the moves of a service.
type Status struct {
	Latest  Outcome
	Earlier History
}

// History has the outcomes of the moves of a service before the latest one, by position, as
// far as they decide which versions get calls: that of the last move that succeeded or, if
// none did, that of the last move to each version. It is immutable.
type History []Outcome

// With returns the history with an outcome added. Of an outcome that is known, a phase other
// than Running is kept.
func (h History) With(o Outcome) History {
	out := slices.Clone(h)
	i, known := slices.BinarySearchFunc(out, o, func(a, b Outcome) int { return cmp.Compare(a.Position, b.Position) })
	switch {
	case !known:
		out = slices.Insert(out, i, o)
	case out[i].Phase == Running:
		out[i].Phase = o.Phase
	}
	return out.pruned()
}

// pruned returns the history without the outcomes that decide nothing.
func (h History) pruned() History {
	if i := h.lastSuccess(); i >= 0 {
		return h[i : i+1]
	}
	var out History
	for i, o := range h {
		isLast := !slices.ContainsFunc(h[i+1:], func(later Outcome) bool { return later.Version == o.Version })
		if isLast {
			out = append(out, o)
		}
	}
	return out[max(0, len(out)-maxOutcomes):]
}

// lastSuccess returns the index of the last move that succeeded, negative if none did.
func (h History) lastSuccess() int {
	for i, o := range slices.Backward(h) {
		if o.Phase == Succeeded {
			return i
		}
	}
	return -1
}

// Allows reports whether a version may get calls: that of the last move that succeeded or, if
// none did, each one without a move. A version that was rolled back or whose move was replaced
// before it ended may get none until it is ordered again.
func (h History) Allows(version string) bool {
	if i := h.lastSuccess(); i >= 0 {
		return h[i].Version == version
	}
	return !slices.ContainsFunc(h, func(o Outcome) bool { return o.Version == version })
}

// String returns the outcomes, separated by commas.
func (h History) String() string {
	parts := make([]string, 0, len(h))
	for _, o := range h {
		parts = append(parts, o.String())
	}
	return strings.Join(parts, ", ")
}
