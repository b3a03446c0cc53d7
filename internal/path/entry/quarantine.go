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
	Admit(p crash.Fingerprint) clock.Milli
	// Strikes returns how many crashes are charged to a request.
	Strikes(p crash.Fingerprint) int
}

// WithQuarantine sets the quarantine. Without one, no request is held back.
func WithQuarantine(q Quarantine) Option {
	return func(e *Entry) { e.quarantine = q }
}

type noQuarantine struct{}

// Admit implements Quarantine.
func (noQuarantine) Admit(crash.Fingerprint) clock.Milli { return 0 }

// Strikes implements Quarantine.
func (noQuarantine) Strikes(crash.Fingerprint) int { return 0 }

// setFingerprint sets the fingerprint of the request. The part of the body that was not read
// before the first attempt does not count.
func (r *callRunner) setFingerprint() {
	caller := r.request.Caller
	if r.request.Workspace != "" {
		// The upstream sees the workspace, and may crash for one only.
		caller += "/" + r.request.Workspace
	}
	r.request.Fingerprint = uint64(crash.FingerprintOfBlocks(r.body.buffered.list, caller, r.httpReq.Method, r.httpReq.Host, r.httpReq.URL.RequestURI()))
}

// isHeld reports whether the request must not run now, and ends the call if so.
func (r *callRunner) isHeld() bool {
	wait := r.entry.quarantine.Admit(crash.Fingerprint(r.request.Fingerprint))
	if wait == 0 {
		return false
	}
	r.retryAt = r.entry.clock.Now() + wait
	r.end(call.OutcomeNotRun, call.ReasonCrashes)
	return true
}

// isSuspect reports whether an upstream crashed while it ran the request.
func (r *callRunner) isSuspect() bool {
	return r.entry.quarantine.Strikes(crash.Fingerprint(r.request.Fingerprint)) > 0
}
