package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/auth"
	"gitlab.com/cranberrytack/cranberrytack/internal/admin/report"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/entry"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	explainTimeout = 3 * clock.Second
	// defaultReportSpan is the time span of a report, up to now, if the query
	// sets none.
	defaultReportSpan = 15 * clock.Minute
)

// explainer serves reports that combine the records of all daemons.
type explainer struct {
	daemon *Daemon
	store  *report.Store
}

// Name implements report.Source.
func (e *explainer) Name() string { return e.daemon.self.ID }

// Query implements report.Source.
func (e *explainer) Query(_ context.Context, q *report.Query) (report.Answer, error) {
	return e.store.Answer(q), nil
}

// handleQuery answers a query of another daemon from the local records.
func (e *explainer) handleQuery(_ context.Context, w *wire.ReportQuery) (*wire.ReportAnswer, error) {
	var q report.Query
	if err := json.Unmarshal(w.GetQuery(), &q); err != nil {
		return nil, errors.Wrap(err, "decode query")
	}
	a := e.store.Answer(&q)
	b, err := json.Marshal(&a)
	return &wire.ReportAnswer{Answer: b}, errors.Wrap(err, "encode answer")
}

// recordDecision stores the decision on a call that the entry finished.
func (e *explainer) recordDecision(summary entry.CallSummary) {
	r := report.Decision{
		ID: summary.Request.ID, At: summary.At, Service: summary.Request.Service, Route: summary.Request.Route,
		Reason: summary.SelectionReason, Outcome: summary.Outcome,
	}
	if summary.Target != nil {
		r.Centre, r.Version, r.Target = summary.Target.Centre, summary.Target.Version, summary.Target.ID
	}
	if summary.Outcome != call.OutcomeAnswered {
		r.Reason = summary.Reason
	}
	e.store.RecordDecision(r)
}

// ServeHTTP implements GET /v1/explain.
func (e *explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, err := e.parseQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// A report without a service covers all services.
	if team := auth.IdentityFrom(r.Context()).Team; !team.Owns(q.Service) {
		http.Error(w, "the token's team does not own service "+strconv.Quote(q.Service), http.StatusForbidden)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout.Duration())
	defer cancel()
	rep, err := report.Explain(ctx, e.daemon.conf.Config(), q, e.sources())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.writeReport(w, r, &rep)
}

func (e *explainer) sources() []report.Source {
	out := []report.Source{e}
	for _, t := range e.daemon.fleet.Members() {
		if t.ID != e.daemon.self.ID {
			out = append(out, peer{control: e.daemon.control(), id: t.ID})
		}
	}
	return out
}

func (e *explainer) parseQuery(r *http.Request) (report.Query, error) {
	now := e.daemon.clock.Now()
	q := report.Query{
		From: now - defaultReportSpan, To: now,
		Service: r.FormValue("service"), Centre: r.FormValue("centre"),
		Move: r.FormValue("move"), Request: r.FormValue("request"),
	}
	for key, field := range map[string]*clock.Milli{"from_ms": &q.From, "to_ms": &q.To} {
		value := r.FormValue(key)
		if value == "" {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return q, errors.Errorf("%s is %q, want milliseconds since the Unix epoch", key, value)
		}
		*field = clock.Milli(v)
	}
	return q, q.Validate()
}

func (e *explainer) writeReport(w http.ResponseWriter, r *http.Request, rep *report.Report) {
	var body, contentType string
	var err error
	switch r.FormValue("format") {
	case "json":
		contentType = "application/json"
		body, err = rep.JSON()
	case "toml":
		contentType = "application/toml"
		body, err = rep.TOML()
	default:
		contentType = "text/plain; charset=utf-8"
		body = rep.Text()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write([]byte(body))
}
