package mesh

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/canary"
)

// rules applies the orders in force to the routing of calls. It implements entry.Rules.
type rules struct {
	registry *order.Registry
	moves    *moveTracker
}

// splitBuckets is the resolution of a version's share.
const splitBuckets = 10000

// splitBucket maps a request evenly to 0..splitBuckets-1.
func splitBucket(id call.ID) uint64 {
	return xxhash.Sum64(id[:]) % splitBuckets
}

// Allow implements entry.Rules.
func (r *rules) Allow(now clock.Milli, req *call.Request) (func(*call.Target) bool, call.Reason) {
	centresOut := r.registry.Current().CentresOut
	split := r.moves.requestSplit(now, req)
	if len(centresOut) == 0 && split == nil {
		return nil, call.ReasonNone
	}
	reason := call.ReasonVersionShare
	if len(centresOut) > 0 {
		reason = call.ReasonCentreOut
	}
	return func(t *call.Target) bool {
		return !centresOut[t.Centre] && (split == nil || split.allows(t))
	}, reason
}

// Fallback implements entry.Rules. While a move is running, requests assigned to the new
// version may go to other versions if no upstream of the new one is available.
func (r *rules) Fallback(_ clock.Milli, req *call.Request) func(*call.Target) bool {
	split := r.moves.serviceSplit(req.Service)
	if split == nil || split.final {
		return nil
	}
	centresOut := r.registry.Current().CentresOut
	return func(t *call.Target) bool {
		return !centresOut[t.Centre] && split.allowsOld(t.Version)
	}
}

// trafficSplit describes how the requests of a service are split between versions.
type trafficSplit struct {
	// version is the new version, share its share of the requests in 0..1.
	version string
	share   float64
	// final is set once the move has ended.
	final bool
	// toVersion is set if the request is assigned to version. While the move is
	// running, only the daemons in subset may then serve it.
	toVersion bool
	subset    []string
	// earlier says which other versions may get calls.
	earlier canary.History
}

// allows reports whether a target may serve the request.
func (s *trafficSplit) allows(t *call.Target) bool {
	if !s.toVersion {
		return s.allowsOld(t.Version)
	}
	return t.Version == s.version && (s.final || slices.Contains(s.subset, t.ID))
}

// allowsOld reports whether a version may serve the requests that are not assigned to the new
// one.
func (s *trafficSplit) allowsOld(version string) bool {
	return version != s.version && s.earlier.Allows(version)
}

// excludes reports whether a version gets no calls: the new one after a rollback, all others
// after a success, and those that the earlier moves exclude.
func (s *trafficSplit) excludes(version string) bool {
	if version == s.version {
		return s.final && s.share == 0
	}
	return s.final && s.share > 0 || !s.earlier.Allows(version)
}
