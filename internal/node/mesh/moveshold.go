package mesh

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// historyTimeout is how long after its first orders a daemon refuses callers while it lacks the
// outcomes of earlier version moves. A peer or the store has them, if one of them answers.
const historyTimeout = 2 * clock.Second

// recordFirstOrders records when this daemon received its first orders. Without a version move
// among them, it receives all moves and their outcomes from now on. The caller holds the lock.
func (m *moveTracker) recordFirstOrders(moves int) {
	if m.loadedAt > 0 {
		return
	}
	m.loadedAt = m.clock.Now()
	if moves == 0 {
		m.complete.Store(true)
	}
}

// awaitsHistory reports whether callers have to wait until the outcomes of the earlier version
// moves are known: without them, a version that was rolled back counts as the old one.
func (m *moveTracker) awaitsHistory() bool {
	if m.complete.Load() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byService) > 0 && m.clock.Now()-m.loadedAt < historyTimeout
}
