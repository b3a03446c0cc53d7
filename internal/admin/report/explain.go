package report

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// Report is an explanation in whole sentences.
type Report struct {
	Title    string    `json:"title" toml:"title"`
	Sections []Section `json:"sections" toml:"section"`
}

// Section is a part of a report.
type Section struct {
	Heading   string   `json:"heading" toml:"heading"`
	Sentences []string `json:"sentences" toml:"sentences"`
}

// Explain asks the sources and explains what the query asks for. Sources that
// do not answer are named in the report.
func Explain(ctx context.Context, cfg *policy.Config, q Query, sources []Source) (Report, error) {
	if err := q.Validate(); err != nil {
		return Report{}, err
	}
	replies := ask(ctx, &q, sources)
	if q.Request != "" {
		return Report{Title: "What happened to request " + q.Request, Sections: []Section{
			{Heading: "The request", Sentences: request(replies, cfg)},
			{Heading: "What could not be seen", Sentences: unseen(replies, &q)},
		}}, nil
	}
	t := sumUp(replies)
	return Report{Title: title(&q), Sections: []Section{
		{Heading: "Where the traffic went", Sentences: t.traffic()},
		{Heading: "Which rules applied", Sentences: rules(cfg, &q)},
		{Heading: "Why", Sentences: t.reasons()},
		{Heading: "What was refused", Sentences: t.refusals()},
		{Heading: "What happened to the moves", Sentences: events(replies)},
		{Heading: "What could not be seen", Sentences: unseen(replies, &q)},
	}}, nil
}

func title(q *Query) string {
	var b strings.Builder
	b.WriteString("Traffic")
	if q.Service != "" {
		b.WriteString(" of service " + q.Service)
	}
	if q.Centre != "" {
		b.WriteString(" in data centre " + q.Centre)
	}
	if q.Move != "" {
		b.WriteString(" during move " + q.Move)
	}
	fmt.Fprintf(&b, " from %s to %s", when(q.From), when(q.To))
	return b.String()
}

func when(t clock.Milli) string {
	return t.Time().Format("2006-01-02 15:04:05") + " UTC"
}

// rules names the exceptions that were in force in the time of the query.
func rules(cfg *policy.Config, q *Query) []string {
	var out []string
	for _, e := range append(slices.Clone(cfg.Past), cfg.Exceptions...) {
		if !concerns(&e, q) {
			continue
		}
		out = append(out, rule(&e))
		if e.Move != nil && (e.Move.TakenBack || e.Move.Done) {
			out = append(out, ruled(&e))
		}
	}
	if len(out) == 0 {
		return []string{"No exception that is still on record applied; the fleet-wide defaults decided alone."}
	}
	return append(out, "Everything else was decided by the fleet-wide defaults.")
}

func concerns(e *policy.Exception, q *Query) bool {
	service := e.Scope.Service
	if e.Move != nil {
		service = e.Move.Service
	}
	switch {
	case e.Start >= q.To || (e.End != 0 && e.End <= q.From):
		return false
	case q.Move != "" && e.ID != q.Move:
		return false
	case q.Centre != "" && e.Scope.Centre != "" && e.Scope.Centre != q.Centre:
		return false
	default:
		return q.Service == "" || service == "" || service == q.Service
	}
}

func rule(e *policy.Exception) string {
	var what string
	switch e.Effect {
	case policy.EffectCentreOut:
		what = fmt.Sprintf("took data centre %s out of service", e.Scope.Centre)
	case policy.EffectVersionMove:
		what = "moved traffic between versions"
		if m := e.Move; m != nil {
			what = fmt.Sprintf("asked for service %s to be moved to version %s by %s", m.Service, m.NewVersion, when(m.FinishBy))
		}
	case policy.EffectRoute:
		what = "changed the rules of a route"
	case policy.EffectShedBackground:
		what = "put off background work"
	case policy.EffectNone:
		what = "changed nothing"
	}
	span := ""
	if e.Start != 0 {
		span += " from " + when(e.Start)
	}
	if e.End != 0 {
		span += " until " + when(e.End)
	}
	s := fmt.Sprintf("%s %s%s (exception %s) and gave as reason: “%s”", e.Author, what, span, e.ID, e.Reason)
	if e.Withdrawn != "" {
		s += " Then " + e.Withdrawn
	}
	return s
}

func ruled(e *policy.Exception) string {
	if e.Move.Done {
		return fmt.Sprintf("Move %s was done: %s.", e.ID, e.Move.Evidence)
	}
	return fmt.Sprintf("Move %s was taken back for good: %s.", e.ID, e.Move.Evidence)
}

// request tells the attempts of one request in the order of time.
func request(replies []reply, cfg *policy.Config) []string {
	var out []string
	for _, d := range decisions(replies) {
		to := "no server"
		if d.Target != "" {
			to = fmt.Sprintf("server %s in data centre %s, which runs version %s,", d.Target, d.Centre, d.Version)
		}
		s := fmt.Sprintf("At %s the request to service %s (route %s) was given to %s because %s",
			when(d.At), d.Service, d.Route, to, because(d.Reason))
		switch d.Outcome {
		case call.OutcomeAnswered:
			s += "; it was answered."
		case call.OutcomeNotRun:
			s = fmt.Sprintf("At %s the request to service %s (route %s) was refused because %s; it was not run.",
				when(d.At), d.Service, d.Route, because(d.Reason))
		case call.OutcomeUnknown:
			s += "; it is not known whether it was run."
		}
		out = append(out, s)
		if e, ok := cfg.CentreOutException(d.Centre, d.At); ok && d.Reason == call.ReasonCentreOut {
			out = append(out, rule(&e))
		}
	}
	if len(out) == 0 {
		return []string{"No daemon that answered remembers this request. Daemons remember only their most recent requests."}
	}
	return out
}
