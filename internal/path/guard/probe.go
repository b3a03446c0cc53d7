package guard

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
)

const (
	// defaultProbeRate is the number of probes a second that a guard answers,
	// summed over all requesters.
	defaultProbeRate  = 20
	defaultProbeBurst = 5
)

// ErrProbeBudget says that the upstream's probes of this window are spent.
var ErrProbeBudget = errors.New("probe budget of the upstream is spent")

// WithProbeBudget sets how many probes a second are answered, and how many at
// once.
func WithProbeBudget(perSecond float64, burst int) Option {
	return func(g *Guard) { g.probes = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// Probe answers a control message with the guard's view. The upstream itself
// is not asked.
func (g *Guard) Probe(_ context.Context, _ link.Peer, _ []byte) ([]byte, error) {
	if !g.probes.AllowN(g.clock.Now().Time(), 1) {
		return nil, ErrProbeBudget
	}
	return proto.Marshal(link.EncodeView(g.View()))
}
