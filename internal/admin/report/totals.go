package report

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// nameCount is the count for one name.
type nameCount struct {
	name  string
	count int64
}

// countsByName counts answered calls by data centre or by version.
type countsByName map[string]int64

// mostFrequentFirst returns the counts in descending order, and equal ones by
// name.
func (s countsByName) mostFrequentFirst() []nameCount {
	out := make([]nameCount, 0, len(s))
	for name, n := range s {
		out = append(out, nameCount{name: name, count: n})
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
	name              string
	total             int64
	answered          int64
	answeredByCentre  countsByName
	answeredByVersion countsByName
	answeredByReason  map[call.Reason]int64
	notRunByReason    map[call.Reason]int64
	unknownByReason   map[call.Reason]int64
}

type totals struct {
	services []*serviceTotals
}

func sumByService(replies []reply) *totals {
	byService := make(map[string]*serviceTotals)
	for i := range replies {
		for j := range replies[i].answer.Counters {
			c := &replies[i].answer.Counters[j]
			s, ok := byService[c.Service]
			if !ok {
				s = &serviceTotals{
					name: c.Service, answeredByCentre: make(countsByName), answeredByVersion: make(countsByName),
					answeredByReason: make(map[call.Reason]int64), notRunByReason: make(map[call.Reason]int64),
					unknownByReason: make(map[call.Reason]int64),
				}
				byService[c.Service] = s
			}
			s.add(c)
		}
	}
	t := &totals{}
	for _, s := range byService {
		t.services = append(t.services, s)
	}
	sort.Slice(t.services, func(i, j int) bool { return t.services[i].name < t.services[j].name })
	return t
}

func (s *serviceTotals) add(c *Counter) {
	s.total += c.Count
	switch c.Outcome {
	case call.OutcomeAnswered:
		s.answered += c.Count
		s.answeredByCentre[c.Centre] += c.Count
		s.answeredByVersion[c.Version] += c.Count
		s.answeredByReason[c.Reason] += c.Count
	case call.OutcomeNotRun:
		s.notRunByReason[c.Reason] += c.Count
	case call.OutcomeUnknown:
		s.unknownByReason[c.Reason] += c.Count
	}
}

func (t *totals) trafficSentences() []string {
	if len(t.services) == 0 {
		return []string{"No calls were counted in this time."}
	}
	var out []string
	for _, s := range t.services {
		out = append(out, fmt.Sprintf("Service %s was called %s times, counting a repeated call each time, and answered %s (%s).",
			s.name, formatCount(s.total), formatCount(s.answered), formatPercent(s.answered, s.total)))
		if s.answered == 0 {
			continue
		}
		out = append(out, fmt.Sprintf("Of the answered calls, %s.", percentList(s.answeredByCentre, s.answered, "were served by data centre ")),
			fmt.Sprintf("Of the answered calls, %s.", percentList(s.answeredByVersion, s.answered, "were served by version ")))
	}
	return out
}

// percentList lists the percentage of each name, the largest first. With the
// predicate "were served by version " it returns, for example, "60.0% were served
// by version v1 and 40.0% by v2".
func percentList(s countsByName, total int64, predicate string) string {
	parts := make([]string, 0, len(s))
	for i, p := range s.mostFrequentFirst() {
		if i > 0 {
			predicate = "by "
		}
		parts = append(parts, formatPercent(p.count, total)+" "+predicate+p.name)
	}
	return joinWithAnd(parts)
}

func joinWithAnd(parts []string) string {
	if len(parts) < 2 {
		return strings.Join(parts, "")
	}
	return strings.Join(parts[:len(parts)-1], ", ") + " and " + parts[len(parts)-1]
}

// reasonsByCount returns the reasons, most frequent first.
func reasonsByCount(m map[call.Reason]int64) []call.Reason {
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

func (t *totals) reasonSentences() []string {
	var out []string
	for _, s := range t.services {
		for _, r := range reasonsByCount(s.answeredByReason) {
			out = append(out, fmt.Sprintf("For service %s, %s of the answered calls were routed as they were because %s.",
				s.name, formatPercent(s.answeredByReason[r], s.answered), reasonClause(r)))
		}
	}
	if len(out) == 0 {
		return []string{"There is nothing to explain, as no call was answered."}
	}
	return out
}

func (t *totals) refusalSentences() []string {
	var out []string
	for _, s := range t.services {
		for _, r := range reasonsByCount(s.notRunByReason) {
			out = append(out, fmt.Sprintf("Service %s refused %s because %s; %s.",
				s.name, formatCalls(s.notRunByReason[r]), reasonClause(r), plural(s.notRunByReason[r], "it was not run", "none of them was run")))
		}
		for _, r := range reasonsByCount(s.unknownByReason) {
			out = append(out, fmt.Sprintf("For %s to service %s it is not known whether %s run, because %s.",
				formatCalls(s.unknownByReason[r]), s.name, plural(s.unknownByReason[r], "it was", "they were"), reasonClause(r)))
		}
	}
	if len(out) == 0 {
		return []string{"No call was refused."}
	}
	return out
}

func formatCalls(n int64) string {
	return formatCount(n) + plural(n, " call", " calls")
}

func plural(n int64, one, many string) string {
	if n == 1 {
		return one
	}
	return many
}

// formatCount separates groups of three digits by commas.
func formatCount(n int64) string {
	s := strconv.FormatInt(n, 10)
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return s
}

// formatPercent formats n as a percentage of total. It rounds neither a positive
// n to 0% nor an n below total to 100%.
func formatPercent(n, total int64) string {
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
