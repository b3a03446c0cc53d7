// Package feed follows topics of the platform's store, in which records have
// keys and the newest record of each key is kept.
package feed

import (
	"context"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Item is a record of a topic. An item that is removed takes its key back.
type Item struct {
	Key     string
	Value   []byte
	Offset  int64
	Removed bool
}

// Batch is a number of items and the offset that the next append gets.
type Batch struct {
	Items      []Item
	NextOffset int64
}

// Store is the platform's store. Implementations may be used concurrently.
type Store interface {
	// Newest returns the newest item of each key.
	Newest(ctx context.Context, topic string) (Batch, error)
	// Read returns the items from an offset on. It waits for the first one.
	Read(ctx context.Context, topic string, from int64, wait clock.Milli) (Batch, error)
	// Append adds an item. If at is not negative, the topic must end there.
	Append(ctx context.Context, topic string, item Item, at int64) (end int64, err error)
}

// AnyOffset lets an append follow whatever the topic holds.
const AnyOffset = -1

// Errors of a store.
var (
	// ErrUnavailable says that nothing was done.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown says that an append may have been done, or may be later.
	ErrOutcomeUnknown = errors.New("not known whether the append was done")
	// ErrGone says that the records from the offset on are no longer kept.
	ErrGone = errors.New("records no longer kept")
	// ErrOffsetMismatch says that the topic does not end at the expected offset.
	ErrOffsetMismatch = errors.New("topic ends elsewhere")
	// ErrRefused says that the store does not accept the call.
	ErrRefused = errors.New("call refused by the store")
)
