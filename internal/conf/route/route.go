// Package route holds the routes and services of a configuration and finds the
// route of a request.
package route

import (
	"strings"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// WeightedService is a service's part of the requests of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Rule is one route.
type Rule struct {
	Name string
	// Prefix begins the path of the route's requests. It begins and ends with a
	// slash.
	Prefix   string
	Services []WeightedService
	// Repeatable says that a request may run more than once.
	Repeatable bool
	// Transfer marks requests with large bodies.
	Transfer bool
	// Timeout bounds how long a request is kept waiting, Aim is the time within
	// which its response has its full value.
	Timeout     clock.Milli
	SoftTimeout clock.Milli
	// MaxAttempts is the largest number of upstreams that one request may run on.
	MaxAttempts int
	// Priority orders the requests that wait; 0 is served first.
	Priority int
}

// Service describes the upstreams of a service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdFor is how long an upstream is cold after its start, ColdRate the
	// requests a second that it bears meanwhile.
	ColdDuration      clock.Milli
	ColdRatePerSecond float64
}

// Limits bound what a caller may send. Zero is no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Table is one configuration. It is not changed after it was built.
type Table struct {
	Version  int64
	Limits   Limits
	Hosts    map[string][]Rule
	Services map[string]Service
}

// Match returns the route with the longest prefix of a path.
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

// PickService returns the service for a draw that is evenly spread over all values.
func (r *Rule) PickService(draw uint64) string {
	total := uint64(0)
	for _, s := range r.Services {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return ""
	}
	at := draw % total
	for _, s := range r.Services {
		if at < uint64(s.Weight) {
			return s.Service
		}
		at -= uint64(s.Weight)
	}
	return ""
}

// Validate returns an error for a table that can't be followed.
func (t *Table) Validate() error {
	if t.Version <= 0 {
		return errors.Errorf("version %d is not positive", t.Version)
	}
	for host, rules := range t.Hosts {
		for i := range rules {
			if err := t.checkRule(&rules[i]); err != nil {
				return errors.Wrapf(err, "host %s", host)
			}
		}
	}
	return nil
}

func (t *Table) checkRule(r *Rule) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("route %s: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	if r.Timeout <= 0 || r.MaxAttempts < 0 {
		return errors.Errorf("route %s: timeout of %.0f ms with %d attempts", r.Name, float64(r.Timeout), r.MaxAttempts)
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
		return errors.Errorf("route %s has no service with a weight", r.Name)
	}
	return nil
}
