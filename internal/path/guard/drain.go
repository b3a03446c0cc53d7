package guard

import "context"

// StartDrain makes the guard refuse all new calls. Calls that are queued or in
// progress are still served.
func (g *Guard) StartDrain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving, g.drainStartedAt = true, g.clock.Now()
	g.admitter.Drain()
	if g.activeCalls == 0 {
		g.markDrained()
	}
}

// AwaitDrain waits until all calls have ended after StartDrain, or until ctx ends.
// It returns the number of calls still in progress.
func (g *Guard) AwaitDrain(ctx context.Context) int {
	select {
	case <-g.drained:
		return 0
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.activeCalls
	}
}

func (g *Guard) markDrained() {
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

// beginCall counts a call as in progress. It reports false, without counting, when
// the guard is draining.
func (g *Guard) beginCall() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return false
	}
	g.activeCalls++
	return true
}

func (g *Guard) endCall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.activeCalls--
	if g.leaving && g.activeCalls == 0 {
		g.markDrained()
	}
}
