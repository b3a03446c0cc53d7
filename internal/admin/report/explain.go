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

// Report explains, in complete sentences, what a query selects.
type Report struct {
	Title    string    `json:"title" toml:"title"`
	Sections []Section `json:"sections" toml:"section"`
}

// Section is one headed list of sentences in a report.
type Section struct {
	Heading   string   `json:"heading" toml:"heading"`
	Sentences []string `json:"sentences" toml:"sentences"`
}

// Explain sends the query to the sources and returns a report on their answers.
// Sources that do not answer are named in the report. It returns
// ErrInvalidQuery for a query that fails validation.
func Explain(ctx context.Context, cfg *policy.Config, q Query, sources []Source) (Report, error) {
	if err := q.Validate(); err != nil {
		return Report{}, err
	}
	replies := queryAll(ctx, &q, sources)
	if q.Request != "" {
		return Report{Title: "What happened to request " + q.Request, Sections: []Section{
			{Heading: "The request", Sentences: requestSentences(replies, cfg)},
			{Heading: "What could not be seen", Sentences: missingDataSentences(replies, &q)},
		}}, nil
	}
	t := sumByService(replies)
	return Report{Title: reportTitle(&q), Sections: []Section{
		{Heading: "Where the traffic went", Sentences: t.trafficSentences()},
		{Heading: "Which rules applied", Sentences: ruleSentences(cfg, &q)},
		{Heading: "Why", Sentences: t.reasonSentences()},
		{Heading: "What was refused", Sentences: t.refusalSentences()},
		{Heading: "What happened to the moves", Sentences: eventSentences(replies)},
		{Heading: "What could not be seen", Sentences: missingDataSentences(replies, &q)},
	}}, nil
}

func reportTitle(q *Query) string {
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
	fmt.Fprintf(&b, " from %s to %s", formatTime(q.From), formatTime(q.To))
	return b.String()
}

func formatTime(t clock.Milli) string {
	return t.Time().Format("2006-01-02 15:04:05") + " UTC"
}

// ruleSentences describes the exceptions that were in force during the time
// span of the query.
func ruleSentences(cfg *policy.Config, q *Query) []string {
	var out []string
	for _, e := range append(slices.Clone(cfg.Past), cfg.Exceptions...) {
		if !exceptionMatches(&e, q) {
			continue
		}
		out = append(out, exceptionSentence(&e))
		if e.Move != nil && (e.Move.TakenBack || e.Move.Done) {
			out = append(out, moveResultSentence(&e))
		}
	}
	if len(out) == 0 {
		return []string{"No exception that is still on record applied; the fleet-wide defaults decided alone."}
	}
	return append(out, "Everything else was decided by the fleet-wide defaults.")
}

// exceptionMatches reports whether an exception was in force during the time
// span of the query and matches its filters.
func exceptionMatches(e *policy.Exception, q *Query) bool {
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

// exceptionSentence describes who published an exception, what it does and why.
func exceptionSentence(e *policy.Exception) string {
	var action string
	switch e.Effect {
	case policy.EffectCentreOut:
		action = fmt.Sprintf("took data centre %s out of service", e.Scope.Centre)
	case policy.EffectVersionMove:
		action = "moved traffic between versions"
		if m := e.Move; m != nil {
			action = fmt.Sprintf("asked for service %s to be moved to version %s by %s", m.Service, m.NewVersion, formatTime(m.FinishBy))
		}
	case policy.EffectRoute:
		action = "changed the rules of a route"
	case policy.EffectShedBackground:
		action = "put off background work"
	case policy.EffectNone:
		action = "changed nothing"
	}
	span := ""
	if e.Start != 0 {
		span += " from " + formatTime(e.Start)
	}
	if e.End != 0 {
		span += " until " + formatTime(e.End)
	}
	s := fmt.Sprintf("%s %s%s (exception %s) and gave as reason: “%s”", e.Author, action, span, e.ID, e.Reason)
	if e.Withdrawn != "" {
		s += " Then " + e.Withdrawn
	}
	return s
}

// moveResultSentence describes how a version move ended.
func moveResultSentence(e *policy.Exception) string {
	if e.Move.Done {
		return fmt.Sprintf("Move %s was done: %s.", e.ID, e.Move.Evidence)
	}
	return fmt.Sprintf("Move %s was taken back for good: %s.", e.ID, e.Move.Evidence)
}

// requestSentences describes the attempts of one request in chronological order.
func requestSentences(replies []reply, cfg *policy.Config) []string {
	var out []string
	for _, d := range mergeDecisions(replies) {
		destination := "no server"
		if d.Target != "" {
			destination = fmt.Sprintf("server %s in data centre %s, which runs version %s,", d.Target, d.Centre, d.Version)
		}
		s := fmt.Sprintf("At %s the request to service %s (route %s) was given to %s because %s",
			formatTime(d.At), d.Service, d.Route, destination, reasonClause(d.Reason))
		switch d.Outcome {
		case call.OutcomeAnswered:
			s += "; it was answered."
		case call.OutcomeNotRun:
			s = fmt.Sprintf("At %s the request to service %s (route %s) was refused because %s; it was not run.",
				formatTime(d.At), d.Service, d.Route, reasonClause(d.Reason))
		case call.OutcomeUnknown:
			s += "; it is not known whether it was run."
		}
		out = append(out, s)
		if e, ok := cfg.CentreOutException(d.Centre, d.At); ok && d.Reason == call.ReasonCentreOut {
			out = append(out, exceptionSentence(&e))
		}
	}
	if len(out) == 0 {
		return []string{"No daemon that answered remembers this request. Daemons remember only their most recent requests."}
	}
	return out
}
