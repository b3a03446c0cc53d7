package feed

import (
	"fmt"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// offsetBits is the number of low bits of a Position that hold the offset, eraBits that of
// the bits above them that hold the era.
const (
	offsetBits = 40
	eraBits    = 22
)

// RestoreSettleTime is the time after which the operators have written again what a restore
// of the store has lost.
const RestoreSettleTime = 2 * clock.Second

// Position is the place of a record in a topic. Positions are ordered by era, then by
// offset. A store that was restored from a copy begins a new era, in which it gives out
// offsets again that it had given to records that are lost.
type Position int64

// NewPosition returns the position of an offset in an era. Of an era that is too large, the
// low bits count.
func NewPosition(era, offset int64) Position {
	return Position(era&(1<<eraBits-1)<<offsetBits | offset)
}

// Era returns the number of times that the store was restored.
func (p Position) Era() int64 {
	return int64(p) >> offsetBits
}

// Offset returns the offset, which is only comparable within an era.
func (p Position) Offset() int64 {
	return int64(p) & (1<<offsetBits - 1)
}

// String returns the era and the offset, separated by a slash.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Era(), p.Offset())
}
