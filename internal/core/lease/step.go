package lease

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
)

//go:generate ../../../bin/stringer -type Action -linecomment -output action_string.go

// Action is a call to the store.
type Action uint8

// The actions.
const (
	ActionNone   Action = iota // none
	ActionLoad                 // load
	ActionRead                 // read
	ActionAppend               // append
)

// Step is the next call to the store.
type Step struct {
	Action Action
	// At is the position of a read or an append.
	At   feed.Position
	Item feed.Item
	// Wait is how long a read waits for records.
	Wait clock.Milli
}

// Situation is the state of this daemon that the decision depends on.
type Situation struct {
	// Rank is the position of this daemon among the candidates, negative if it is none.
	Rank int
	// Stopping is set during a planned stop.
	Stopping bool
	// TrueTime is the best estimate of the true time.
	TrueTime clock.Milli
}

// Next returns the next call to the store. Each call ends with Loaded, Read, Appended or Failed.
func (c *Core) Next(now clock.Milli, s Situation) Step {
	switch {
	case now < c.retryAt || c.pending == nil && c.end < 0 && s.Rank < 0:
		return Step{}
	case c.end < 0:
		return Step{Action: ActionLoad}
	}
	if c.pending == nil {
		c.pending = c.nextAppend(now, s)
	}
	switch {
	case c.pending != nil && !c.doubtful:
		return Step{Action: ActionAppend, At: c.end, Item: *c.pending}
	case c.pending != nil, c.Held() && c.confirm:
		return Step{Action: ActionRead, At: c.end}
	case c.Held() || s.Rank < 0 || s.Stopping:
		return Step{}
	}
	wait := c.changedAt + c.takeoverAfter(s.Rank) - now
	return Step{Action: ActionRead, At: c.end, Wait: max(0, min(wait, maxReadShare*c.timing.Takeover))}
}

// nextAppend returns the item to append, nil if none is due.
func (c *Core) nextAppend(now clock.Milli, s Situation) *feed.Item {
	switch {
	case c.Held() && s.Stopping:
		r := c.record
		r.Released = true
		return leaseItem(r)
	case c.Held() && len(c.proposals) > 0:
		item := c.proposals[0]
		c.proposals = c.proposals[1:]
		return &item
	case c.Held() && now-c.writtenAt >= c.timing.Renew:
		return leaseItem(c.record)
	case !c.Held() && s.Rank >= 0 && !s.Stopping && c.isVacant(s.Rank):
		return leaseItem(c.takeover(s.TrueTime))
	}
	return nil
}

// isVacant reports whether this daemon may take over.
func (c *Core) isVacant(rank int) bool {
	switch {
	case c.record.Holder == "" || c.record.Released:
		return rank == 0 || c.isUnchanged(rank)
	case c.record.Holder == c.self:
		// The lease was lost by a restore of the store.
		return true
	default:
		return c.isUnchanged(rank)
	}
}

// isUnchanged reports whether the log did not change for so long that its holder has failed.
func (c *Core) isUnchanged(rank int) bool {
	return c.confirmedAt-c.changedAt >= c.takeoverAfter(rank)
}

// takeoverAfter is how long the log stays unchanged before a candidate takes over. Later
// candidates leave time to earlier ones.
func (c *Core) takeoverAfter(rank int) clock.Milli {
	return c.timing.Takeover + clock.Milli(rank)*rankDelayShare*c.timing.Lease
}

// takeover returns the lease record with which this daemon takes over.
func (c *Core) takeover(trueTime clock.Milli) Record {
	r := Record{
		Holder: c.self, Token: max(c.record.Token+1, c.highestToken+1, int64(trueTime)),
		Era: c.end.Era(), Since: c.record.Since,
	}
	if c.record.Era != r.Era {
		r.Since = trueTime
	}
	return r
}

func leaseItem(r Record) *feed.Item {
	return &feed.Item{Key: recordKey, Value: encode(r)}
}
