package mesh

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// gate refuses calls at the guard, whatever the entry believed: to an upstream
// that may not get calls, in a data centre that is out, or of a version that
// was taken back.
func (n *Node) gate(now clock.Milli, r *call.Request) call.Reason {
	if reason := n.upstream.usable(); reason != call.ReasonNone {
		return reason
	}
	if n.book.Orders().Out[n.settings.Centre] {
		return call.ReasonCentreOut
	}
	v := n.moves.versions(now, r.Service)
	if v == nil || !v.final {
		return call.ReasonNone
	}
	own := n.self
	own.Version = n.upstream.state().Version
	if !v.allow(&own, v.share > 0) {
		return call.ReasonVersionBraked
	}
	return call.ReasonNone
}
