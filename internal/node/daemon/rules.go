package daemon

import (
	"sync/atomic"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// rules applies the configuration in force to calls.
type rules struct {
	self   call.Target
	config atomic.Pointer[policy.Config]
}

func newRules(self call.Target) *rules {
	r := &rules{self: self}
	r.config.Store(&policy.Config{})
	return r
}

// Config implements entry.Rules.
func (r *rules) Config() *policy.Config {
	return r.config.Load()
}

// Allow implements entry.Rules.
func (r *rules) Allow(now clock.Milli, _ *call.Request) (func(*call.Target) bool, call.Reason) {
	c := r.Config()
	if len(c.Exceptions) == 0 {
		return nil, call.ReasonNone
	}
	allow := func(t *call.Target) bool {
		_, out := c.CentreOut(t.Centre, now)
		return !out
	}
	return allow, call.ReasonCentreOut
}

// gate implements guard.Gate.
func (r *rules) gate(now clock.Milli, _ *call.Request) call.Reason {
	if _, out := r.Config().CentreOut(r.self.Centre, now); out {
		return call.ReasonCentreOut
	}
	return call.ReasonNone
}
