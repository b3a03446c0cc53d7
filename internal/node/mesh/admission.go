package mesh

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/crash"
)

// checkAdmission returns why the guard must refuse a call: there is no configuration, the
// upstream is unusable, its data centre is out, or its version was rolled back or replaced. The
// entry may have routed the call from an outdated state.
func (n *Node) checkAdmission(_ clock.Milli, r *call.Request) call.Reason {
	if n.routes() == nil {
		// The configuration states the rate of a cold upstream.
		return call.ReasonNoConfig
	}
	if reason := n.upstream.unusableReason(); reason != call.ReasonNone {
		return reason
	}
	if n.crashes.isHeld(crash.Fingerprint(r.Fingerprint)) {
		return call.ReasonCrashes
	}
	if n.registry.Current().CentresOut[n.settings.Centre] {
		return call.ReasonCentreOut
	}
	if split := n.moves.serviceSplit(r.Service); split != nil && split.excludes(n.upstream.state().Version) {
		return call.ReasonVersionBraked
	}
	return call.ReasonNone
}
