package report

import (
	"context"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// Query says what to explain. Empty fields match everything.
type Query struct {
	From    clock.Milli `json:"from_ms"`
	To      clock.Milli `json:"to_ms"`
	Service string      `json:"service,omitempty"`
	Centre  string      `json:"centre,omitempty"`
	// Move is the id of an exception.
	Move string `json:"move,omitempty"`
	// Request is the hexadecimal id of a request.
	Request string `json:"request,omitempty"`
}

// ErrQuery says that a query cannot be answered.
var ErrQuery = errors.New("invalid query")

// Validate reports whether the query makes sense.
func (q *Query) Validate() error {
	if q.Request != "" {
		if _, err := call.ParseID(q.Request); err != nil {
			return errors.Wrap(ErrQuery, err.Error())
		}
		return nil
	}
	if q.To <= q.From {
		return errors.Wrapf(ErrQuery, "time span ends at %.0f ms, not after its start at %.0f ms", float64(q.To), float64(q.From))
	}
	return nil
}

func (q *Query) covers(minute int64) bool {
	at := clock.Milli(minute) * clock.Minute
	return at+clock.Minute > q.From && at < q.To
}

func (q *Query) wantsCounter(k *Key) bool {
	return q.Request == "" && q.covers(k.Minute) &&
		(q.Service == "" || k.Service == q.Service) &&
		(q.Centre == "" || k.Centre == q.Centre)
}

func (q *Query) wantsEvent(e *Event) bool {
	return q.Request == "" && e.At >= q.From && e.At < q.To && (q.Move == "" || e.Move == q.Move)
}

// Answer is what one daemon knows about a query.
type Answer struct {
	// Since is the time from which the daemon's counters are complete.
	Since clock.Milli `json:"since_ms"`
	// Uncounted is the number of decisions that found no counter.
	Uncounted int64      `json:"uncounted,omitempty"`
	Counters  []Counter  `json:"counters,omitempty"`
	Decisions []Decision `json:"decisions,omitempty"`
	Events    []Event    `json:"events,omitempty"`
}

// Source is a daemon that can be asked.
type Source interface {
	// Name is the daemon's member id.
	Name() string
	// Query returns the daemon's answer or why there is none.
	Query(ctx context.Context, q *Query) (Answer, error)
}
