package mesh

import (
	"sync"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/health"
)

// trialStats limits the statistics of an upstream of a new version to the calls since the order
// of the move. Earlier ones may be those of a trial that ended in a rollback. It is safe for
// concurrent use.
type trialStats struct {
	mu       sync.Mutex
	instance string
	// before has the statistics at the order, by route.
	before map[string]call.RouteStats
}

// begin records the statistics at the order of a move.
func (t *trialStats) begin(state health.UpstreamState, stats []call.RouteStats) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instance = state.Instance
	t.before = make(map[string]call.RouteStats, len(stats))
	for _, s := range stats {
		t.before[s.Route] = s
	}
}

// sinceOrder returns the statistics to report to the judges of a move.
func (t *trialStats) sinceOrder(ord order.Move, state health.UpstreamState, stats []call.RouteStats) []call.RouteStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The counters of another instance begin at zero.
	if state.Version != ord.Version || state.Instance != t.instance {
		return stats
	}
	out := make([]call.RouteStats, 0, len(stats))
	for i := range stats {
		before := t.before[stats[i].Route]
		if stats[i].Calls < before.Calls || stats[i].Failed < before.Failed {
			before = call.RouteStats{}
		}
		out = append(out, stats[i].Since(&before))
	}
	return out
}
