package guard

import (
	"context"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// run lets queued calls time out.
func (g *Guard) run(ctx context.Context) error {
	t := time.NewTicker(tickInterval.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			g.mu.Lock()
			if len(g.waiting) > 0 {
				g.deliver(g.admit.Tick(g.clock.Now()))
			}
			g.mu.Unlock()
		}
	}
}

// acquire asks for admission and waits while the call is queued.
func (g *Guard) acquire(ctx context.Context, r *call.Request) call.Reason {
	ch := make(chan admit.Action, 1)
	g.mu.Lock()
	g.waiting[r.ID] = ch
	g.deliver(g.admit.Offer(g.clock.Now(), admit.Ticket{ID: r.ID, Class: r.Class, Deadline: r.Deadline}))
	g.mu.Unlock()
	select {
	case a := <-ch:
		return refusal(a)
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, queued := g.waiting[r.ID]; queued {
		delete(g.waiting, r.ID)
		g.deliver(g.admit.Cancel(g.clock.Now(), r.ID))
		return call.ReasonCancelled
	}
	// The decision arrived at the same time; it counts.
	return refusal(<-ch)
}

func refusal(a admit.Action) call.Reason {
	if a.Admit {
		return call.ReasonNone
	}
	return a.Reason
}

// deliver passes decisions to the calls that wait for them. The caller holds
// the lock.
func (g *Guard) deliver(actions []admit.Action) {
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
	g.deliver(g.admit.Done(g.clock.Now(), id, r))
}

// handOver records that the request runs now, unless it must not.
func (g *Guard) handOver(r *call.Request) call.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	reason := g.ledger.HandOver(now, r)
	if reason == call.ReasonNone {
		g.started(now, r)
	}
	return reason
}
