package report

import (
	"fmt"
	"sort"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// eventDedupWindow is the time within which equal events from several daemons
// count as one. It exceeds the 7 s that a configuration change may take to be in
// force at all daemons.
const eventDedupWindow = 10 * clock.Second

// mergeDecisions returns the decisions of all replies in chronological order.
func mergeDecisions(replies []reply) []Decision {
	var out []Decision
	for i := range replies {
		out = append(out, replies[i].answer.Decisions...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

// eventSentences describes the events of all daemons. Daemons record the same
// event at slightly different times, so an event is left out if one of the same
// move, kind and detail precedes it by at most eventDedupWindow.
func eventSentences(replies []reply) []string {
	type eventKey struct {
		move, detail string
		kind         EventKind
	}
	var all []Event
	for i := range replies {
		all = append(all, replies[i].answer.Events...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	lastAt := make(map[eventKey]clock.Milli)
	var out []string
	for _, e := range all {
		k := eventKey{move: e.Move, kind: e.Kind, detail: e.Detail}
		last, found := lastAt[k]
		lastAt[k] = e.At
		if found && e.At-last <= eventDedupWindow {
			continue
		}
		s := fmt.Sprintf("At %s, for move %s, %s", formatTime(e.At), e.Move, eventClauses[e.Kind])
		if e.Detail != "" {
			s += ": " + e.Detail
		}
		out = append(out, s+".")
	}
	if len(out) == 0 {
		return []string{"No move changed its state in this time."}
	}
	return out
}

// missingDataSentences describes what the report does not cover and why.
func missingDataSentences(replies []reply, q *Query) []string {
	var out []string
	var incomplete []string
	var latestStart clock.Milli
	for i := range replies {
		r := &replies[i]
		switch {
		case r.err != nil:
			out = append(out, fmt.Sprintf("The daemon %s did not answer (%v), so calls that only it knows of are missing.", r.name, r.err))
		case q.Request == "" && r.answer.CompleteSince > q.From:
			incomplete = append(incomplete, r.name)
			latestStart = max(latestStart, min(r.answer.CompleteSince, q.To))
		}
		if r.answer.Uncounted > 0 {
			out = append(out, fmt.Sprintf("The daemon %s had no room to count %s.", r.name, formatCalls(r.answer.Uncounted)))
		}
	}
	switch {
	case len(incomplete) == 1:
		out = append(out, fmt.Sprintf("The daemon %s knows nothing of the time before %s.", incomplete[0], formatTime(latestStart)))
	case len(incomplete) > 1:
		out = append(out, fmt.Sprintf("%d of %d daemons started in this time, the last at %s, and know nothing of the time before their start.",
			len(incomplete), len(replies), formatTime(latestStart)))
	}
	if len(replies) == 0 {
		return []string{"No daemon could be asked."}
	}
	if len(out) == 0 {
		return []string{fmt.Sprintf("All %d daemons that were asked answered in full.", len(replies))}
	}
	return out
}
