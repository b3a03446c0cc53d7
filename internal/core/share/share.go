// Package share divides the slots of an upstream among the routes whose calls compete for
// them. It is meant for a load close to or above the capacity, in particular for a burst on
// one route, and for routes of which one runs much longer than the others.
package share

import (
	"cmp"
	"math"
	"slices"
)

// FloorFraction is the fraction of its proportional part that a route keeps however urgent
// the others are.
const FloorFraction = 0.25

// Demand is the need of one route. Load is the number of slots that its calls would use if
// all of them started, Running the number that they use now.
type Demand struct {
	Route    string
	Priority int
	Load     float64
	Running  int
}

// Part is the part of the slots that a route gets. Floor is what it keeps against more
// urgent routes.
type Part struct {
	Demand
	Slots float64
	Floor float64
}

// Divide divides the slots among the routes. More urgent routes come first, except for the
// floors of the others. Routes of the same priority share what is left evenly; one that needs
// less than an even part gets what it needs.
func Divide(slots float64, demands []Demand) []Part {
	parts := make([]Part, len(demands))
	total, floors := totalLoad(demands), 0.0
	for i, d := range demands {
		parts[i] = Part{Demand: d, Floor: d.Load}
		if total > slots {
			parts[i].Floor = FloorFraction * d.Load * slots / total
		}
		floors += parts[i].Floor
	}
	slices.SortFunc(parts, func(a, b Part) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Load, b.Load), cmp.Compare(a.Route, b.Route))
	})
	left := slots - floors
	for i := range parts {
		p := &parts[i]
		peers := parts[i : i+samePriority(parts[i:])]
		p.Slots = max(p.Floor, min(p.Load, (left+floorsOf(peers))/float64(len(peers))))
		left -= p.Slots - p.Floor
	}
	return parts
}

func floorsOf(parts []Part) float64 {
	sum := 0.0
	for _, p := range parts {
		sum += p.Floor
	}
	return sum
}

// samePriority returns the number of parts at the head of the slice with the same priority.
func samePriority(parts []Part) int {
	n := 1
	for n < len(parts) && parts[n].Priority == parts[0].Priority {
		n++
	}
	return n
}

// IsShort reports whether the slots do not suffice for the demands.
func IsShort(slots float64, demands []Demand) bool {
	return totalLoad(demands) > slots
}

func totalLoad(demands []Demand) float64 {
	total := 0.0
	for _, d := range demands {
		total += d.Load
	}
	return total
}

// Reserve returns the number of slots that a further call of a route must leave free for
// the calls of other routes that will arrive. It is zero while the route is within its part.
func Reserve(parts []Part, route string) int {
	i := slices.IndexFunc(parts, func(p Part) bool { return p.Route == route })
	if i < 0 || float64(parts[i].Running+1) <= parts[i].Slots {
		return 0
	}
	reserve := 0.0
	for _, p := range parts {
		kept := p.Slots
		if p.Priority > parts[i].Priority {
			kept = p.Floor
		}
		if p.Route != route {
			reserve += max(0, kept-float64(p.Running))
		}
	}
	return int(math.Round(reserve))
}
