package daemon

import (
	"fmt"
	"strings"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/report"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/centre"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
)

// history turns states of moves into events, each reported once.
type history struct {
	told map[string]bool
}

func newHistory() *history {
	return &history{told: make(map[string]bool)}
}

var centreEvents = map[centre.State]report.EventKind{
	centre.Draining:  report.EventDraining,
	centre.Done:      report.EventDone,
	centre.Returning: report.EventReturning,
	centre.Returned:  report.EventReturned,
}

// events returns what happened since the last call.
func (h *history) events(now clock.Milli, centres []centre.Move, shifts []shift.Progress) []report.Event {
	out := make([]report.Event, 0, len(centres)+len(shifts))
	for i := range centres {
		out = append(out, h.centre(now, &centres[i])...)
	}
	for i := range shifts {
		out = append(out, h.shift(now, &shifts[i])...)
	}
	return out
}

func (h *history) centre(now clock.Milli, m *centre.Move) []report.Event {
	var out []report.Event
	id := m.Exception.ID
	since := fmt.Sprintf("%s/%d/%.0f", id, m.Exception.Revision, float64(m.StateSince))
	if kind, ok := centreEvents[m.State]; ok && h.first(since+m.State.String()) {
		out = append(out, report.Event{At: m.StateSince, Move: id, Kind: kind, Detail: "data centre " + m.Exception.Scope.Centre})
	}
	for _, j := range m.Capacity {
		kind := report.EventBackgroundShed
		detail := fmt.Sprintf("service %s needs %.1f slots, %.1f are usable", j.Service, j.Foreground+j.Background, j.UsableSlots)
		if j.Fit == centre.FitTooSmall {
			kind = report.EventTooSmall
		}
		if j.Fit != centre.FitEnough && h.first(since+j.Service+j.Fit.String()) {
			out = append(out, report.Event{At: now, Move: id, Kind: kind, Detail: detail})
		}
	}
	return out
}

func (h *history) shift(now clock.Milli, p *shift.Progress) []report.Event {
	var out []report.Event
	v := p.Exception.Move
	key := fmt.Sprintf("%s/%d/", v.ID, p.Exception.Revision)
	add := func(name string, kind report.EventKind, detail string) {
		if h.first(key + name) {
			out = append(out, report.Event{At: now, Move: v.ID, Kind: kind, Detail: detail})
		}
	}
	if v.TakenBack {
		add("taken_back", report.EventTakenBack, v.Evidence)
	}
	if v.Done {
		add("done", report.EventAdopted, v.Evidence)
	}
	if v.TakenBack || v.Done {
		return out
	}
	if p.Milestones.WorseAt > 0 {
		add("braked", report.EventBraked, shift.DescribeFinding(&p.Finding))
	}
	if p.Milestones.ProvenAt > 0 {
		add("proven", report.EventProven, "version "+v.NewVersion)
	}
	if p.Overdue && len(p.LowTrafficRoutes) > 0 {
		add("short", report.EventTooLittleTraffic, "routes "+strings.Join(p.LowTrafficRoutes, ", "))
	}
	return out
}

// first reports whether the key was not seen before.
func (h *history) first(key string) bool {
	if h.told[key] {
		return false
	}
	h.told[key] = true
	return true
}
