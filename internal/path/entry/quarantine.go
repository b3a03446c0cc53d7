package entry

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/crash"
)

// Quarantine holds back requests under which upstreams crash. Implementations must be safe
// for concurrent use.
type Quarantine interface {
	// Admit returns the time until a request may run, zero if it runs now.
	Admit(p crash.Print) clock.Milli
	// Strikes returns how many crashes are charged to a request.
	Strikes(p crash.Print) int
}

// WithQuarantine sets the quarantine. Without one, no request is held back.
func WithQuarantine(q Quarantine) Option {
	return func(e *Entry) { e.quarantine = q }
}

type noQuarantine struct{}

// Admit implements Quarantine.
func (noQuarantine) Admit(crash.Print) clock.Milli { return 0 }

// Strikes implements Quarantine.
func (noQuarantine) Strikes(crash.Print) int { return 0 }

// setPrint sets the print of the request. The part of the body that was not read before the
// first attempt does not count.
func (r *callRunner) setPrint() {
	r.request.Print = uint64(crash.NewPrint(r.body.buffered, r.request.Caller, r.httpReq.Method, r.httpReq.Host, r.httpReq.URL.RequestURI()))
}

// isHeld reports whether the request must not run now, and ends the call if so.
func (r *callRunner) isHeld() bool {
	wait := r.entry.quarantine.Admit(crash.Print(r.request.Print))
	if wait == 0 {
		return false
	}
	r.retryAt = r.entry.clock.Now() + wait
	r.end(call.OutcomeNotRun, call.ReasonCrashes)
	return true
}

// isSuspect reports whether an upstream crashed while it ran the request.
func (r *callRunner) isSuspect() bool {
	return r.entry.quarantine.Strikes(crash.Print(r.request.Print)) > 0
}
