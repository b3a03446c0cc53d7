// Package memory bounds the bytes that callers and other daemons make a daemon hold. It
// decides who gets room and which accounts give theirs back.
package memory

import (
	"cmp"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

//go:generate ../../../bin/stringer -type Cause -linecomment -output cause_string.go

// Cause is what bytes are held for.
type Cause int

// Causes of held bytes.
const (
	// Connection is the fixed cost of a caller's connection.
	Connection Cause = iota // connection
	// Call is the fixed cost of a call with its head.
	Call // call
	// Body is for request bodies and for the windows through which they arrive.
	Body // body
	// Response is for responses that their receiver has not taken.
	Response // response
	// NumCauses is the number of causes.
	NumCauses
)

const (
	// bulkShare is the share of the limit up to which bodies and responses get room. The
	// rest is for connections and short calls of other callers.
	bulkShare = 7.0 / 8
	// addressShare is the share of the limit that bodies and responses of one address get.
	// An address can only reach it when the room is nearly taken.
	addressShare = 3.0 / 4
	// minRate is the rate in bytes a second below which a caller makes no progress: a
	// body of 512 KiB would take over half a minute.
	minRate = 16 << 10
	// stallGrace is how long an account may lag behind minRate before it may be closed. It
	// is longer than the retransmission of a lost packet takes.
	stallGrace = clock.Second
)

// Account is what one holder, such as a connection or a call, holds. Its methods and those
// of its budget must not be called concurrently.
type Account struct {
	// Address identifies the caller or the daemon on whose behalf bytes are held.
	Address string
	held    [NumCauses]int64
	total   int64
	// progressAt lags behind the present by the time for which the holder was slower
	// than minRate. While the remote side need not act, lag has that time.
	progressAt clock.Milli
	lag        clock.Milli
	// awaitsRemote is set while the remote side, a caller or an entry, has to act. Only then
	// may the account be closed.
	awaitsRemote bool
	closing      bool
}

// Held returns the bytes that the account holds.
func (a *Account) Held() int64 {
	return a.total
}

// StalledFor returns how long the holder has made no progress.
func (a *Account) StalledFor(now clock.Milli) clock.Milli {
	return now - a.progressAt
}

// AwaitsRemote reports whether the remote side has to act.
func (a *Account) AwaitsRemote() bool {
	return a.awaitsRemote
}

// SetAwaitsRemote says whether the remote side has to act from now on. The time for which it
// does not have to does not count as a lack of progress.
func (a *Account) SetAwaitsRemote(now clock.Milli, awaitsRemote bool) {
	switch {
	case awaitsRemote && !a.awaitsRemote:
		a.progressAt = now - a.lag
	case !awaitsRemote && a.awaitsRemote:
		a.lag = now - a.progressAt
	}
	a.awaitsRemote = awaitsRemote
}

// Expect says that the remote side now has to send or take n bytes, which takes it some time
// at minRate.
func (a *Account) Expect(now clock.Milli, n int) {
	a.awaitsRemote, a.lag = true, 0
	a.progressAt = now + clock.Milli(n)*clock.Second/minRate
}

// Progress records that the remote side sent or took n bytes.
func (a *Account) Progress(now clock.Milli, n int) {
	a.progressAt = min(now, a.progressAt+clock.Milli(n)*clock.Second/minRate)
}

// Budget is the bound on the bytes of all accounts. Create it with New.
type Budget struct {
	limit     int64
	used      int64
	closing   int64
	byCause   [NumCauses]int64
	byAddress map[string]int64
	accounts  map[*Account]struct{}
}

// New returns a budget of limit bytes, without a bound if limit is zero.
func New(limit int64) *Budget {
	return &Budget{limit: limit, byAddress: make(map[string]int64), accounts: make(map[*Account]struct{})}
}

// Limit returns the bound in bytes, zero if there is none.
func (b *Budget) Limit() int64 {
	return b.limit
}

// Used returns the bytes that all accounts hold.
func (b *Budget) Used() int64 {
	return b.used
}

// UsedFor returns the bytes that are held for a cause.
func (b *Budget) UsedFor(c Cause) int64 {
	return b.byCause[c]
}

// Open returns a new account of an address.
func (b *Budget) Open(now clock.Milli, address string) *Account {
	a := &Account{Address: address, progressAt: now}
	b.accounts[a] = struct{}{}
	return a
}

// Close gives back all that the account holds and ends it.
func (b *Budget) Close(a *Account) {
	if _, ok := b.accounts[a]; !ok {
		return
	}
	for c := range NumCauses {
		b.Give(a, c, a.held[c])
	}
	delete(b.accounts, a)
}

// Take charges n bytes to the account if there is room for them, and reports whether there
// was. A closed account, or one that is to be closed, gets none.
func (b *Budget) Take(a *Account, c Cause, n int64) bool {
	if _, ok := b.accounts[a]; !ok || a.closing || b.missing(a, c, n) > 0 {
		return false
	}
	b.add(a, c, n)
	return true
}

// Give returns n bytes of the account, at most those that it holds for the cause.
func (b *Budget) Give(a *Account, c Cause, n int64) {
	n = max(0, min(n, a.held[c]))
	b.add(a, c, -n)
	if a.closing {
		b.closing -= n
	}
}

func (b *Budget) add(a *Account, c Cause, n int64) {
	a.held[c] += n
	a.total += n
	b.used += n
	b.byCause[c] += n
	b.byAddress[a.Address] += n
	if b.byAddress[a.Address] == 0 {
		delete(b.byAddress, a.Address)
	}
}

// missing returns how many bytes must be given back before the account gets n.
func (b *Budget) missing(a *Account, c Cause, n int64) int64 {
	if b.limit == 0 || n <= 0 {
		return 0
	}
	if c != Body && c != Response {
		return b.used + n - b.limit
	}
	return max(b.used+n-int64(bulkShare*float64(b.limit)), b.missingOfAddress(a, n))
}

func (b *Budget) missingOfAddress(a *Account, n int64) int64 {
	return b.byAddress[a.Address] + n - int64(addressShare*float64(b.limit))
}

// IsConfined reports whether the account's address has its share, so that only bytes that the
// address gives back are room for n more.
func (b *Budget) IsConfined(a *Account, c Cause, n int64) bool {
	return (c == Body || c == Response) && b.missingOfAddress(a, n) > 0
}

// Reclaim marks accounts to be closed, so that an account that got no room for n bytes gets
// it besides others that wait for some more: those that hold most for longest without progress
// first. If the account's address has its whole share, it returns accounts of that address only.
func (b *Budget) Reclaim(now clock.Milli, a *Account, c Cause, n, others int64) []*Account {
	missing := b.missing(a, c, n) - b.closing
	bulk := c == Body || c == Response
	ownOnly := b.IsConfined(a, c, n)
	if !ownOnly {
		missing += others
	}
	if missing <= 0 {
		return nil
	}
	var closed []*Account
	for _, v := range b.stalled(now, a, bulk, ownOnly) {
		v.closing = true
		b.closing += v.total
		missing -= v.total
		closed = append(closed, v)
		if missing <= 0 {
			break
		}
	}
	return closed
}

// stalled returns the accounts that may be closed for a, in the order in which they are.
func (b *Budget) stalled(now clock.Milli, a *Account, bulk, ownOnly bool) []*Account {
	var stalled []*Account
	for v := range b.accounts {
		if v == a || !v.awaitsRemote || v.closing || v.total == 0 || v.StalledFor(now) < stallGrace {
			continue
		}
		if bulk && v.held[Body]+v.held[Response] == 0 {
			// Idle connections are not closed for bodies.
			continue
		}
		if !ownOnly || v.Address == a.Address {
			stalled = append(stalled, v)
		}
	}
	slices.SortFunc(stalled, func(x, y *Account) int {
		return cmp.Compare(y.weight(now), x.weight(now))
	})
	return stalled
}

// weight is the bytes that the account holds times the time without progress.
func (a *Account) weight(now clock.Milli) float64 {
	return float64(a.total) * float64(a.StalledFor(now))
}
