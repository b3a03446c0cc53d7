package watch

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// NoticeInterval is the longest time between the notices of a watcher or relay.
	NoticeInterval = 800 * clock.Millisecond
	// ReadInterval is the time between the answers of the store to all watchers together
	// while it has nothing new.
	ReadInterval = 1100 * clock.Millisecond
	// SilentAfter is the age of the last known answer of the store from which daemons read
	// it themselves. It leaves time for the turns and the answer before a directive must be
	// in force.
	SilentAfter = 1450 * clock.Millisecond
	// turnDelay is the time after which twice as many daemons read the store. An answer to
	// one of them stops the others.
	turnDelay = 50 * clock.Millisecond
	// minReadRetry and readRetryPerDaemon give the time until a daemon reads again after
	// its first read without an answer. It doubles with each further one.
	minReadRetry       = clock.Second
	readRetryPerDaemon = 20 * clock.Millisecond
)

// Contact decides when a daemon reads the store itself, because no recent answer of the store
// to any daemon is known. The store may answer only some daemons, and no daemon knows which.
// So all read it in turn, the watchers first, then twice as many after each turnDelay. The
// zero value is ready for use.
type Contact struct {
	// answeredAt is the time of the last known answer, reads the number of reads since it
	// was known, lastReadAt the time of the last one.
	answeredAt clock.Milli
	reads      int
	lastReadAt clock.Milli
}

// NextRead returns when the daemon with this turn has to read the store, if no later answer
// than the one at answeredAt becomes known. Another answer than before makes its next read the
// first one.
func (c *Contact) NextRead(answeredAt clock.Milli, turn, fleet int) clock.Milli {
	if answeredAt != c.answeredAt {
		c.answeredAt, c.reads = answeredAt, 0
	}
	if c.reads == 0 {
		return answeredAt + SilentAfter + turnDelay*clock.Milli(bits.Len(uint(turn+1))-1)
	}
	retry := max(minReadRetry, readRetryPerDaemon*clock.Milli(fleet))
	return c.lastReadAt + retry*clock.Milli(uint(1)<<min(c.reads-1, maxRetryDoublings))
}

// maxRetryDoublings limits the growth of the time between reads without an answer.
const maxRetryDoublings = 4

// RecordRead records that the daemon reads the store.
func (c *Contact) RecordRead(now clock.Milli) {
	c.reads++
	c.lastReadAt = now
}

// Turn returns the turn of a daemon in a fleet: that of a watcher is its index, the others
// are spread over the rest by a hash.
func (d *Duties) Turn(id string, fleet int) int {
	for i, w := range d.Watchers {
		if w == id {
			return i
		}
	}
	others := max(1, fleet-len(d.Watchers))
	return len(d.Watchers) + int(xxhash.Sum64String("read\x00"+id)%uint64(others))
}

// Answers holds when the store answers the reads of watchers at the latest, by the id of the
// watcher.
type Answers map[string]clock.Milli

// ReadWait returns how long the next read of a watcher waits, so that the store answers one
// watcher after the other, ReadInterval apart. Watchers whose next answer is not known start
// reads at the same time and take their places in order of their ids.
func (a Answers) ReadWait(now clock.Milli, d *Duties, self string) clock.Milli {
	last, before := now, 0
	for _, id := range d.Watchers {
		at, known := a[id]
		switch {
		case id == self:
		case known && at > now:
			last = max(last, at)
		case id < self:
			before++
		}
	}
	longest := ReadInterval * clock.Milli(len(d.Watchers)+1)
	return min(longest, last-now+ReadInterval*clock.Milli(before+1))
}
