package usage

import (
	"maps"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Answer has the counts of one guard. Instants are true time.
type Answer struct {
	Member      string
	Incarnation uint64
	// Since and Until limit the time in which the guard's counts are complete.
	Since clock.Milli
	Until clock.Milli
	// Succeeds is set if another process may have counted at this member before.
	Succeeds bool
	// Final is set if the guard begins no more requests.
	Final   bool
	Windows []Window
}

// process identifies the process of a guard.
type process struct {
	member      string
	incarnation uint64
}

// Collector has the counts of all guards at the holder. It is not safe for concurrent use.
type Collector struct {
	length  clock.Milli
	answers map[process]Answer
	// linkedAt has when each member was last linked.
	linkedAt map[string]clock.Milli
}

// NewCollector returns a collector for windows of a length.
func NewCollector(length clock.Milli) *Collector {
	return &Collector{length: length, answers: make(map[process]Answer), linkedAt: make(map[string]clock.Milli)}
}

// Linked records that members are linked at a true time.
func (c *Collector) Linked(now clock.Milli, members []string) {
	for _, m := range members {
		c.linkedAt[m] = max(c.linkedAt[m], now)
	}
}

// Add records an answer. Answers of one process are cumulative, so the latest one counts; an
// answer that omits earlier windows keeps them. A guard that has corrected its clock counts
// since another instant, and nothing that it said before is kept.
func (c *Collector) Add(a Answer) {
	key := process{a.Member, a.Incarnation}
	old, known := c.answers[key]
	if known && a.Since != old.Since {
		c.answers[key] = a
		return
	}
	if known && (old.Final || a.Until < old.Until) && !a.Final {
		return
	}
	for _, w := range old.Windows {
		if !slices.ContainsFunc(a.Windows, func(n Window) bool { return n.Index == w.Index }) {
			a.Windows = append(a.Windows, w)
		}
	}
	a.Final = a.Final || old.Final
	c.answers[key] = a
}

// Expire drops the windows before first and members that were not linked since then.
func (c *Collector) Expire(first int64) {
	start := clock.Milli(first) * c.length
	maps.DeleteFunc(c.linkedAt, func(_ string, at clock.Milli) bool { return at < start })
	maps.DeleteFunc(c.answers, func(_ process, a Answer) bool {
		_, linked := c.linkedAt[a.Member]
		return a.Until < start && (!a.Final || !linked)
	})
	for key, a := range c.answers {
		a.Windows = slices.DeleteFunc(a.Windows, func(w Window) bool { return w.Index < first })
		c.answers[key] = a
	}
}

// Total returns the counts of a window over all guards.
func (c *Collector) Total(window int64) Counts {
	total := make(Counts)
	for _, a := range c.answers {
		for _, w := range a.Windows {
			if w.Index == window {
				total.Add(w.Counts)
			}
		}
	}
	maps.DeleteFunc(total, func(_ string, n int64) bool { return n <= 0 })
	return total
}

// Coverage is the part of the guards' time in a window that answers cover.
type Coverage struct {
	// Missing is the uncovered share of the time, between 0 and 1.
	Missing float64
	// Members are those with uncovered time, sorted.
	Members []string
	// Guards is the number of members that were there in the window.
	Guards int
}

// Coverage returns the coverage of a window.
func (c *Collector) Coverage(window int64) Coverage {
	start := clock.Milli(window) * c.length
	members := make(map[string][]Answer)
	for m, at := range c.linkedAt {
		if at >= start {
			members[m] = nil
		}
	}
	for _, a := range c.answers {
		if a.Until > start {
			members[a.Member] = append(members[a.Member], a)
		}
	}
	for _, a := range c.answers {
		// A guard that ended as planned before the window explains the gap before its successor.
		if a.Final && a.Until <= start && len(members[a.Member]) > 0 {
			members[a.Member] = append(members[a.Member], a)
		}
	}
	var out Coverage
	var expected, covered clock.Milli
	for m, answers := range members {
		e, v := coveredTime(start, start+c.length, answers)
		if e == 0 {
			continue
		}
		out.Guards++
		expected, covered = expected+e, covered+v
		if v < e {
			out.Members = append(out.Members, m)
		}
	}
	slices.Sort(out.Members)
	if expected > 0 {
		out.Missing = float64((expected - covered) / expected)
	}
	return out
}

// coveredTime returns how long a member should have counted between two instants, and how
// much of that time the answers of its processes cover. The final answer of a process covers
// the time until its successor counts.
func coveredTime(start, end clock.Milli, answers []Answer) (expected, covered clock.Milli) {
	if len(answers) == 0 {
		return end - start, 0
	}
	slices.SortFunc(answers, func(a, b Answer) int { return int(a.Since - b.Since) })
	from := start
	if !answers[0].Succeeds {
		from = max(start, answers[0].Since)
	}
	at := from
	for i, a := range answers {
		until := a.Until
		if a.Final {
			until = end
			if i+1 < len(answers) {
				until = max(a.Until, answers[i+1].Since)
			}
		}
		lower, upper := max(at, a.Since), min(end, until)
		if upper > lower {
			covered += upper - lower
			at = upper
		}
	}
	return max(0, end-from), covered
}
