// Package route holds the routes and services of a configuration and matches
// requests to routes.
package route

import (
	"strings"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// WeightedService assigns requests of a route to a service. The service receives
// the fraction Weight / total of the weights of the route.
type WeightedService struct {
	Service string
	Weight  int
}

// Rule describes a route: which requests match it, which services run them and
// with which limits.
type Rule struct {
	Name string
	// Prefix is the path prefix of the route's requests. It begins and ends with
	// a slash.
	Prefix   string
	Services []WeightedService
	// Repeatable is set if a request may be executed more than once.
	Repeatable bool
	// Transfer marks requests with large bodies.
	Transfer bool
	// Timeout limits how long a request waits for its response. A response within
	// SoftTimeout has its full value.
	Timeout     clock.Milli
	SoftTimeout clock.Milli
	// MaxAttempts is the largest number of upstreams that one request may run on.
	MaxAttempts int
	// Priority orders queued requests; 0 is served first.
	Priority int
	// Public routes need no key.
	Public bool
}

// Service holds the settings that all upstreams of a service share.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdDuration is how long an upstream is cold after its start, and
	// ColdRatePerSecond the request rate that it can serve during that time.
	ColdDuration      clock.Milli
	ColdRatePerSecond float64
}

// Limits restricts the size of a caller's requests. Zero means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Table is one version of the configuration. It is immutable once built.
type Table struct {
	Version  int64
	Limits   Limits
	Hosts    map[string][]Rule
	Services map[string]Service
	// Keys holds the keys of all callers. It is nil if requests need none.
	Keys Keys
}

// Match returns the route of a host with the longest prefix that matches path. It
// returns nil and false if there is none.
func (t *Table) Match(host, path string) (*Rule, bool) {
	var best *Rule
	rules := t.Hosts[host]
	for i := range rules {
		r := &rules[i]
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// PickService chooses a service with a probability proportional to its weight. The
// draw is a uniformly distributed random number. The result is empty if no service
// has a weight.
func (r *Rule) PickService(draw uint64) string {
	total := uint64(0)
	for _, s := range r.Services {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return ""
	}
	rest := draw % total
	for _, s := range r.Services {
		if rest < uint64(s.Weight) {
			return s.Service
		}
		rest -= uint64(s.Weight)
	}
	return ""
}

// Validate returns an error if the version, a prefix, a timeout or a weight is out
// of range, or if a route refers to an undefined service.
func (t *Table) Validate() error {
	if t.Version <= 0 {
		return errors.Errorf("version %d is not positive", t.Version)
	}
	for host, rules := range t.Hosts {
		for i := range rules {
			if err := t.validateRule(&rules[i]); err != nil {
				return errors.Wrapf(err, "host %s", host)
			}
		}
	}
	return nil
}

func (t *Table) validateRule(r *Rule) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("route %s: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	if r.Timeout <= 0 || r.MaxAttempts < 0 {
		return errors.Errorf("route %s: timeout of %.0f ms must be positive and limit of %d attempts must not be negative", r.Name, float64(r.Timeout), r.MaxAttempts)
	}
	total := 0
	for _, s := range r.Services {
		if _, ok := t.Services[s.Service]; !ok {
			return errors.Errorf("route %s: service %q is not defined", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return errors.Errorf("route %s: weight %d of %s is negative", r.Name, s.Weight, s.Service)
		}
		total += s.Weight
	}
	if total == 0 {
		return errors.Errorf("route %s has no service with a positive weight", r.Name)
	}
	return nil
}
