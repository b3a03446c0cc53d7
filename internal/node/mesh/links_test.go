package mesh

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
)

// Guards against a starting daemon that opens its links to other data centres first, or waits
// for its next check although attempts have ended.
func TestStartOpensNearLinksFirstWithoutPauses(t *testing.T) {
	g := NewWithT(t)
	const self, daemons = "127.0.0.1:1", 4 * maxConcurrentDials
	clk := clock.NewReal()
	table := peers.New(self)
	table.Merge(peers.Record{ID: self, Incarnation: 1, Centre: "z"})
	for i := range daemons {
		// Nobody listens there, so each attempt ends at once. The ids sort the far ones first.
		// With the link to itself, the daemon has a slot for each near one.
		r := peers.Record{ID: fmt.Sprintf("127.0.0.2:%d", 10+i), Incarnation: 1, Centre: "a"}
		if i > daemons-maxConcurrentDials {
			r.Centre = "z"
		}
		table.Merge(r)
	}
	l := newLinks(self, clk, zerolog.Nop(), link.NewPool(link.Identity{Fleet: fleetName, Member: self, Incarnation: 1}, clk), table)
	l.checkLinks(context.Background())
	for id, redial := range l.redials {
		r, _ := table.Lookup(id)
		// A far one may have the slot of an attempt that has ended.
		g.Expect(redial.dialing || r.Centre != "z").To(BeTrue(), id)
	}
	g.Expect(l.waiting).NotTo(BeEmpty())
	for len(l.waiting) > 0 {
		g.Eventually(l.dialEnded, "5s").Should(Receive())
		l.dialWaiting(context.Background())
	}
}
