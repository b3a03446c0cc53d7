package daemon

import (
	"sync/atomic"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/centre"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
)

// rules decides by the configuration and the moves which targets a call may
// use. The gate and the table are immutable and are replaced as a whole.
type rules struct {
	self   call.Target
	config func() *policy.Config
	gate   atomic.Pointer[centre.Gate]
	table  atomic.Pointer[shift.Table]
}

func newRules(self call.Target, config func() *policy.Config) *rules {
	r := &rules{self: self, config: config}
	r.gate.Store(centre.New().Gate())
	r.table.Store(&shift.Table{})
	return r
}

// Config returns the configuration in force on this daemon.
func (r *rules) Config() *policy.Config {
	return r.config()
}

// Allow implements entry.Rules.
func (r *rules) Allow(now clock.Milli, req *call.Request) (func(*call.Target) bool, call.Reason) {
	if len(r.Config().Exceptions) == 0 {
		return nil, call.ReasonNone
	}
	gate, table := r.gate.Load(), r.table.Load()
	reason := call.ReasonVersionShare
	if _, out := gate.CentreOutException(now, r.self.Centre); out {
		reason = call.ReasonCentreOut
	}
	allow := func(t *call.Target) bool {
		return gate.Allow(now, t.Centre, req.ID) && table.Allow(t.Service, t.Version, req.ID)
	}
	return allow, reason
}

// Fallback implements entry.Rules. It allows the old version for requests of a
// new version that has no usable targets. This never violates the cap, which
// limits only the new version.
func (r *rules) Fallback(now clock.Milli, req *call.Request) func(*call.Target) bool {
	if len(r.Config().Exceptions) == 0 {
		return nil
	}
	gate, table := r.gate.Load(), r.table.Load()
	return func(t *call.Target) bool {
		return gate.Allow(now, t.Centre, req.ID) && table.IsOldVersion(t.Service, t.Version)
	}
}

// checkAdmission implements guard.AdmissionCheck. It refuses requests that the
// data centre moves exclude; entries that have not yet received a change of the
// configuration still send them.
func (r *rules) checkAdmission(now clock.Milli, req *call.Request) call.Reason {
	gate := r.gate.Load()
	if _, out := gate.CentreOutException(now, r.self.Centre); out {
		return call.ReasonCentreOut
	}
	if req.Class == call.Background && !gate.AllowBackground(req.Service, req.ID) {
		return call.ReasonBackgroundShed
	}
	return call.ReasonNone
}

// assertDispatch asserts the invariants of the moves immediately before a
// request is dispatched.
func (r *rules) assertDispatch(now clock.Milli, _ *call.Request) {
	r.gate.Load().AssertDispatch(now, r.self.Centre)
	r.table.Load().AssertDispatch(now, r.self.Service, r.self.Version)
}
