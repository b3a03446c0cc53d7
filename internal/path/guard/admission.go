package guard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// expireQueuedLoop calls expireQueued every tickInterval while calls are queued.
func (g *Guard) expireQueuedLoop(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.expiryWake:
		case <-t.C:
		}
		if g.expireQueued() {
			t.Reset(tickInterval.Duration())
		}
	}
}

// expireQueued lets the admitter refuse queued calls that have waited too long. It
// reports whether calls are still queued.
func (g *Guard) expireQueued() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pendingDecisions) == 0 {
		return false
	}
	g.deliver(g.admitter.Tick(g.clock.Now()))
	return len(g.pendingDecisions) > 0
}

// wakeExpiry wakes expireQueuedLoop if calls are queued. The caller holds the lock.
func (g *Guard) wakeExpiry() {
	if len(g.pendingDecisions) == 0 {
		return
	}
	select {
	case g.expiryWake <- struct{}{}:
	default:
	}
}

// awaitAdmission offers the call to the admitter and waits while it is queued. It
// returns ReasonNone if the call is admitted. Duplicates are not offered, because
// the admitter identifies calls by their id.
func (g *Guard) awaitAdmission(ctx context.Context, r *call.Request) refusal {
	ch := make(chan admit.Decision, 1)
	g.mu.Lock()
	if _, dup := g.activeIDs[r.ID]; dup || !r.Repeatable && g.ledger.WasDispatched(r.ID) {
		g.mu.Unlock()
		return refusal{reason: call.ReasonDuplicate}
	}
	g.activeIDs[r.ID] = struct{}{}
	g.pendingDecisions[r.ID] = ch
	g.deliver(g.admitter.Offer(g.clock.Now(), admit.Request{
		ID: r.ID, Class: r.Class, Deadline: r.Deadline, Priority: r.Priority, SoftDeadline: r.SoftDeadline, Route: r.Route,
		MayQueue: r.MayQueue,
	}))
	g.wakeExpiry()
	g.mu.Unlock()
	select {
	case d := <-ch:
		return g.handleDecision(d)
	case <-ctx.Done():
	}
	g.mu.Lock()
	if _, queued := g.pendingDecisions[r.ID]; queued {
		delete(g.pendingDecisions, r.ID)
		delete(g.activeIDs, r.ID)
		g.deliver(g.admitter.Cancel(g.clock.Now(), r.ID))
		g.mu.Unlock()
		return refusal{reason: contextEndReason(ctx)}
	}
	g.mu.Unlock()
	// The decision was made before the cancellation took effect, so it applies.
	return g.handleDecision(<-ch)
}

// handleDecision returns the refusal of a call, with ReasonNone for an admitted one. It
// removes a refused call from the active ones.
func (g *Guard) handleDecision(d admit.Decision) refusal {
	if d.Admit {
		return refusal{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.activeIDs, d.ID)
	return refusal{reason: d.Reason, retryIn: d.RetryIn}
}

// contextEndReason returns the reason for the end of a call's context.
func contextEndReason(ctx context.Context) call.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return call.ReasonDeadline
	}
	return call.ReasonCancelled
}

// deliver sends decisions to the calls that wait for them. The caller holds the
// lock.
func (g *Guard) deliver(decisions []admit.Decision) {
	for _, d := range decisions {
		if ch, ok := g.pendingDecisions[d.ID]; ok {
			delete(g.pendingDecisions, d.ID)
			ch <- d
		}
	}
}

// finishCall reports the end of an admitted call to the admitter, which may admit
// queued calls.
func (g *Guard) finishCall(id call.ID, r admit.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.activeIDs, id)
	g.deliver(g.admitter.Finish(g.clock.Now(), id, r))
}

// tryDispatch records the request as dispatched to the upstream and returns
// ReasonNone. If the request must not run, for example after a fence, it returns
// the reason instead.
func (g *Guard) tryDispatch(r *call.Request) call.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	reason := g.ledger.TryDispatch(now, r)
	if reason == call.ReasonNone {
		assert.That(!g.leaving || now-g.drainStartedAt <= maxDispatchAfterDrain, assert.Leaving,
			"request %s dispatched %.0f ms after the start of the drain", r.ID, float64(now-g.drainStartedAt))
		g.onDispatch(now, r)
	}
	return reason
}
