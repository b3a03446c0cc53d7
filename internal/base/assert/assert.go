// Package assert checks the system's invariants at run time.
package assert

import (
	"expvar"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
)

// Invariant identifies a condition that must always hold.
type Invariant int

// The invariants of the system. The comments are their names in logs and metrics.
//
//go:generate ../../../bin/stringer -type Invariant -linecomment
const (
	ProbeBudget    Invariant = iota // probe_budget
	ColdCapacity                    // cold_capacity
	CentreOut                       // centre_out
	VersionShare                    // version_share
	OwnAnswer                       // own_answer
	TrueNotRun                      // true_not_run
	AtMostOnce                      // at_most_once
	Leaving                         // leaving
	GracefulStop                    // graceful_stop
	ConfigMonotone                  // config_monotone
)

// Violation describes a failed check. Detail is the message formatted by That.
type Violation struct {
	Invariant Invariant
	Detail    string
}

// Hook is called for every violation, on the goroutine that detected it.
type Hook func(Violation)

var (
	violations = expvar.NewMap("invariant_violations")
	hook       atomic.Pointer[Hook]
	logger     atomic.Pointer[zerolog.Logger]
)

// That returns ok. If ok is false, it counts the violation of inv, logs it and
// passes it to the hook. In a test binary without a hook it panics, so that the
// test fails at once.
func That(ok bool, inv Invariant, format string, args ...any) bool {
	if ok {
		return true
	}
	reportViolation(Violation{Invariant: inv, Detail: fmt.Sprintf(format, args...)})
	return false
}

// SetHook replaces the hook and returns a function that restores the previous one.
func SetHook(h Hook) (restore func()) {
	old := hook.Swap(&h)
	return func() { hook.Store(old) }
}

// SetLogger sets the logger for violations. Without one they are not logged.
func SetLogger(l zerolog.Logger) {
	logger.Store(&l)
}

// Count returns the number of violations of inv since the process started.
func Count(inv Invariant) int64 {
	v, ok := violations.Get(inv.String()).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}

func reportViolation(v Violation) {
	violations.Add(v.Invariant.String(), 1)
	if l := logger.Load(); l != nil {
		l.Error().Str("invariant", v.Invariant.String()).Str("detail", v.Detail).Msg("invariant_violated")
	}
	if h := hook.Load(); h != nil {
		(*h)(v)
		return
	}
	if testing.Testing() {
		panic("invariant " + v.Invariant.String() + " violated: " + v.Detail)
	}
}
