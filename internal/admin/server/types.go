package server

import (
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
)

// Exception is the API representation of a policy.Exception. Start and End are in
// RFC 3339, empty if unset.
type Exception struct {
	ID       string       `json:"id"`
	Effect   string       `json:"effect"`
	Scope    policy.Scope `json:"scope"`
	Reason   string       `json:"reason"`
	Author   string       `json:"author"`
	Start    string       `json:"start,omitempty"`
	End      string       `json:"end,omitempty"`
	Active   bool         `json:"active"`
	Revision int64        `json:"revision"`
	Move     *VersionMove `json:"move,omitempty"`
	Route    *Route       `json:"route,omitempty"`
}

// VersionMove holds the fields of an exception that moves a service to a new
// version.
type VersionMove struct {
	FinishBy    string  `json:"finish_by"`
	UnprovenCap float64 `json:"unproven_cap"`
	Cap         float64 `json:"cap"`
	State       string  `json:"state"`
	Evidence    string  `json:"evidence,omitempty"`
}

// Route is a route of the defaults, or the settings of a route that an exception
// overrides.
type Route struct {
	Name       string   `json:"name,omitempty"`
	Service    string   `json:"service,omitempty"`
	Prefix     string   `json:"prefix,omitempty"`
	Methods    []string `json:"methods,omitempty"`
	Class      string   `json:"class,omitempty"`
	TimeoutMS  float64  `json:"timeout_ms,omitempty"`
	Repeatable *bool    `json:"repeatable,omitempty"`
	SlotShare  float64  `json:"slot_share,omitempty"`
}

// Defaults is the body of GET /v1/defaults. Routes of services that the caller
// may not read are left out.
type Defaults struct {
	Revision  int64   `json:"revision"`
	TimeoutMS float64 `json:"timeout_ms"`
	Routes    []Route `json:"routes"`
}

// HistoryItem is a change in the list of GET /v1/history, accepted or not.
type HistoryItem struct {
	ID      string `json:"id"`
	Offset  int64  `json:"offset"`
	Status  string `json:"status"`
	By      string `json:"by"`
	At      string `json:"at"`
	Subject string `json:"subject"`
	Reason  string `json:"reason,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Team is a team in the list of GET /v1/teams, with its tokens.
type Team struct {
	Name     string   `json:"name"`
	Services []string `json:"services"`
	Tokens   []Token  `json:"tokens"`
}

// Token is a token without its hash.
type Token struct {
	ID      string   `json:"id"`
	Roles   []string `json:"roles"`
	Expires string   `json:"expires,omitempty"`
}

// Status is the body of GET /v1/status: the state of the configuration at the
// daemon that answers.
type Status struct {
	Ready    bool  `json:"ready"`
	Revision int64 `json:"revision"`
	// Applied is the log offset of the last applied record.
	Applied int64 `json:"applied"`
	// HasGap reports whether records were received whose predecessors are missing.
	HasGap     bool      `json:"waiting"`
	InForce    *Coverage `json:"in_force"`
	Log        LogStatus `json:"log"`
	CentresOut []string  `json:"centres_out,omitempty"`
}

// LogStatus is the state of the platform log as seen by the daemon that answers.
type LogStatus struct {
	// State is up, down, or the kind of fault for which the daemon stopped
	// following the log.
	State  string `json:"state"`
	Detail string `json:"detail,omitempty"`
	// LastReadMS is the time since the log was last read to its end, in
	// milliseconds; 0 if it never was.
	LastReadMS float64 `json:"last_read_ms_ago"`
}

func newException(e *policy.Exception, now clock.Milli) Exception {
	v := Exception{
		ID: e.ID, Effect: e.Effect.String(), Scope: e.Scope, Reason: e.Reason, Author: e.Author,
		Start: formatRFC3339(e.Start), End: formatRFC3339(e.End), Active: e.Active(now), Revision: e.Revision,
	}
	if m := e.Move; m != nil {
		v.Move = &VersionMove{
			FinishBy: formatRFC3339(m.FinishBy), UnprovenCap: m.UnprovenCap, Cap: m.Cap,
			State: moveState(m), Evidence: m.Evidence,
		}
	}
	if e.Route != nil {
		r := newRoute(e.Route)
		if !e.ClassSet {
			r.Class = ""
		}
		v.Route = &r
	}
	return v
}

func moveState(m *policy.VersionMove) string {
	switch {
	case m.TakenBack:
		return string(shift.RulingTakenBack)
	case m.Done:
		return string(shift.RulingDone)
	default:
		return "open"
	}
}

func newRoute(r *policy.Route) Route {
	return Route{
		Name: r.Name, Service: r.Service, Prefix: r.Prefix, Methods: r.Methods, Class: r.Class.String(),
		TimeoutMS: float64(r.Timeout), Repeatable: r.Repeatable, SlotShare: r.SlotShare,
	}
}

func newHistoryItem(e fold.HistoryEntry) HistoryItem {
	return HistoryItem{
		ID: e.Outcome.ID, Offset: e.Outcome.Offset, Status: e.Outcome.Status.String(), By: e.Author,
		At: formatRFC3339(clock.Milli(e.AtMS)), Subject: e.Subject, Reason: e.Reason, Detail: e.Outcome.Detail,
	}
}

func formatRFC3339(m clock.Milli) string {
	if m == 0 {
		return ""
	}
	return m.Time().Format(time.RFC3339)
}
