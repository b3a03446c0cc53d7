// Package feed follows topics of the platform's store. Records have keys, and the
// store retains the newest record of each key.
package feed

import (
	"context"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Item is a record of a topic. An item with Removed set deletes its key.
type Item struct {
	Key      string
	Value    []byte
	Position Position
	Removed  bool
}

// Batch is the result of a read. End is the position at which the next read
// continues.
type Batch struct {
	Items []Item
	End   Position
}

// Store is a client of the platform's store. Implementations are safe for
// concurrent use.
type Store interface {
	// Newest returns the newest item of each key.
	Newest(ctx context.Context, topic string) (Batch, error)
	// Read returns the items from a position on. If there are none, it waits for
	// the first one, at most for the duration wait. It fails with ErrRestored if
	// the store has begun a later era.
	Read(ctx context.Context, topic string, from Position, wait clock.Milli) (Batch, error)
	// Append adds an item and returns the position after it. If at is not negative,
	// it fails with ErrPositionMismatch unless the topic ends at that position.
	Append(ctx context.Context, topic string, item Item, at Position) (end Position, err error)
}

// AnyPosition as the argument at of Append skips the check of the topic's end.
const AnyPosition = -1

// The errors that a Store returns, possibly wrapped.
var (
	// ErrUnavailable means that the store did not execute the call.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that an append may have been executed, or may still
	// be executed later.
	ErrOutcomeUnknown = errors.New("outcome of the append unknown")
	// ErrGone means that the records at the requested position are no longer
	// retained.
	ErrGone = errors.New("records no longer retained by the store")
	// ErrRestored means that the store was restored from a copy, so that the requested
	// position is one of an earlier era.
	ErrRestored = errors.New("store was restored from a copy")
	// ErrPositionMismatch means that the topic does not end at the position given to
	// Append.
	ErrPositionMismatch = errors.New("topic does not end at the expected position")
	// ErrRefused means that the store rejected the call.
	ErrRefused = errors.New("call rejected by the store")
)
