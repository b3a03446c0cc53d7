// Package applog talks to the platform's append-only log service.
package applog

import (
	"context"

	"github.com/pkg/errors"
)

// Kind says what a record carries.
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

// Record is one entry of the log. ID makes an append idempotent: the fold
// ignores a second record with the same id.
type Record struct {
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// BaseRevision is the revision that the change was made against.
	BaseRevision int64 `json:"base"`
	// AtMS is the sender's wall clock in milliseconds; it orders nothing.
	AtMS   float64 `json:"at_ms"`
	Author string  `json:"author,omitempty"`
	Body   []byte  `json:"body"`
}

// Entry is a record at its offset.
type Entry struct {
	Offset int64  `json:"offset"`
	Record Record `json:"record"`
}

// Batch is the result of a read. First is the oldest offset still kept, Next
// the offset that the next append gets. Generation changes when the log began
// anew.
type Batch struct {
	Generation  string  `json:"generation"`
	FirstOffset int64   `json:"first"`
	NextOffset  int64   `json:"next"`
	Entries     []Entry `json:"entries"`
}

// Log is the platform's log. Implementations may be used concurrently.
type Log interface {
	// Append adds a record and returns its offset. An error that wraps
	// ErrUnknown means that the record may or may not have been added.
	Append(ctx context.Context, r Record) (int64, error)
	// Read returns at most limit entries from an offset on.
	Read(ctx context.Context, from int64, limit int) (Batch, error)
}

// Errors of the log service.
var (
	// ErrOutcomeUnknown says that an append may have taken effect.
	ErrOutcomeUnknown = errors.New("not known whether the append took effect")
	// ErrUnavailable says that the service was not reached; nothing happened.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrRefused says that the service rejected the request.
	ErrRefused = errors.New("log service refused the request")
)
