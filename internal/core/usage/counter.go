// Package usage counts the requests that upstreams began, by workspace and by window of true
// time, and decides at one daemon when the counts of all guards are settled and reported. It
// reads no clock and performs no calls.
package usage

import (
	"cmp"
	"maps"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Counts has the number of requests of each workspace.
type Counts map[string]int64

// Add adds other to c.
func (c Counts) Add(other Counts) {
	for workspace, n := range other {
		c[workspace] += n
	}
}

// Window has the counts of one window of time. Window k begins k times the length of a
// window after the start of 1970.
type Window struct {
	Index  int64
	Counts Counts
}

// Counter counts the requests at one guard. It is not safe for concurrent use.
type Counter struct {
	length clock.Milli
	keep   int64
	counts map[int64]Counts
}

// NewCounter returns a counter for windows of a length, which keeps the latest ones.
func NewCounter(length clock.Milli, keep int64) *Counter {
	return &Counter{length: length, keep: keep, counts: make(map[int64]Counts)}
}

// Add adds n requests of a workspace at a true time.
func (c *Counter) Add(at clock.Milli, workspace string, n int64) {
	w := int64(at / c.length)
	if c.counts[w] == nil {
		c.counts[w] = make(Counts)
		maps.DeleteFunc(c.counts, func(old int64, _ Counts) bool { return old+c.keep < w })
	}
	c.counts[w][workspace] += n
}

// DropAfter drops the windows that begin after a true time. Those were counted by a clock that
// was ahead, and their time is still to come.
func (c *Counter) DropAfter(now clock.Milli) {
	maps.DeleteFunc(c.counts, func(w int64, _ Counts) bool { return clock.Milli(w)*c.length > now })
}

// From returns the windows from first on that have counts, in order.
func (c *Counter) From(first int64) []Window {
	var out []Window
	for w, counts := range c.counts {
		if w >= first {
			out = append(out, Window{Index: w, Counts: maps.Clone(counts)})
		}
	}
	slices.SortFunc(out, func(a, b Window) int { return cmp.Compare(a.Index, b.Index) })
	return out
}
