package watch

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

const (
	// NoticeInterval is the time between the notices of a watcher or relay.
	NoticeInterval = 400 * clock.Millisecond
	// SilentAfter is the time without a notice after which a daemon reads the store
	// itself. The loss of all watchers at once shows by their links only after about the
	// time in which a directive must be in force.
	SilentAfter = clock.Second
	// silentReadInterval is the time between reads of a daemon that gets no notices.
	silentReadInterval = 700 * clock.Millisecond
	// silentReadJitter is the longest delay of the first of these reads. A daemon that
	// reads sends notices, so that most of the others need not read.
	silentReadJitter = 300 * clock.Millisecond
)

// Contact records when this daemon last had a notice from one that follows the store, and
// decides when it reads the store itself.
type Contact struct {
	heardAt clock.Milli
	nextAt  clock.Milli
}

// Hear records that a daemon followed the store at an instant.
func (c *Contact) Hear(at clock.Milli) {
	c.heardAt = max(c.heardAt, at)
}

// Silence returns the time since a daemon is known to have followed the store.
func (c *Contact) Silence(now clock.Milli) clock.Milli {
	return max(0, now-c.heardAt)
}

// ReadDue reports whether to read the store now. The random number is in [0, 1).
func (c *Contact) ReadDue(now clock.Milli, random float64) bool {
	if c.Silence(now) < SilentAfter {
		c.nextAt = 0
		return false
	}
	if c.nextAt == 0 {
		c.nextAt = now + clock.Milli(random)*silentReadJitter
	}
	if now < c.nextAt {
		return false
	}
	c.nextAt = now + silentReadInterval
	return true
}
