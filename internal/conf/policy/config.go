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
	// Past holds the exceptions that were withdrawn lately, the newest last. They
	// have no effect; reports about earlier times name them.
	Past   []Exception
	Teams  []Team
	Tokens []Token
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
	// SlotShare is the largest share in 0..1 of each upstream's slots that
	// calls of the route occupy; zero is no cap. It is a share, because a
	// number of calls would be a setting of individual servers.
	SlotShare float64 `toml:"slot_share"`
	// Exceptions are the ids of the exceptions that changed the route.
	Exceptions []string `toml:"-"`
}

// Effect is what an exception does.
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

// Scope limits an exception. Empty fields match everything.
type Scope struct {
	Service string `toml:"service" json:"service,omitempty"`
	Route   string `toml:"route" json:"route,omitempty"`
	Centre  string `toml:"centre" json:"centre,omitempty"`
	Version string `toml:"version" json:"version,omitempty"`
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
	// Withdrawn says who took the exception back and why, empty while it stands.
	Withdrawn string
	// Revision is the log offset that accepted the exception.
	Revision int64
	Move     *VersionMove
	Route    *Route
	// ClassSet says that Route.Class was given; its zero value is a class.
	ClassSet bool
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
	// Cap is the largest share in 0..1 at any time; 1 moves all traffic.
	Cap float64
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

// VersionMoves returns the version moves of a service.
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

// Route returns the rules for a request: those of the longest matching
// prefix, completed by the defaults and changed by the exceptions that have
// neither a start nor an end. RouteAt also applies the others.
func (c *Config) Route(service, method, path string) Route {
	best := c.defaultRoute(service, method, path)
	return c.except(best, func(e *Exception) bool { return e.Start == 0 && e.End == 0 })
}

// RouteAt returns the rules for a request at now.
func (c *Config) RouteAt(service, method, path string, now clock.Milli) Route {
	best := c.defaultRoute(service, method, path)
	return c.except(best, func(e *Exception) bool { return e.Active(now) })
}

func (c *Config) defaultRoute(service, method, path string) Route {
	best := Route{Name: DefaultRoute, Service: service, Prefix: "/"}
	for _, r := range c.Defaults.Routes {
		if r.matches(service, method, path) && len(r.Prefix) >= len(best.Prefix) {
			best = r
		}
	}
	// A route for all services takes the name of the one that is called.
	best.Service = service
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

// except applies the exceptions for a route in the order of the list, which
// is that of their revisions, so that a later one takes precedence.
func (c *Config) except(r Route, inForce func(*Exception) bool) Route {
	for i := range c.Exceptions {
		e := &c.Exceptions[i]
		if e.Route == nil || !e.Scope.coversRoute(r.Service, r.Name) || !inForce(e) {
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

// ShedBackgroundException returns the exception that sheds background work of a
// service in a data centre at now.
func (c *Config) ShedBackgroundException(service, centre string, now clock.Milli) (Exception, bool) {
	for i := range c.Exceptions {
		e := &c.Exceptions[i]
		if e.Effect != EffectShedBackground || !e.Active(now) {
			continue
		}
		if covers(e.Scope.Service, service) && covers(e.Scope.Centre, centre) {
			return *e, true
		}
	}
	return Exception{}, false
}

// Exception returns the exception with an id.
func (c *Config) Exception(id string) (Exception, bool) {
	for i := range c.Exceptions {
		if c.Exceptions[i].ID == id {
			return c.Exceptions[i], true
		}
	}
	return Exception{}, false
}

func (s *Scope) coversRoute(service, route string) bool {
	return covers(s.Service, service) && covers(s.Route, route)
}

func covers(scope, value string) bool {
	return scope == "" || scope == value
}

// DefaultRoute names the route of requests that match no other.
const DefaultRoute = "default"

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
