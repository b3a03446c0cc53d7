package mesh

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// rules apply the orders in force to calls. They implement entry.Rules.
type rules struct {
	book  *order.Book
	moves *moves
}

// draws is the resolution of a version's share.
const draws = 10000

// draw spreads requests evenly over 0 to draws-1.
func draw(id call.ID) uint64 {
	return xxhash.Sum64(id[:]) % draws
}

// Allow implements entry.Rules.
func (r *rules) Allow(now clock.Milli, req *call.Request) (func(*call.Target) bool, call.Reason) {
	out := r.book.Orders().Out
	versions := r.moves.versions(now, req.Service)
	if len(out) == 0 && versions == nil {
		return nil, call.ReasonNone
	}
	moved := versions != nil && draw(req.ID) < uint64(versions.share*draws)
	reason := call.ReasonVersionShare
	if len(out) > 0 {
		reason = call.ReasonCentreOut
	}
	return func(t *call.Target) bool {
		return !out[t.Centre] && (versions == nil || versions.allow(t, moved))
	}, reason
}

// Fallback implements entry.Rules. A request of the new version's share that
// finds no such upstream goes to the others.
func (r *rules) Fallback(now clock.Milli, req *call.Request) func(*call.Target) bool {
	versions := r.moves.versions(now, req.Service)
	if versions == nil || versions.final {
		return nil
	}
	out := r.book.Orders().Out
	return func(t *call.Target) bool {
		return !out[t.Centre] && t.Version != versions.to
	}
}

// versions says how the requests of a service are spread over versions.
type versions struct {
	to    string
	share float64
	// chosen are the daemons whose upstreams get the new version's requests.
	chosen []string
	// final is set once the move has ended.
	final bool
}

// allow reports whether a target may get a request of the new version's share,
// or one of the others.
func (v *versions) allow(t *call.Target, moved bool) bool {
	if (t.Version == v.to) != moved {
		return false
	}
	return v.final || !moved || slices.Contains(v.chosen, t.ID)
}
