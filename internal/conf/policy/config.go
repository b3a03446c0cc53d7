// Package policy defines, parses and encodes the operators' documents:
// fleet-wide defaults, exceptions with a written reason, teams and tokens.
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
	// Revision is the log offset of the last accepted change, 0 if there is none.
	Revision   int64
	Defaults   Defaults
	Exceptions []Exception
	// Past holds recently withdrawn exceptions, the newest last. They have no
	// effect and are kept for reports about earlier times.
	Past   []Exception
	Teams  []Team
	Tokens []Token
}

// Defaults holds the settings of the whole fleet, which exceptions override.
type Defaults struct {
	Timeout clock.Milli `toml:"timeout_ms"`
	Routes  []Route     `toml:"route"`
}

// Route holds the rules for the calls of a service below a path prefix. An empty
// Service matches all services.
type Route struct {
	Name    string `toml:"name"`
	Service string `toml:"service"`
	Prefix  string `toml:"prefix"`
	// Methods is empty for all methods.
	Methods    []string    `toml:"methods"`
	Class      call.Class  `toml:"class"`
	Timeout    clock.Milli `toml:"timeout_ms"`
	Repeatable *bool       `toml:"repeatable"`
	// SlotShare is the maximum fraction (0 to 1) of each upstream's slots that
	// calls of the route may occupy; zero means no cap. It is a fraction because
	// a number of calls would be a setting of individual servers.
	SlotShare float64 `toml:"slot_share"`
	// Exceptions lists the ids of the exceptions that were applied to the route.
	Exceptions []string `toml:"-"`
}

// Effect identifies what an exception changes.
type Effect int

// The effects of exceptions.
//
//go:generate ../../../bin/stringer -type Effect -linecomment
const (
	EffectNone           Effect = iota // none
	EffectCentreOut                    // centre_out
	EffectVersionMove                  // version_move
	EffectRoute                        // route
	EffectShedBackground               // shed_background
	EffectRouteCap                     // route_cap
)

// Scope limits what an exception applies to. An empty field matches everything.
type Scope struct {
	Service string `toml:"service" json:"service,omitempty"`
	Route   string `toml:"route" json:"route,omitempty"`
	Centre  string `toml:"centre" json:"centre,omitempty"`
	Version string `toml:"version" json:"version,omitempty"`
}

// Exception overrides the defaults for a scope and states the reason.
type Exception struct {
	ID     string
	Scope  Scope
	Effect Effect
	Reason string
	Author string
	// A zero Start means at once, a zero End means until withdrawn.
	Start clock.Milli
	End   clock.Milli
	// Withdrawn states who withdrew the exception and why; it is empty until then.
	Withdrawn string
	// Revision is the log offset of the record that added or last changed the
	// exception.
	Revision int64
	Move     *VersionMove
	Route    *Route
	// ClassSet reports whether the document sets Route.Class, whose zero value is
	// a valid class.
	ClassSet bool
}

// VersionMove describes the gradual move of a service's traffic to a new version.
type VersionMove struct {
	ID         string
	Service    string
	NewVersion string
	Start      clock.Milli
	FinishBy   clock.Milli
	// UnprovenCap is the maximum fraction of the traffic (0 to 1) until the new
	// version is proven.
	UnprovenCap float64
	// Cap is the maximum fraction of the traffic (0 to 1) at any time; 1 moves
	// all of it.
	Cap float64
	// TakenBack and Done are set by verdict records in the log.
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

// CentreOutException returns the exception that takes a data centre out at now.
func (c *Config) CentreOutException(centre string, now clock.Milli) (Exception, bool) {
	for i := range c.Exceptions {
		e := &c.Exceptions[i]
		if e.Effect == EffectCentreOut && e.Scope.Centre == centre && e.Active(now) {
			return *e, true
		}
	}
	return Exception{}, false
}

// VersionMoves returns the version moves of a service, finished ones included.
func (c *Config) VersionMoves(service string) []VersionMove {
	var moves []VersionMove
	for i := range c.Exceptions {
		e := &c.Exceptions[i]
		if e.Effect == EffectVersionMove && e.Move != nil && e.Move.Service == service {
			moves = append(moves, *e.Move)
		}
	}
	return moves
}

// Route returns the rules for a request: those of the longest matching prefix,
// completed by the defaults and overridden by the exceptions without a start and
// an end. RouteAt also applies the exceptions with a start or an end.
func (c *Config) Route(service, method, path string) Route {
	best := c.defaultRoute(service, method, path)
	return c.applyExceptions(best, func(e *Exception) bool { return e.Start == 0 && e.End == 0 })
}

// RouteAt returns the rules for a request, overridden by the exceptions that are
// in force at now.
func (c *Config) RouteAt(service, method, path string, now clock.Milli) Route {
	best := c.defaultRoute(service, method, path)
	return c.applyExceptions(best, func(e *Exception) bool { return e.Active(now) })
}

func (c *Config) defaultRoute(service, method, path string) Route {
	best := Route{Name: DefaultRoute, Service: service, Prefix: "/"}
	for _, r := range c.Defaults.Routes {
		if r.matches(service, method, path) && len(r.Prefix) >= len(best.Prefix) {
			best = r
		}
	}
	// The route may apply to all services; the result names the called one.
	best.Service = service
	if best.Timeout == 0 {
		best.Timeout = c.Defaults.Timeout
	}
	if best.Timeout == 0 {
		best.Timeout = DefaultTimeout
	}
	if best.Repeatable == nil {
		repeatable := isIdempotent(method)
		best.Repeatable = &repeatable
	}
	return best
}

// applyExceptions applies the exceptions for a route in the order of the list,
// which is that of their revisions, so that a later one takes precedence.
func (c *Config) applyExceptions(r Route, inForce func(*Exception) bool) Route {
	for i := range c.Exceptions {
		e := &c.Exceptions[i]
		if e.Route == nil || !e.Scope.matchesRoute(r.Service, r.Name) || !inForce(e) {
			continue
		}
		if e.Route.Timeout != 0 {
			r.Timeout = e.Route.Timeout
		}
		if e.Route.Repeatable != nil {
			r.Repeatable = e.Route.Repeatable
		}
		if e.Effect == EffectRoute && e.ClassSet {
			r.Class = e.Route.Class
		}
		if e.Route.SlotShare != 0 {
			r.SlotShare = e.Route.SlotShare
		}
		r.Exceptions = append(r.Exceptions, e.ID)
	}
	return r
}

// ShedBackgroundException returns the exception that sheds background calls of a
// service in a data centre at now.
func (c *Config) ShedBackgroundException(service, centre string, now clock.Milli) (Exception, bool) {
	for i := range c.Exceptions {
		e := &c.Exceptions[i]
		if e.Effect != EffectShedBackground || !e.Active(now) {
			continue
		}
		if matchesScopeField(e.Scope.Service, service) && matchesScopeField(e.Scope.Centre, centre) {
			return *e, true
		}
	}
	return Exception{}, false
}

// Exception returns the exception with an id, unless it was withdrawn.
func (c *Config) Exception(id string) (Exception, bool) {
	for i := range c.Exceptions {
		if c.Exceptions[i].ID == id {
			return c.Exceptions[i], true
		}
	}
	return Exception{}, false
}

func (s *Scope) matchesRoute(service, route string) bool {
	return matchesScopeField(s.Service, service) && matchesScopeField(s.Route, route)
}

func matchesScopeField(scope, value string) bool {
	return scope == "" || scope == value
}

// DefaultRoute names the route of requests that match no other.
const DefaultRoute = "default"

// DefaultTimeout applies if neither a route nor the defaults set a timeout.
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

// isIdempotent classifies methods as RFC 9110 does. Unknown methods are not
// idempotent.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}
