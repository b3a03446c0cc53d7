package daemon

import (
	"fmt"
	"strings"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/report"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/centre"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
)

// history converts the states of moves to events and returns each event once.
type history struct {
	reported map[string]bool
}

func newHistory() *history {
	return &history{reported: make(map[string]bool)}
}

var centreEventKinds = map[centre.State]report.EventKind{
	centre.Draining:  report.EventDraining,
	centre.Done:      report.EventDone,
	centre.Returning: report.EventReturning,
	centre.Returned:  report.EventReturned,
}

// events returns the events since the previous call.
func (h *history) events(now clock.Milli, centres []centre.Move, shifts []shift.Progress) []report.Event {
	out := make([]report.Event, 0, len(centres)+len(shifts))
	for i := range centres {
		out = append(out, h.centreMoveEvents(now, &centres[i])...)
	}
	for i := range shifts {
		out = append(out, h.versionMoveEvents(now, &shifts[i])...)
	}
	return out
}

func (h *history) centreMoveEvents(now clock.Milli, m *centre.Move) []report.Event {
	var out []report.Event
	id := m.Exception.ID
	keyPrefix := fmt.Sprintf("%s/%d/%.0f", id, m.Exception.Revision, float64(m.StateSince))
	if kind, ok := centreEventKinds[m.State]; ok && h.markReported(keyPrefix+m.State.String()) {
		out = append(out, report.Event{At: m.StateSince, Move: id, Kind: kind, Detail: "data centre " + m.Exception.Scope.Centre})
	}
	for _, capacity := range m.Capacity {
		kind := report.EventBackgroundShed
		detail := fmt.Sprintf("service %s needs %.1f slots, %.1f are usable", capacity.Service, capacity.Foreground+capacity.Background, capacity.UsableSlots)
		if capacity.Fit == centre.FitTooSmall {
			kind = report.EventTooSmall
		}
		if capacity.Fit != centre.FitEnough && h.markReported(keyPrefix+capacity.Service+capacity.Fit.String()) {
			out = append(out, report.Event{At: now, Move: id, Kind: kind, Detail: detail})
		}
	}
	return out
}

func (h *history) versionMoveEvents(now clock.Milli, p *shift.Progress) []report.Event {
	var out []report.Event
	v := p.Exception.Move
	keyPrefix := fmt.Sprintf("%s/%d/", v.ID, p.Exception.Revision)
	add := func(name string, kind report.EventKind, detail string) {
		if h.markReported(keyPrefix + name) {
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

// markReported marks the key as reported and returns true if it was not marked
// before.
func (h *history) markReported(key string) bool {
	if h.reported[key] {
		return false
	}
	h.reported[key] = true
	return true
}
