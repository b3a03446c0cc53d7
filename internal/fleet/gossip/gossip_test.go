package gossip_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/gossip"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

type daemon struct {
	*gossip.Membership
	conn net.PacketConn
	stop context.CancelFunc
	done chan struct{}
}

func startDaemon(t *testing.T, local *gossip.Local, fleet string) *daemon {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clk := clock.NewReal()
	limiter := budget.NewLimiter(clk.Now())
	d := &daemon{conn: conn, done: make(chan struct{})}
	d.Membership = gossip.New(gossip.Settings{
		Fleet: fleet, Clock: clk, Conn: conn, Syncer: local, Seeds: local, Limiter: limiter,
		Meter: budget.NewMeter(clk, limiter), Log: zerolog.Nop(),
		Self: member.Fact{
			ID: conn.LocalAddr().String(), Incarnation: uint64(clk.Now()), Service: "plans", Version: "1", Centre: "a", Region: "r",
		},
	})
	local.Add(d.Self().ID, d.Membership)
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = func() {
		cancel()
		<-d.done
		_ = conn.Close()
		local.Add(d.Self().ID, nil)
	}
	go d.run(ctx)
	return d
}

func (d *daemon) run(ctx context.Context) {
	defer close(d.done)
	_ = d.Serve(ctx)
}

// Guards against daemons that do not join each other, miss a departure or a
// death, or leak goroutines.
func TestMembershipLifecycle(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := NewWithT(t)
	local := gossip.NewLocal()
	first := startDaemon(t, local, "fleet")
	local.SetPeers(first.Self().ID)
	all := []*daemon{first}
	for range 4 {
		all = append(all, startDaemon(t, local, "fleet"))
	}
	defer func() {
		for _, d := range all {
			d.stop()
		}
	}()
	for _, d := range all {
		g.Eventually(d.Size, 10*time.Second).Should(Equal(5))
	}
	leaver := all[4]
	leaver.StartLeaving()
	g.Expect(leaver.State()).To(Equal(gossip.Leaving))
	g.Eventually(func() bool { f, _ := first.Lookup(leaver.Self().ID); return f.Leaving }, 3*time.Second).Should(BeTrue())
	all[3].stop()
	dead := all[3].Self().ID
	all = append(all[:3], leaver)
	g.Eventually(func() bool { f, _ := first.Lookup(dead); return f.Status == member.Dead }, 10*time.Second).Should(BeTrue())
}

// Guards against invalid datagrams, or ones of another fleet, that change the
// membership or are not counted.
func TestDroppedPackets(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := NewWithT(t)
	local := gossip.NewLocal()
	d := startDaemon(t, local, "fleet")
	defer d.stop()
	local.SetPeers(d.Self().ID)
	other := startDaemon(t, local, "another fleet")
	defer other.stop()
	g.Eventually(func() int64 { _, n := d.DroppedPackets(); return n }, 5*time.Second).Should(BeNumerically(">", 0))
	cases := map[string][]byte{
		"empty":    {},
		"text":     []byte("GET / HTTP/1.1"),
		"zeros":    make([]byte, 300),
		"too long": bytes.Repeat([]byte{0xff}, 2000),
	}
	for _, b := range cases {
		_, err := other.conn.WriteTo(b, d.conn.LocalAddr())
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(func() int64 { m, w := d.DroppedPackets(); return m + w }, 5*time.Second).Should(BeNumerically(">=", len(cases)+1))
	g.Expect(d.Size()).To(Equal(1))
}

// Guards against a planned stop that is not announced to the fleet or not
// recorded in the log.
func TestFinishLeaving(t *testing.T) {
	defer goleak.VerifyNone(t)
	g := NewWithT(t)
	local := gossip.NewLocal()
	a := startDaemon(t, local, "fleet")
	defer a.stop()
	local.SetPeers(a.Self().ID)
	b := startDaemon(t, local, "fleet")
	defer b.stop()
	g.Eventually(a.Size, 10*time.Second).Should(Equal(2))
	before := local.AnnounceCount()
	b.FinishLeaving(context.Background())
	f, _ := a.Lookup(b.Self().ID)
	g.Expect(f.Status).To(Equal(member.Left))
	g.Expect(local.AnnounceCount()).To(BeNumerically(">", before))
}
