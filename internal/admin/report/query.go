package report

import (
	"context"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// Query selects what a report explains. Empty filters match everything.
type Query struct {
	From    clock.Milli `json:"from_ms"`
	To      clock.Milli `json:"to_ms"`
	Service string      `json:"service,omitempty"`
	Centre  string      `json:"centre,omitempty"`
	// Move is the id of the exception that defines a move. It filters
	// exceptions and events; counters are not recorded by move.
	Move string `json:"move,omitempty"`
	// Request is the hexadecimal id of a request. If it is set, the
	// report covers only this request.
	Request string `json:"request,omitempty"`
}

// ErrInvalidQuery is returned for a malformed request id or an empty time span.
var ErrInvalidQuery = errors.New("invalid query")

// Validate returns an ErrInvalidQuery unless the query has a valid request id
// or a time span that ends after its start.
func (q *Query) Validate() error {
	if q.Request != "" {
		if _, err := call.ParseID(q.Request); err != nil {
			return errors.Wrap(ErrInvalidQuery, err.Error())
		}
		return nil
	}
	if q.To <= q.From {
		return errors.Wrapf(ErrInvalidQuery, "time span ends at %.0f ms, not after its start at %.0f ms", float64(q.To), float64(q.From))
	}
	return nil
}

// overlapsMinute reports whether a minute since the Unix epoch overlaps the
// time span of the query.
func (q *Query) overlapsMinute(minute int64) bool {
	at := clock.Milli(minute) * clock.Minute
	return at+clock.Minute > q.From && at < q.To
}

func (q *Query) matchesCounter(k *CounterKey) bool {
	return q.Request == "" && q.overlapsMinute(k.Minute) &&
		(q.Service == "" || k.Service == q.Service) &&
		(q.Centre == "" || k.Centre == q.Centre)
}

func (q *Query) matchesEvent(e *Event) bool {
	return q.Request == "" && e.At >= q.From && e.At < q.To && (q.Move == "" || e.Move == q.Move)
}

// Answer holds the records of one daemon that match a query.
type Answer struct {
	// CompleteSince is the time from which the daemon's counters are complete.
	CompleteSince clock.Milli `json:"since_ms"`
	// Uncounted is the number of decisions that were not counted because the
	// daemon had reached its maximum number of counters.
	Uncounted int64      `json:"uncounted,omitempty"`
	Counters  []Counter  `json:"counters,omitempty"`
	Decisions []Decision `json:"decisions,omitempty"`
	Events    []Event    `json:"events,omitempty"`
}

// Source is a daemon that answers queries.
type Source interface {
	// Name returns the daemon's member id.
	Name() string
	// Query returns the daemon's answer, or an error if the daemon could not
	// be reached or did not answer.
	Query(ctx context.Context, q *Query) (Answer, error)
}
