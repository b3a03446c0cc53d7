package guard

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/probe"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
)

// ErrProbeBudgetExhausted says that the guard has answered as many probes within
// the last second as its budget allows.
var ErrProbeBudgetExhausted = errors.New("probe budget of the upstream is exhausted")

// WithProbeBudget sets how many probes per second are answered in total, whoever
// sends them.
func WithProbeBudget(n int) Option {
	return func(g *Guard) { g.probeBudget = probe.NewUpstreamBudget(n) }
}

// Probe answers a control message with the recorded state of the upstream. It
// sends nothing to the upstream.
func (g *Guard) Probe(_ context.Context, _ link.Peer, _ []byte) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.probeBudget.Allow(g.clock.Now()) {
		return nil, ErrProbeBudgetExhausted
	}
	return proto.Marshal(link.EncodeUpstreamState(g.upstreamStateLocked()))
}
