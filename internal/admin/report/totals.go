package report

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// share is a name with its part of a total.
type share struct {
	name  string
	count int64
}

// shares counts by name.
type shares map[string]int64

// sorted returns the names, the largest count first.
func (s shares) sorted() []share {
	out := make([]share, 0, len(s))
	for name, n := range s {
		out = append(out, share{name: name, count: n})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].count != out[j].count {
			return out[i].count > out[j].count
		}
		return out[i].name < out[j].name
	})
	return out
}

// serviceTotals sums the counters of one service.
type serviceTotals struct {
	name      string
	all       int64
	answered  int64
	centres   shares
	versions  shares
	reasons   map[call.Reason]int64
	notRun    map[call.Reason]int64
	uncertain map[call.Reason]int64
}

type totals struct {
	services []*serviceTotals
}

func sumUp(replies []reply) *totals {
	by := make(map[string]*serviceTotals)
	for i := range replies {
		for j := range replies[i].answer.Counters {
			c := &replies[i].answer.Counters[j]
			s, ok := by[c.Service]
			if !ok {
				s = &serviceTotals{
					name: c.Service, centres: make(shares), versions: make(shares),
					reasons: make(map[call.Reason]int64), notRun: make(map[call.Reason]int64),
					uncertain: make(map[call.Reason]int64),
				}
				by[c.Service] = s
			}
			s.add(c)
		}
	}
	t := &totals{}
	for _, s := range by {
		t.services = append(t.services, s)
	}
	sort.Slice(t.services, func(i, j int) bool { return t.services[i].name < t.services[j].name })
	return t
}

func (s *serviceTotals) add(c *Counter) {
	s.all += c.Count
	switch c.Outcome {
	case call.OutcomeAnswered:
		s.answered += c.Count
		s.centres[c.Centre] += c.Count
		s.versions[c.Version] += c.Count
		s.reasons[c.Reason] += c.Count
	case call.OutcomeNotRun:
		s.notRun[c.Reason] += c.Count
	case call.OutcomeUnknown:
		s.uncertain[c.Reason] += c.Count
	}
}

func (t *totals) traffic() []string {
	if len(t.services) == 0 {
		return []string{"No calls were counted in this time."}
	}
	var out []string
	for _, s := range t.services {
		out = append(out, fmt.Sprintf("Service %s was called %s times, counting a repeated call each time, and answered %s (%s).",
			s.name, number(s.all), number(s.answered), percent(s.answered, s.all)))
		if s.answered == 0 {
			continue
		}
		out = append(out, fmt.Sprintf("Of the answered calls, %s.", list(s.centres, s.answered, "were served by data centre ")),
			fmt.Sprintf("Of the answered calls, %s.", list(s.versions, s.answered, "were served by version ")))
	}
	return out
}

func list(s shares, total int64, words string) string {
	parts := make([]string, 0, len(s))
	for i, p := range s.sorted() {
		if i > 0 {
			words = "by "
		}
		parts = append(parts, percent(p.count, total)+" "+words+p.name)
	}
	return joined(parts)
}

func joined(parts []string) string {
	if len(parts) < 2 {
		return strings.Join(parts, "")
	}
	return strings.Join(parts[:len(parts)-1], ", ") + " and " + parts[len(parts)-1]
}

// byCount returns the reasons, the most frequent first.
func byCount(m map[call.Reason]int64) []call.Reason {
	out := make([]call.Reason, 0, len(m))
	for r := range m {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool {
		if m[out[i]] != m[out[j]] {
			return m[out[i]] > m[out[j]]
		}
		return out[i] < out[j]
	})
	return out
}

func (t *totals) reasons() []string {
	var out []string
	for _, s := range t.services {
		for _, r := range byCount(s.reasons) {
			out = append(out, fmt.Sprintf("For service %s, %s of the answered calls were routed as they were because %s.",
				s.name, percent(s.reasons[r], s.answered), because(r)))
		}
	}
	if len(out) == 0 {
		return []string{"There is nothing to explain, as no call was answered."}
	}
	return out
}

func (t *totals) refusals() []string {
	var out []string
	for _, s := range t.services {
		for _, r := range byCount(s.notRun) {
			out = append(out, fmt.Sprintf("Service %s refused %s because %s; %s.",
				s.name, calls(s.notRun[r]), because(r), plural(s.notRun[r], "it was not run", "none of them was run")))
		}
		for _, r := range byCount(s.uncertain) {
			out = append(out, fmt.Sprintf("For %s to service %s it is not known whether %s run, because %s.",
				calls(s.uncertain[r]), s.name, plural(s.uncertain[r], "it was", "they were"), because(r)))
		}
	}
	if len(out) == 0 {
		return []string{"No call was refused."}
	}
	return out
}

func calls(n int64) string {
	return number(n) + plural(n, " call", " calls")
}

func plural(n int64, one, many string) string {
	if n == 1 {
		return one
	}
	return many
}

// number writes thousands with a comma.
func number(n int64) string {
	s := strconv.FormatInt(n, 10)
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return s
}

// percent keeps small parts from being read as none and large ones as all.
func percent(n, total int64) string {
	p := 100 * float64(n) / float64(max(total, 1))
	switch {
	case n > 0 && p < 0.1:
		return "less than 0.1%"
	case n < total && p > 99.9:
		return "more than 99.9%"
	case n == total:
		return "100%"
	default:
		return fmt.Sprintf("%.1f%%", p)
	}
}
