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
	// defaultSpan is explained when the query names no time span.
	defaultSpan = 15 * clock.Minute
)

// explainer writes reports from what all daemons know.
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

// answer answers the query of another daemon.
func (e *explainer) answer(_ context.Context, w *wire.ReportQuery) (*wire.ReportAnswer, error) {
	var q report.Query
	if err := json.Unmarshal(w.GetQuery(), &q); err != nil {
		return nil, errors.Wrap(err, "decode query")
	}
	a := e.store.Answer(&q)
	b, err := json.Marshal(&a)
	return &wire.ReportAnswer{Answer: b}, errors.Wrap(err, "encode answer")
}

// record keeps a decision of the entry.
func (e *explainer) record(d entry.CallSummary) {
	r := report.Decision{
		ID: d.Request.ID, At: d.At, Service: d.Request.Service, Route: d.Request.Route,
		Reason: d.SelectionReason, Outcome: d.Outcome,
	}
	if d.Target != nil {
		r.Centre, r.Version, r.Target = d.Target.Centre, d.Target.Version, d.Target.ID
	}
	if d.Outcome != call.OutcomeAnswered {
		r.Reason = d.Reason
	}
	e.store.RecordDecision(r)
}

// ServeHTTP implements GET /v1/explain.
func (e *explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, err := e.query(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// Without a service, the report covers all of them.
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
	e.write(w, r, &rep)
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

func (e *explainer) query(r *http.Request) (report.Query, error) {
	now := e.daemon.clock.Now()
	q := report.Query{
		From: now - defaultSpan, To: now,
		Service: r.FormValue("service"), Centre: r.FormValue("centre"),
		Move: r.FormValue("move"), Request: r.FormValue("request"),
	}
	for key, field := range map[string]*clock.Milli{"from_ms": &q.From, "to_ms": &q.To} {
		text := r.FormValue(key)
		if text == "" {
			continue
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return q, errors.Errorf("%s is %q, allowed is milliseconds since 1970", key, text)
		}
		*field = clock.Milli(v)
	}
	return q, q.Validate()
}

func (e *explainer) write(w http.ResponseWriter, r *http.Request, rep *report.Report) {
	var text, kind string
	var err error
	switch r.FormValue("format") {
	case "json":
		kind = "application/json"
		text, err = rep.JSON()
	case "toml":
		kind = "application/toml"
		text, err = rep.TOML()
	default:
		kind = "text/plain; charset=utf-8"
		text = rep.Text()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", kind)
	_, _ = w.Write([]byte(text))
}
