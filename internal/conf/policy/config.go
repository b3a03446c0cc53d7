// Package policy holds the operators' documents: fleet-wide defaults and
// exceptions with a written reason.
package policy

import (
	"net/http"
	"strings"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// Config is the configuration in force. It is immutable; a change makes a
// new one.
type Config struct {
	// Revision is the log offset of the last change that was applied.
	Revision   int64
	Defaults   Defaults
	Exceptions []Exception
}

// Defaults apply to the whole fleet.
type Defaults struct {
	Timeout clock.Milli `toml:"timeout_ms"`
	Routes  []Route     `toml:"route"`
}

// Route describes the calls of a service below a path prefix.
type Route struct {
	Name    string `toml:"name"`
	Service string `toml:"service"`
	Prefix  string `toml:"prefix"`
	// Methods is empty for all methods.
	Methods    []string    `toml:"methods"`
	Class      call.Class  `toml:"class"`
	Timeout    clock.Milli `toml:"timeout_ms"`
	Repeatable *bool       `toml:"repeatable"`
}

// Effect is what an exception does.
type Effect int

// The effects of exceptions.
//
//go:generate ../../../bin/stringer -type Effect -linecomment
const (
	EffectNone       Effect = iota // none
	EffectCentreOut                // centre_out
	EffectMove                     // version_move
	EffectRoute                    // route
	EffectBackground               // shed_background
)

// Scope limits an exception. Empty fields match everything.
type Scope struct {
	Service string `toml:"service"`
	Route   string `toml:"route"`
	Centre  string `toml:"centre"`
	Version string `toml:"version"`
}

// Exception changes the defaults for a scope and says why.
type Exception struct {
	ID     string
	Scope  Scope
	Effect Effect
	Reason string
	Author string
	// Start is zero for at once, End is zero for until withdrawn.
	Start clock.Milli
	End   clock.Milli
	// Revision is the log offset that accepted the exception.
	Revision int64
	Move     *VersionMove
	Route    *Route
}

// VersionMove moves the traffic of a service to a new version.
type VersionMove struct {
	ID         string
	Service    string
	NewVersion string
	Start      clock.Milli
	FinishBy   clock.Milli
	// UnprovenCap is the largest share in 0..1 before the version is proven.
	UnprovenCap float64
	// TakenBack and Done are settled by records in the log.
	TakenBack bool
	Done      bool
	Evidence  string
	Reason    string
	Author    string
}

// Active reports whether the exception is in force at now.
func (e *Exception) Active(now clock.Milli) bool {
	return now >= e.Start && (e.End == 0 || now < e.End)
}

// CentreOut returns the exception that takes a data centre out at now.
func (c *Config) CentreOut(centre string, now clock.Milli) (Exception, bool) {
	for i := range c.Exceptions {
		e := &c.Exceptions[i]
		if e.Effect == EffectCentreOut && e.Scope.Centre == centre && e.Active(now) {
			return *e, true
		}
	}
	return Exception{}, false
}

// Moves returns the version moves of a service.
func (c *Config) Moves(service string) []VersionMove {
	var moves []VersionMove
	for i := range c.Exceptions {
		e := &c.Exceptions[i]
		if e.Effect == EffectMove && e.Move != nil && e.Move.Service == service {
			moves = append(moves, *e.Move)
		}
	}
	return moves
}

// Route returns the rules for a request: those of the longest matching
// prefix, completed by the defaults.
func (c *Config) Route(service, method, path string) Route {
	best := Route{Name: "default", Service: service, Prefix: "/"}
	for _, r := range c.Defaults.Routes {
		if r.matches(service, method, path) && len(r.Prefix) >= len(best.Prefix) {
			best = r
		}
	}
	if best.Timeout == 0 {
		best.Timeout = c.Defaults.Timeout
	}
	if best.Timeout == 0 {
		best.Timeout = DefaultTimeout
	}
	if best.Repeatable == nil {
		may := idempotent(method)
		best.Repeatable = &may
	}
	return best
}

// DefaultTimeout applies to routes without a timeout of their own.
const DefaultTimeout = clock.Second

func (r *Route) matches(service, method, path string) bool {
	if r.Service != "" && r.Service != service {
		return false
	}
	if !strings.HasPrefix(path, r.Prefix) {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// idempotent follows RFC 9110; an unknown method may not be repeated.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}
