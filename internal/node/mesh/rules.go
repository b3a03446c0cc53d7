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
	book  *order.Registry
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
	out := r.book.Current().CentresOut
	versions := r.moves.versionsFor(now, req)
	if len(out) == 0 && versions == nil {
		return nil, call.ReasonNone
	}
	reason := call.ReasonVersionShare
	if len(out) > 0 {
		reason = call.ReasonCentreOut
	}
	return func(t *call.Target) bool {
		return !out[t.Centre] && (versions == nil || versions.allow(t))
	}, reason
}

// Fallback implements entry.Rules. A request of the new version's share that
// finds no such upstream goes to the others.
func (r *rules) Fallback(_ clock.Milli, req *call.Request) func(*call.Target) bool {
	versions := r.moves.versions(req.Service)
	if versions == nil || versions.final {
		return nil
	}
	out := r.book.Current().CentresOut
	return func(t *call.Target) bool {
		return !out[t.Centre] && t.Version != versions.to
	}
}

// versions says how the requests of a service are spread over versions.
type versions struct {
	to    string
	share float64
	// final is set once the move has ended.
	final bool
	// moved says that a request belongs to the new version's share, chosen are
	// the daemons whose upstreams then get it.
	moved  bool
	chosen []string
}

// allow reports whether a target may get the request.
func (v *versions) allow(t *call.Target) bool {
	if (t.Version == v.to) != v.moved {
		return false
	}
	return v.final || !v.moved || slices.Contains(v.chosen, t.ID)
}

// ended reports whether a version gets no calls any more.
func (v *versions) ended(version string) bool {
	return v.final && (version == v.to) != (v.share > 0)
}
