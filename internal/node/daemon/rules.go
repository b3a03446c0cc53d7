package daemon

import (
	"sync/atomic"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/centre"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
)

// rules applies the configuration in force and the moves to calls. The gate
// and the table are immutable and replaced as a whole.
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

// Config returns the configuration in force.
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
	if _, out := gate.Out(now, r.self.Centre); out {
		reason = call.ReasonCentreOut
	}
	allow := func(t *call.Target) bool {
		return gate.Allow(now, t.Centre, req.ID) && table.Allow(t.Service, t.Version, req.ID)
	}
	return allow, reason
}

// Fallback implements entry.Rules. A request that belongs to a new version
// without usable targets is served by the old one, which is always within the
// new version's cap.
func (r *rules) Fallback(now clock.Milli, req *call.Request) func(*call.Target) bool {
	if len(r.Config().Exceptions) == 0 {
		return nil
	}
	gate, table := r.gate.Load(), r.table.Load()
	return func(t *call.Target) bool {
		return gate.Allow(now, t.Centre, req.ID) && !table.IsNewVersion(t.Service, t.Version)
	}
}

// check implements guard.Gate. The guard refuses by itself what entries that
// have not heard of a change still send.
func (r *rules) check(now clock.Milli, req *call.Request) call.Reason {
	gate := r.gate.Load()
	if _, out := gate.Out(now, r.self.Centre); out {
		return call.ReasonCentreOut
	}
	if req.Class == call.Background && !gate.AllowBackground(req.Service, req.ID) {
		return call.ReasonBackgroundShed
	}
	return call.ReasonNone
}

// started asserts the rules right before a request is handed over.
func (r *rules) started(now clock.Milli, _ *call.Request) {
	r.gate.Load().AssertDispatch(now, r.self.Centre)
	r.table.Load().AssertDispatch(now, r.self.Service, r.self.Version)
}
