package mesh

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// gate refuses calls at the guard, whatever the entry believed: to an upstream
// that may not get calls, in a data centre that is out, or of a version that
// was taken back.
func (n *Node) gate(_ clock.Milli, r *call.Request) call.Reason {
	if reason := n.upstream.usable(); reason != call.ReasonNone {
		return reason
	}
	if n.book.Current().CentresOut[n.settings.Centre] {
		return call.ReasonCentreOut
	}
	if v := n.moves.versions(r.Service); v != nil && v.ended(n.upstream.state().Version) {
		return call.ReasonVersionBraked
	}
	return call.ReasonNone
}
