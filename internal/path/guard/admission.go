package guard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// run lets queued calls time out. It sleeps while none is queued.
func (g *Guard) run(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.queued:
		case <-t.C:
		}
		if g.tick() {
			t.Reset(tickInterval.Duration())
		}
	}
}

// tick reports whether calls still wait.
func (g *Guard) tick() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiting) == 0 {
		return false
	}
	g.deliver(g.admit.Tick(g.clock.Now()))
	return len(g.waiting) > 0
}

// wake starts the periodic work. The caller holds the lock.
func (g *Guard) wake() {
	if len(g.waiting) == 0 {
		return
	}
	select {
	case g.queued <- struct{}{}:
	default:
	}
}

// acquire asks for admission and waits while the call is queued. Duplicates
// never reach the admitter, which counts calls by their id.
func (g *Guard) acquire(ctx context.Context, r *call.Request) call.Reason {
	ch := make(chan admit.Decision, 1)
	g.mu.Lock()
	if _, dup := g.held[r.ID]; dup || !r.Repeatable && g.ledger.WasDispatched(r.ID) {
		g.mu.Unlock()
		return call.ReasonDuplicate
	}
	g.held[r.ID] = struct{}{}
	g.waiting[r.ID] = ch
	g.deliver(g.admit.Offer(g.clock.Now(), admit.Request{
		ID: r.ID, Class: r.Class, Deadline: r.Deadline, Priority: r.Priority, SoftDeadline: r.SoftDeadline, Route: r.Route,
		MayQueue: r.MayQueue,
	}))
	g.wake()
	g.mu.Unlock()
	select {
	case a := <-ch:
		return g.admitted(a)
	case <-ctx.Done():
	}
	g.mu.Lock()
	if _, queued := g.waiting[r.ID]; queued {
		delete(g.waiting, r.ID)
		delete(g.held, r.ID)
		g.deliver(g.admit.Cancel(g.clock.Now(), r.ID))
		g.mu.Unlock()
		return endReason(ctx)
	}
	g.mu.Unlock()
	// The decision arrived at the same time; it counts.
	return g.admitted(<-ch)
}

// admitted returns the reason of a refusal and forgets the refused call.
func (g *Guard) admitted(a admit.Decision) call.Reason {
	if a.Admit {
		return call.ReasonNone
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.held, a.ID)
	return a.Reason
}

// endReason explains the end of a call's context.
func endReason(ctx context.Context) call.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return call.ReasonDeadline
	}
	return call.ReasonCancelled
}

// deliver passes decisions to the calls that wait for them. The caller holds
// the lock.
func (g *Guard) deliver(actions []admit.Decision) {
	for _, a := range actions {
		if ch, ok := g.waiting[a.ID]; ok {
			delete(g.waiting, a.ID)
			ch <- a
		}
	}
}

// release reports the end of an admitted call.
func (g *Guard) release(id call.ID, r admit.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.held, id)
	g.deliver(g.admit.Finish(g.clock.Now(), id, r))
}

// handOver records that the request runs now, unless it must not.
func (g *Guard) handOver(r *call.Request) call.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	reason := g.ledger.TryDispatch(now, r)
	if reason == call.ReasonNone {
		assert.That(!g.leaving || now-g.leftAt <= leaveWithin, assert.Leaving,
			"request %s runs %.0f ms after the guard began to leave", r.ID, float64(now-g.leftAt))
		g.started(now, r)
	}
	return reason
}
