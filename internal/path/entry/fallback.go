package entry

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
)

// excludeRefusingCentre extends the filter allow, which may be nil: if the last
// attempt was refused because its data centre is out of service, the result also
// excludes the targets of that data centre.
func (r *callRunner) excludeRefusingCentre(allow func(*call.Target) bool) func(*call.Target) bool {
	if r.lastResult.Reason != call.ReasonCentreOut || r.target == nil {
		return allow
	}
	centre := r.target.Centre
	return func(c *call.Target) bool {
		return c.Centre != centre && (allow == nil || allow(c))
	}
}

// chooseFallback chooses among the fallback targets that the rules allow when
// none of the regular targets of the request can be used.
func (r *callRunner) chooseFallback(now clock.Milli, q pick.Query) (call.Target, call.Reason, bool) {
	allow := r.entry.rules.Fallback(now, r.request)
	if allow == nil {
		return call.Target{}, call.ReasonNoTarget, false
	}
	q.Allow = r.excludeRefusingCentre(allow)
	return r.service.choose(now, q, r.entry.roster, false)
}
