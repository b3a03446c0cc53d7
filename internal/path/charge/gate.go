// Package charge charges what callers and other daemons make a daemon hold to one budget. It
// waits for room and closes the accounts that the budget names.
package charge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/memory"
)

// Fixed costs in bytes, with the stacks of their goroutines.
const (
	// ConnectionBytes is the cost of a caller's connection.
	ConnectionBytes = 24 << 10
	// CallBytes is the cost of a call besides its head and its body.
	CallBytes = 16 << 10
	// ExchangeBytes is the cost of a call at the upstream: its connection, a chunk of the
	// response and the frame with it.
	ExchangeBytes = 80 << 10
	// WindowBytes is what a stream between daemons receives before it is read, 256 KiB in a
	// buffer that grows by doubling, with the chunk in hand.
	WindowBytes = 544 << 10
)

const (
	// roomWait is how long a call waits for room: time for accounts that are closed to end,
	// and short against the deadlines of callers.
	roomWait = 500 * clock.Millisecond
	// responseWait is the same for a response, whose request has run.
	responseWait = 2 * clock.Second
	// maxWaitingResponses is the share of the limit that responses may wait for. The start
	// of such a response arrives whether there is room or not.
	maxWaitingResponses = 1.0 / 16
	// reclaimInterval is how often a waiter looks for accounts that have stalled meanwhile.
	reclaimInterval = 100 * clock.Millisecond
	// reclaimPause is the time between two searches, so that a crowd of waiters does not
	// take the processor.
	reclaimPause = 20 * clock.Millisecond
)

// Gate is the budget of a daemon. It is safe for concurrent use.
type Gate struct {
	clock clock.Clock
	log   zerolog.Logger

	mu      sync.Mutex
	budget  *memory.Budget
	closers map[*memory.Account]func()
	waiters []*waiter
	counts  [memory.NumCauses]Counts
	// reclaimedAt is when accounts were last searched.
	reclaimedAt clock.Milli
}

// Counts are totals of one cause since the start.
type Counts struct {
	// Refused counts charges that found no room, Closed the accounts that were closed to
	// make room for the cause.
	Refused, Closed int64
}

// Usage is what is held for one cause, with its totals.
type Usage struct {
	Bytes int64
	Counts
}

// waiter waits until its bytes are charged.
type waiter struct {
	account *memory.Account
	cause   memory.Cause
	bytes   int64
	// granted is closed when the bytes are charged.
	granted chan struct{}
	// refused is set if the bytes must not wait.
	refused bool
}

// New returns a gate with a bound of limit bytes, none if limit is zero.
func New(limit int64, clk clock.Clock, log zerolog.Logger) *Gate {
	return &Gate{clock: clk, log: log, budget: memory.New(limit), closers: make(map[*memory.Account]func())}
}

// Limit returns the bound in bytes, zero if there is none.
func (g *Gate) Limit() int64 {
	return g.budget.Limit()
}

// Used returns the bytes that are held.
func (g *Gate) Used() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Used()
}

// Usage returns what is held for a cause.
func (g *Gate) Usage(c memory.Cause) Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{Bytes: g.budget.UsedFor(c), Counts: g.counts[c]}
}

// Open opens an account of an address. The function end is called, once and without the lock
// of the gate, when the account must give its bytes back.
func (g *Gate) Open(address string, end func()) *Account {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := &Account{gate: g, core: g.budget.Open(g.clock.Now(), address)}
	g.closers[a.core] = func() {
		a.ended = true
		go end()
	}
	return a
}

// take charges bytes, or returns a waiter for them after it has closed what may be closed.
func (g *Gate) take(a *memory.Account, c memory.Cause, n int64) *waiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A body does not overtake those that wait, such as a larger response.
	if (c != memory.Body || !slices.ContainsFunc(g.waiters, g.holdsBodies)) && g.budget.Take(a, c, n) {
		return nil
	}
	g.reclaim(a, c, n, g.waitingFor(c))
	w := &waiter{account: a, cause: c, bytes: n, granted: make(chan struct{})}
	if c == memory.Response && float64(g.waitingFor(c)+n) > maxWaitingResponses*float64(g.budget.Limit()) {
		g.counts[c].Refused++
		w.refused = true
		return w
	}
	g.waiters = append(g.waiters, w)
	return w
}

// waitingFor returns the bytes that wait for a cause. The caller holds the lock.
func (g *Gate) waitingFor(c memory.Cause) int64 {
	var n int64
	for _, w := range g.waiters {
		if w.cause == c {
			n += w.bytes
		}
	}
	return n
}

// reclaim closes accounts to make room for n bytes and for what others wait for. The caller
// holds the lock.
func (g *Gate) reclaim(a *memory.Account, c memory.Cause, n, others int64) {
	now := g.clock.Now()
	if now-g.reclaimedAt < reclaimPause {
		return
	}
	g.reclaimedAt = now
	for _, v := range g.budget.Reclaim(now, a, c, n, others) {
		g.counts[c].Closed++
		g.log.Info().Str("caller", v.Address).Int64("bytes", v.Held()).Float64("stalled_ms", float64(v.StalledFor(now))).
			Str("reason", "no_progress").Str("room_for", c.String()).Msg("caller_closed")
		g.closers[v]()
	}
}

// await waits until the bytes of w are charged, ctx ends or the time for a wait has passed.
func (g *Gate) await(ctx context.Context, w *waiter) bool {
	wait := roomWait
	if w.cause == memory.Response {
		wait = responseWait
	}
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	ticker := time.NewTicker(reclaimInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-w.granted:
			return true
		case <-ticker.C:
			g.reclaimFor(w)
			continue
		case <-ctx.Done():
		case <-timer.C:
		}
		return g.leave(w)
	}
}

// reclaimFor closes accounts that have stalled since w waits.
func (g *Gate) reclaimFor(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grant()
	if slices.Contains(g.waiters, w) {
		g.reclaim(w.account, w.cause, w.bytes, g.waitingFor(w.cause)-w.bytes)
	}
}

// leave ends the wait of w and reports whether its bytes were charged after all.
func (g *Gate) leave(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.waiters, w)
	if i < 0 {
		return true
	}
	g.waiters = slices.Delete(g.waiters, i, i+1)
	g.counts[w.cause].Refused++
	g.grant()
	return false
}

// tryTake charges bytes if there is room at once.
func (g *Gate) tryTake(a *memory.Account, c memory.Cause, n int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.budget.Take(a, c, n) {
		return true
	}
	g.counts[c].Refused++
	g.reclaim(a, c, n, g.waitingFor(c))
	return false
}

// grant charges the bytes of the waiters that now have room, in the order in which they
// came. Bodies come last, so that their small blocks don't take the room of a response. The
// caller holds the lock.
func (g *Gate) grant() {
	g.grantIf(func(c memory.Cause) bool { return c != memory.Body })
	if !slices.ContainsFunc(g.waiters, func(w *waiter) bool { return w.cause == memory.Response && g.holdsBodies(w) }) {
		g.grantIf(func(c memory.Cause) bool { return c == memory.Body })
	}
}

// holdsBodies reports whether bodies that came later wait behind w. They do not if w waits for
// its own address only. The caller holds the lock.
func (g *Gate) holdsBodies(w *waiter) bool {
	return !g.budget.IsConfined(w.account, w.cause, w.bytes)
}

// grantIf is grant for the waiters of some causes.
func (g *Gate) grantIf(matches func(memory.Cause) bool) {
	g.waiters = slices.DeleteFunc(g.waiters, func(w *waiter) bool {
		if !matches(w.cause) || !g.budget.Take(w.account, w.cause, w.bytes) {
			return false
		}
		close(w.granted)
		return true
	})
}
