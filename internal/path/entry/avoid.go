package entry

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
)

// outside adds to a filter that the data centre whose guard refused the call
// as out of service is not tried again.
func (t *tries) outside(allow func(*call.Target) bool) func(*call.Target) bool {
	if t.last.Reason != call.ReasonCentreOut || t.target == nil {
		return allow
	}
	centre := t.target.Centre
	return func(c *call.Target) bool {
		return c.Centre != centre && (allow == nil || allow(c))
	}
}

// fallBack chooses among the targets that the rules keep for a request whose
// own have none to offer.
func (t *tries) fallBack(now clock.Milli, q pick.Query) (call.Target, call.Reason, bool) {
	allow := t.entry.rules.Fallback(now, t.request)
	if allow == nil {
		return call.Target{}, call.ReasonNoTarget, false
	}
	q.Allow = t.outside(allow)
	return t.service.choose(now, q, t.entry.roster, false)
}
