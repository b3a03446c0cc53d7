// Package watch decides which daemons follow the platform's store for the others, so
// that the number of calls to the store does not grow with the fleet.
//
// A few daemons are watchers, which read the store, and two of each data centre are relays,
// which pass on what the watchers of other data centres read. Both are selected by a hash
// over the daemons that can be reached, so there is no lease to lose: when one fails, the
// others agree on the next one as soon as their links to it are down. Daemons that lose
// sight of the store's state altogether read it themselves.
package watch

import (
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/rank"
)

const (
	// MinWatchers is the least number of watchers of a fleet that has so many daemons. Each
	// data centre has at least one.
	MinWatchers = 3
	// RelaysPerCentre is the number of relays of a data centre.
	RelaysPerCentre = 2
	// StaleAfter is the age of the last successful read by any known daemon from which
	// the store's state counts as lost.
	StaleAfter = 8 * clock.Second
	// fleetPollInterval is the mean time between reads of daemons that lost sight of the
	// store's state, over all of them.
	fleetPollInterval = 500 * clock.Millisecond
	// reachableWithin is the age of the last successful read up to which the store counts
	// as reachable, so that the duty of a watcher that can't reach it passes on.
	reachableWithin = 4 * clock.Second

	duty = "watch"
)

// Daemon is a daemon that can be reached, or this one.
type Daemon struct {
	ID     string
	Centre string
	// StoreLost is set when the daemon's last call to the store failed.
	StoreLost bool
}

// Duties are the daemons that have a duty, each sorted by id. Every
// watcher is a relay too.
type Duties struct {
	Watchers []string
	Relays   []string
}

// Select returns the duties. The age is that of the last successful read of the store by
// any known daemon. While no daemon reaches the store, the duties do not pass on, as each
// further watcher would only add failing calls.
func Select(daemons []Daemon, age clock.Milli) Duties {
	byCentre := make(map[string][]string)
	lost := make(map[string][]string)
	for _, d := range daemons {
		if d.StoreLost && age <= reachableWithin {
			lost[d.Centre] = append(lost[d.Centre], d.ID)
			continue
		}
		byCentre[d.Centre] = append(byCentre[d.Centre], d.ID)
	}
	for centre, ids := range lost {
		if len(byCentre[centre]) == 0 {
			// A data centre whose daemons have all lost the store still needs watchers.
			byCentre[centre] = ids
		}
	}
	var out Duties
	perCentre := (MinWatchers + len(byCentre) - 1) / max(1, len(byCentre))
	for _, ids := range byCentre {
		top := rank.Top(duty, ids, max(perCentre, RelaysPerCentre))
		out.Watchers = append(out.Watchers, top[:min(perCentre, len(top))]...)
		out.Relays = append(out.Relays, top...)
	}
	slices.Sort(out.Watchers)
	slices.Sort(out.Relays)
	return out
}

// Poll decides when a daemon that is not a watcher reads the store itself. The zero
// value is ready for use.
type Poll struct {
	nextAt clock.Milli
}

// Due reports whether to read now. The age is that of the last successful read by any
// known daemon, fleet the number of daemons that can be reached, and random a number in
// [0, 1). The reads of all daemons together have the rate of one in fleetPollInterval.
func (p *Poll) Due(now, age clock.Milli, fleet int, random float64) bool {
	if age < StaleAfter {
		p.nextAt = 0
		return false
	}
	first := p.nextAt == 0
	if !first && now < p.nextAt {
		return false
	}
	p.nextAt = now + 2*clock.Milli(random)*clock.Milli(fleet)*fleetPollInterval
	return !first
}
