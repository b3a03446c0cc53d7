package share

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// rateWindow is the time constant of the arrival rates. A burst that has ended leaves
	// no reserve after about a second.
	rateWindow = 400 * clock.Millisecond
	// minRate is the rate, in calls per second, below which a route is removed.
	minRate = 0.05
)

// rate is a rate of calls that decays with time.
type rate struct {
	// perSecond is the value at the instant at.
	perSecond float64
	at        clock.Milli
}

func (r *rate) valueAt(now clock.Milli) float64 {
	return r.perSecond * math.Exp(-max(0, float64((now-r.at)/rateWindow)))
}

func (r *rate) observe(now clock.Milli) {
	r.perSecond, r.at = r.valueAt(now)+float64(clock.Second/rateWindow), now
}

// routeRates are the rates at which the calls of one route arrive and start.
type routeRates struct {
	priority int
	arrived  rate
	started  rate
}

// Table measures the demand of the routes at one upstream. It is not safe for concurrent
// use. The zero value is ready for use.
type Table struct {
	routes map[string]*routeRates
	// arrived and started are the rates of all routes.
	arrived rate
	started rate
}

// Observe records the arrival of a call.
func (t *Table) Observe(now clock.Milli, route string, priority int) {
	if t.routes == nil {
		t.routes = make(map[string]*routeRates)
	}
	r := t.routes[route]
	if r == nil {
		t.removeUnused(now)
		r = &routeRates{}
		t.routes[route] = r
	}
	r.priority = priority
	r.arrived.observe(now)
	t.arrived.observe(now)
}

// removeUnused removes routes without calls. Demands does so too, but only near a shortage.
func (t *Table) removeUnused(now clock.Milli) {
	maps.DeleteFunc(t.routes, func(_ string, r *routeRates) bool { return r.arrived.valueAt(now) < minRate })
}

// RecordStart records the start of a call that was observed.
func (t *Table) RecordStart(now clock.Milli, route string) {
	if r := t.routes[route]; r != nil {
		r.started.observe(now)
		t.started.observe(now)
	}
}

// IsStarved reports whether the share of a route's calls that start is below FloorFraction of
// the share of all calls.
func (t *Table) IsStarved(now clock.Milli, route string) bool {
	r := t.routes[route]
	if r == nil {
		return false
	}
	return r.started.valueAt(now)*t.arrived.valueAt(now) < FloorFraction*t.started.valueAt(now)*r.arrived.valueAt(now)
}

// Demands returns the demand of each route. Running has the number of running calls by route,
// and serviceTime returns how long they take. The result is ordered by route. Routes without
// calls are removed.
func (t *Table) Demands(now clock.Milli, running map[string]int, serviceTime func(route string) clock.Milli) []Demand {
	demands := make([]Demand, 0, len(t.routes))
	for route, r := range t.routes {
		perSecond := r.arrived.valueAt(now)
		if perSecond < minRate {
			delete(t.routes, route)
			continue
		}
		load := perSecond * float64(serviceTime(route)/clock.Second)
		demands = append(demands, Demand{Route: route, Priority: r.priority, Load: load, Running: running[route]})
	}
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Route, b.Route) })
	return demands
}
