package canary_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/canary"
)

func rolledBack(position int64, version string) canary.Outcome {
	return newOutcome(position, version, canary.RolledBack)
}

func succeeded(position int64, version string) canary.Outcome {
	return newOutcome(position, version, canary.Succeeded)
}

func replaced(position int64, version string) canary.Outcome {
	return newOutcome(position, version, canary.Running)
}

// Guards against calls to versions that earlier moves excluded, and against versions in
// service that get none, in whatever order daemons receive the outcomes of these moves.
func TestHistory(t *testing.T) {
	tests := map[string]struct {
		outcomes []canary.Outcome
		allowed  []string
		excluded []string
	}{
		"no move":                           {nil, []string{"v1", "v2"}, nil},
		"one rolled back":                   {[]canary.Outcome{rolledBack(3, "v2")}, []string{"v1"}, []string{"v2"}},
		"two rolled back":                   {[]canary.Outcome{rolledBack(3, "v2"), rolledBack(5, "v3")}, []string{"v1"}, []string{"v2", "v3"}},
		"replaced before its end":           {[]canary.Outcome{replaced(3, "v2")}, []string{"v1"}, []string{"v2"}},
		"succeeded":                         {[]canary.Outcome{succeeded(3, "v2")}, []string{"v2"}, []string{"v1", "v3"}},
		"succeeded after one rolled back":   {[]canary.Outcome{rolledBack(3, "v2"), succeeded(5, "v3")}, []string{"v3"}, []string{"v1", "v2"}},
		"rolled back after a success":       {[]canary.Outcome{succeeded(3, "v2"), rolledBack(5, "v3")}, []string{"v2"}, []string{"v1", "v3"}},
		"succeeded when it was tried again": {[]canary.Outcome{rolledBack(3, "v2"), succeeded(5, "v2")}, []string{"v2"}, []string{"v1"}},
		"phase known later":                 {[]canary.Outcome{replaced(3, "v2"), succeeded(3, "v2")}, []string{"v2"}, []string{"v1"}},
		"phase known before":                {[]canary.Outcome{succeeded(3, "v2"), replaced(3, "v2")}, []string{"v2"}, []string{"v1"}},
		"two succeeded":                     {[]canary.Outcome{succeeded(3, "v2"), succeeded(5, "v3"), rolledBack(7, "v2")}, []string{"v3"}, []string{"v1", "v2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var forward, backward canary.History
			for i := range tt.outcomes {
				forward = forward.With(tt.outcomes[i])
				backward = backward.With(tt.outcomes[len(tt.outcomes)-1-i])
			}
			g.Expect(backward).To(Equal(forward))
			for _, v := range tt.allowed {
				g.Expect(forward.Allows(v)).To(BeTrue(), v)
			}
			for _, v := range tt.excluded {
				g.Expect(forward.Allows(v)).To(BeFalse(), v)
			}
		})
	}
}

// Guards against a slow version that is taken for a good one because the slow answers of a
// version that was rolled back before count as those of the old version. Some daemons get the
// outcome of that move later than the order.
func TestVersionAfterSlowOneIsRolledBack(t *testing.T) {
	tests := map[string]func() *canary.Move{
		"known at the order": func() *canary.Move {
			return canary.New(order.Move{Version: "v3", Position: 5, MaxDuration: maxDuration, ReceivedAt: orderedAt},
				canary.WithEarlier(canary.History{rolledBack(3, "v2")}))
		},
		"known later": func() *canary.Move {
			return canary.New(order.Move{Version: "v3", Position: 5, MaxDuration: maxDuration, ReceivedAt: orderedAt})
		},
	}
	for name, newMove := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m, now := newMove(), orderedAt
			for i := uint64(1); i <= 50; i++ {
				now += tickInterval
				m.Observe(now, "old", 1, "v1", statsWithServiceTime(5*i, 300))
				m.Observe(now, "slow", 1, "v2", statsWithServiceTime(500, 900))
				for _, target := range []string{"one", "two", "three"} {
					m.Observe(now, target, 1, "v3", statsWithServiceTime(i, 900))
				}
				if i == 20 {
					m.AddEarlier(rolledBack(3, "v2"))
				}
				m.Evaluate(now)
			}
			g.Expect(m.Phase()).To(Equal(canary.RolledBack))
		})
	}
}

func newOutcome(position int64, version string, p canary.Phase) canary.Outcome {
	return canary.Outcome{Position: feed.Position(position), Version: version, Phase: p}
}
