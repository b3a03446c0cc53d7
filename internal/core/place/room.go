package place

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// maxRoomFailureRate is the failure rate above which a target has no room, although its load
// would allow another call.
const maxRoomFailureRate = 0.1

// hasRoom reports whether a target is expected to start another call at once and to run it
// as fast and as reliably as others would. Where loads differ between data centres, only
// calls that do not fit in the caller's own one go to another.
func (p *Picker) hasRoom(now clock.Milli, t *target) bool {
	load, limit, slowdown := p.estimateLoad(now, t)
	switch {
	case load+1 > limit, slowdown >= call.SlowVMThreshold, t.admitDelay(now) > 0:
		return false
	case t.isLeaving(now), t.decayedFailureRate(now) > maxRoomFailureRate:
		return false
	default:
		return p.latencyRatio(now, t) == 1
	}
}

// isLeaving reports whether the target recently stated that it leaves.
func (t *target) isLeaving(now clock.Milli) bool {
	return t.state.Leaving && now-t.state.ReceivedAt < failureHalfLife
}
