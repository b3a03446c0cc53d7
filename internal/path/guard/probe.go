package guard

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/probe"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
)

// ErrProbeBudgetExhausted says that the upstream's probes of this window are spent.
var ErrProbeBudgetExhausted = errors.New("probe budget of the upstream is spent")

// WithProbeBudget sets how many probes a second are answered, summed over all
// requesters.
func WithProbeBudget(n int) Option {
	return func(g *Guard) { g.probes = probe.NewUpstreamBudget(n) }
}

// Probe answers a control message with the guard's view. The upstream itself
// is not asked.
func (g *Guard) Probe(_ context.Context, _ link.Peer, _ []byte) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.probes.Allow(g.clock.Now()) {
		return nil, ErrProbeBudgetExhausted
	}
	return proto.Marshal(link.EncodeUpstreamState(g.view()))
}
