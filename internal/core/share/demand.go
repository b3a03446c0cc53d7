package share

import (
	"cmp"
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

// arrivals is the arrival rate of the calls of one route.
type arrivals struct {
	priority int
	// rate is in calls per second at the instant at.
	rate float64
	at   clock.Milli
}

func (a *arrivals) rateAt(now clock.Milli) float64 {
	return a.rate * math.Exp(-max(0, float64((now-a.at)/rateWindow)))
}

// Table measures the demand of the routes at one upstream. It is not safe for concurrent
// use. The zero value is ready for use.
type Table struct {
	routes map[string]*arrivals
}

// Observe records the arrival of a call.
func (t *Table) Observe(now clock.Milli, route string, priority int) {
	if t.routes == nil {
		t.routes = make(map[string]*arrivals)
	}
	a := t.routes[route]
	if a == nil {
		a = &arrivals{}
		t.routes[route] = a
	}
	a.rate = a.rateAt(now) + float64(clock.Second/rateWindow)
	a.at, a.priority = now, priority
}

// Demands returns the demand of each route. Running has the number of running calls by route,
// and serviceTime returns how long they take. The result is ordered by route. Routes without
// calls are removed.
func (t *Table) Demands(now clock.Milli, running map[string]int, serviceTime func(route string) clock.Milli) []Demand {
	demands := make([]Demand, 0, len(t.routes))
	for route, a := range t.routes {
		rate := a.rateAt(now)
		if rate < minRate {
			delete(t.routes, route)
			continue
		}
		load := rate * float64(serviceTime(route)/clock.Second)
		demands = append(demands, Demand{Route: route, Priority: a.priority, Load: load, Running: running[route]})
	}
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Route, b.Route) })
	return demands
}
