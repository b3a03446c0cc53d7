// Package applog is a client of the platform's append-only log service.
package applog

import (
	"context"

	"github.com/pkg/errors"
)

// Kind identifies the content of a record's body.
type Kind string

// The kinds of records.
const (
	KindChange   Kind = "change"
	KindWithdraw Kind = "withdraw"
	KindAnnounce Kind = "announce"
	KindLeave    Kind = "leave"
	KindVerdict  Kind = "verdict"
	KindSnapshot Kind = "snapshot"
)

// Record is the content of a log entry. ID makes an append idempotent: readers of
// the log ignore a second record with the same id.
type Record struct {
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// BaseRevision is the revision that the change was made against.
	BaseRevision int64 `json:"base"`
	// AtMS is the sender's wall clock in milliseconds since the Unix epoch. It is
	// informative only; records are ordered by offset.
	AtMS   float64 `json:"at_ms"`
	Author string  `json:"author,omitempty"`
	Body   []byte  `json:"body"`
}

// Entry is a record together with its offset in the log.
type Entry struct {
	Offset int64  `json:"offset"`
	Record Record `json:"record"`
}

// Batch is the result of a read. FirstOffset is the oldest offset still retained,
// NextOffset the offset that the next append receives. Generation changes when the
// log was recreated and its offsets began again.
type Batch struct {
	Generation  string  `json:"generation"`
	FirstOffset int64   `json:"first"`
	NextOffset  int64   `json:"next"`
	Entries     []Entry `json:"entries"`
}

// Log gives access to the platform's log. Implementations are safe for concurrent
// use.
type Log interface {
	// Append adds a record and returns its offset. An error that wraps
	// ErrOutcomeUnknown means that the record may or may not have been added.
	Append(ctx context.Context, r Record) (int64, error)
	// Read returns at most limit entries from an offset on. It fails with a
	// *GoneError if the offset is no longer retained.
	Read(ctx context.Context, from int64, limit int) (Batch, error)
}

// Errors of the log service.
var (
	// ErrOutcomeUnknown means that an append may have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the append unknown")
	// ErrUnavailable means that the service could not be reached or did not
	// execute the request.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrRefused means that the service rejected the request.
	ErrRefused = errors.New("log service refused the request")
)
