package mesh

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/crash"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/health"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
)

// Guards against a cold upstream that gets more calls than its rate, because an entry has the
// configuration, which states the rate, before the guard has it.
func TestGuardWithoutConfiguration(t *testing.T) {
	g := NewWithT(t)
	clk := clock.NewReal()
	n := &Node{registry: order.NewRegistry(nil, clk, zerolog.Nop()), upstream: newUpstream(clk, zerolog.Nop()), moves: &moveTracker{table: peers.New("a"), clock: clk}, crashes: &crashLog{clock: clk, table: crash.New()}}
	n.upstream.update(func(now clock.Milli, tr *health.Tracker) {
		tr.HandleHeartbeat(now, health.Heartbeat{Instance: "i", Slots: 6, Seq: 1, ColdRemaining: 3000})
	})
	g.Expect(n.upstream.unusableReason()).To(Equal(call.ReasonNone))
	g.Expect(n.checkAdmission(0, &call.Request{})).To(Equal(call.ReasonNoConfig))
}
