package charge

import (
	"context"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/memory"
)

// Account is what one connection or call holds. It is safe for concurrent use.
type Account struct {
	gate *Gate
	core *memory.Account
	// ended is set when the account must give its bytes back.
	ended bool
}

// Take charges n bytes. If there is no room, it waits for a while, and reports whether the
// bytes were charged. The wait does not count as a lack of progress.
func (a *Account) Take(ctx context.Context, c memory.Cause, n int64) bool {
	if a.Ended() {
		return false
	}
	w := a.gate.take(a.core, c, n)
	if w == nil || w.refused {
		return w == nil
	}
	awaited := a.setAwaitsRemote(false)
	ok := a.gate.await(ctx, w)
	a.setAwaitsRemote(awaited)
	return ok
}

// TryTake is Take without a wait.
func (a *Account) TryTake(c memory.Cause, n int64) bool {
	return a.gate.tryTake(a.core, c, n)
}

// Give gives n bytes back.
func (a *Account) Give(c memory.Cause, n int64) {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	a.gate.budget.Give(a.core, c, n)
	a.gate.grant()
}

// Progress records that the remote side sent or took n bytes.
func (a *Account) Progress(n int) {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	a.core.Progress(a.gate.clock.Now(), n)
}

// Expect says that the remote side now has to send or take n bytes.
func (a *Account) Expect(n int) {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	a.core.Expect(a.gate.clock.Now(), n)
}

// SetAwaitsRemote says whether the remote side has to act from now on. Only then may the
// account be closed to make room for others.
func (a *Account) SetAwaitsRemote(awaitsRemote bool) {
	a.setAwaitsRemote(awaitsRemote)
}

func (a *Account) setAwaitsRemote(awaitsRemote bool) (before bool) {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	before = a.core.AwaitsRemote()
	a.core.SetAwaitsRemote(a.gate.clock.Now(), awaitsRemote)
	return before
}

// Ended reports whether the account must give its bytes back.
func (a *Account) Ended() bool {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	return a.ended
}

// Close gives all bytes back.
func (a *Account) Close() {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	a.gate.budget.Close(a.core)
	delete(a.gate.closers, a.core)
	a.gate.grant()
}
