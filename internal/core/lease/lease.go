package lease

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
)

// retryDelay is the time between a failed call to the store and the next one.
const retryDelay = 200 * clock.Millisecond

const (
	// permitShare is the share of the lease within which a holder sends after a confirmation.
	permitShare = 1.0 / 2
	// rankDelayShare is the share of the lease by which each candidate takes over later than
	// the one before it.
	rankDelayShare = 1.0 / 3
	// maxReadShare is the share of the takeover time for which a read waits at most, so that
	// the log is seen to be unchanged in time.
	maxReadShare = 1.0 / 2
)

// Timing has the times of a lease.
type Timing struct {
	// Lease limits how soon the calls of two holders follow each other: a holder sends within
	// half of it after a confirmation, a new one only after the whole.
	Lease clock.Milli
	// Renew is the longest time between two appends of the holder.
	Renew clock.Milli
	// Takeover is how long the log stays unchanged before a candidate takes over.
	Takeover clock.Milli
}

// Core is the state of one duty at one daemon. It is not safe for concurrent use. Its
// instants are readings of a clock that advances during suspends.
type Core struct {
	self   string
	timing Timing

	// end is the known end of the log, negative before it was read. log has its records by key.
	end    feed.Position
	record Record
	log    map[string][]byte
	// pending is the item of an append that is not resolved. No other item is appended at
	// the same position.
	pending *feed.Item
	// doubtful is set while the outcome of an append of pending is unknown.
	doubtful bool
	// mismatched is set after an append that the store refused because of its position.
	mismatched bool
	// proposals are the items to append after pending.
	proposals []feed.Item
	// confirm is set while the holder needs a read to get a permit.
	confirm bool
	// confirmedAt is the start of the latest successful call, which showed that the log ends
	// at end.
	confirmedAt clock.Milli
	// changedAt is when a change of the log was last seen.
	changedAt clock.Milli
	// writtenAt is the start of the latest append.
	writtenAt clock.Milli
	// failed is set while the latest call failed. No further call is due before retryAt.
	failed  bool
	retryAt clock.Milli
	// sendAfter is when this daemon may first send with heldToken, the token of its latest
	// lease.
	sendAfter clock.Milli
	heldToken int64
	// highestToken is the highest token that this or another daemon has seen.
	highestToken int64
}

// New returns the state of a duty. The name self identifies the process; another process on
// the same machine needs another one.
func New(self string, t Timing) *Core {
	return &Core{self: self, timing: t, end: feed.PositionNone, log: make(map[string][]byte)}
}

// Held reports whether this daemon is the latest holder in the log.
func (c *Core) Held() bool {
	return c.end >= 0 && c.record.Holder == c.self && !c.record.Released && c.record.Era == c.end.Era()
}

// Record returns the latest lease record.
func (c *Core) Record() Record { return c.record }

// Permit is the permission to send to the platform.
type Permit struct {
	Token int64
	// Until is when the last call that it permits must have ended.
	Until clock.Milli
}

// Permit returns the permission to send, and whether there is one.
func (c *Core) Permit(now clock.Milli) (Permit, bool) {
	p := Permit{Token: c.record.Token, Until: c.confirmedAt + permitShare*c.timing.Lease}
	return p, c.Held() && now >= c.sendAfter && now < p.Until
}

// RequestPermit makes the holder confirm its lease if it has no permit.
func (c *Core) RequestPermit(now clock.Milli) {
	_, ok := c.Permit(now)
	c.confirm = !ok && now >= c.sendAfter
}

// Propose schedules the append of an entry while this daemon is the holder. Entry returns it
// once it is stored.
func (c *Core) Propose(key string, body []byte) {
	c.proposals = append(c.proposals, feed.Item{Key: key, Value: encode(entry{Era: c.end.Era(), Body: body})})
}

// Proposing reports whether entries wait to be appended.
func (c *Core) Proposing() bool {
	return c.pending != nil || len(c.proposals) > 0
}

// Entry returns the entry of a key in the current era, nil if there is none.
func (c *Core) Entry(key string) []byte {
	var e entry
	if err := json.Unmarshal(c.log[key], &e); err != nil || e.Era != c.end.Era() {
		return nil
	}
	return e.Body
}

// NoteToken records a token that another daemon has seen.
func (c *Core) NoteToken(token int64) {
	c.highestToken = max(c.highestToken, token)
}

// Loaded records the result of ActionLoad.
func (c *Core) Loaded(startedAt, now clock.Milli, b feed.Batch) {
	log := make(map[string][]byte, len(b.Items))
	for _, i := range b.Items {
		log[i.Key] = i.Value
	}
	// Whether a pending item is among lost records is unknown, so it is given up: its
	// writer decides again from the log.
	c.pending, c.proposals, c.doubtful = nil, nil, false
	c.log, c.end, c.changedAt = log, b.End, now
	c.recordCall(startedAt)
	c.applyLease(now)
}

// Read records the result of ActionRead.
func (c *Core) Read(startedAt, now clock.Milli, b feed.Batch) {
	if c.failed || len(b.Items) > 0 {
		c.changedAt = now
	}
	if len(b.Items) > 0 {
		// One of the items may be the pending one. Otherwise its writer decides again.
		c.pending, c.proposals = nil, nil
	}
	if c.mismatched && len(b.Items) == 0 {
		c.Failed(now, feed.ErrRestored)
		return
	}
	for _, i := range b.Items {
		c.log[i.Key] = i.Value
	}
	c.end, c.doubtful = b.End, false
	c.recordCall(startedAt)
	c.applyLease(now)
}

// Appended records the success of ActionAppend.
func (c *Core) Appended(startedAt, now clock.Milli, end feed.Position) {
	if end.Era() != c.end.Era() {
		c.Failed(now, feed.ErrRestored)
		return
	}
	c.log[c.pending.Key] = c.pending.Value
	c.pending, c.doubtful = nil, false
	c.end, c.changedAt, c.writtenAt = end, now, startedAt
	c.recordCall(startedAt)
	c.applyLease(now)
}

// Failed records the failure of a call.
func (c *Core) Failed(now clock.Milli, err error) {
	c.failed = true
	switch {
	case errors.Is(err, feed.ErrRestored), errors.Is(err, feed.ErrGone):
		c.end = feed.PositionNone
	case errors.Is(err, feed.ErrPositionMismatch):
		c.doubtful, c.mismatched = true, true
	default:
		c.doubtful = c.pending != nil
		c.retryAt = now + retryDelay
	}
}

func (c *Core) recordCall(startedAt clock.Milli) {
	c.failed, c.mismatched, c.confirm, c.retryAt = false, false, false, 0
	c.confirmedAt = startedAt
}

// applyLease applies the lease record in the log. A malformed one counts as none.
func (c *Core) applyLease(now clock.Milli) {
	var r Record
	if bytes.HasPrefix(c.log[recordKey], []byte("{")) && json.Unmarshal(c.log[recordKey], &r) == nil {
		c.record = r
	} else {
		c.record = Record{}
	}
	c.highestToken = max(c.highestToken, c.record.Token)
	if c.Held() && c.record.Token != c.heldToken {
		c.heldToken, c.sendAfter = c.record.Token, now+c.timing.Lease
	}
	if !c.Held() {
		c.proposals = nil
	}
}

// HighestToken returns the highest token that this or another daemon has seen.
func (c *Core) HighestToken() int64 { return c.highestToken }
