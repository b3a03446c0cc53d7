package report

import (
	"fmt"
	"sort"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// sameWithin is the time in which equal events of several daemons are one:
// configuration changes are in force everywhere within 7 s.
const sameWithin = 10 * clock.Second

// decisions merges what all daemons remember of a request.
func decisions(replies []reply) []Decision {
	var out []Decision
	for i := range replies {
		out = append(out, replies[i].answer.Decisions...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

// events merges the events of all daemons. Several daemons see the same event
// at slightly different times; the first report of a kind and detail is told.
func events(replies []reply) []string {
	type same struct {
		move, detail string
		kind         EventKind
	}
	var all []Event
	for i := range replies {
		all = append(all, replies[i].answer.Events...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	seen := make(map[same]clock.Milli)
	var out []string
	for _, e := range all {
		k := same{move: e.Move, kind: e.Kind, detail: e.Detail}
		last, repeated := seen[k]
		seen[k] = e.At
		if repeated && e.At-last <= sameWithin {
			continue
		}
		s := fmt.Sprintf("At %s, for move %s, %s", when(e.At), e.Move, eventWords[e.Kind])
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

// unseen names what the report does not cover.
func unseen(replies []reply, q *Query) []string {
	var out []string
	var young []string
	var since clock.Milli
	for i := range replies {
		r := &replies[i]
		switch {
		case r.err != nil:
			out = append(out, fmt.Sprintf("The daemon %s did not answer (%v), so calls that only it knows of are missing.", r.name, r.err))
		case q.Request == "" && r.answer.Since > q.From:
			young = append(young, r.name)
			since = max(since, min(r.answer.Since, q.To))
		}
		if r.answer.Uncounted > 0 {
			out = append(out, fmt.Sprintf("The daemon %s had no room to count %s.", r.name, calls(r.answer.Uncounted)))
		}
	}
	switch {
	case len(young) == 1:
		out = append(out, fmt.Sprintf("The daemon %s knows nothing of the time before %s.", young[0], when(since)))
	case len(young) > 1:
		out = append(out, fmt.Sprintf("%d of %d daemons started in this time, the last at %s, and know nothing of the time before their start.",
			len(young), len(replies), when(since)))
	}
	if len(replies) == 0 {
		return []string{"No daemon could be asked."}
	}
	if len(out) == 0 {
		return []string{fmt.Sprintf("All %d daemons that were asked answered in full.", len(replies))}
	}
	return out
}
