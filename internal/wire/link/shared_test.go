package link_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
)

// sharedPeer is a daemon whose pool and server share their sessions.
type sharedPeer struct {
	addr string
	pool *link.Pool

	mu sync.Mutex
	// accepted has the connections that the server accepted.
	accepted []net.Conn
}

// countingListener records the connections that it accepts.
type countingListener struct {
	net.Listener
	peer *sharedPeer
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.peer.mu.Lock()
		l.peer.accepted = append(l.peer.accepted, c)
		l.peer.mu.Unlock()
	}
	return c, err
}

func (p *sharedPeer) acceptedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.accepted)
}

// A peer counts as silent after the sum of both. The write timeout leaves time for a busy
// machine.
const (
	sharedKeepAlive    = 100 * clock.Millisecond
	sharedWriteTimeout = 3 * clock.Second
)

func newSharedPeer(t *testing.T) *sharedPeer {
	t.Helper()
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	p := &sharedPeer{addr: l.Addr().String()}
	self := link.Identity{Fleet: "f", Member: p.addr, Incarnation: 1}
	p.pool = link.NewPool(self, clock.NewReal(), link.WithTiming(link.Timing{KeepAliveInterval: sharedKeepAlive, WriteTimeout: sharedWriteTimeout, DialTimeout: clock.Second}))
	s := link.NewServer(self, clock.NewReal(), link.WithControlHandler(echoKind, func(_ context.Context, from link.Peer, b []byte) ([]byte, error) {
		return append(b, from.Member...), nil
	}))
	link.ShareSessions(p.pool, s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = s.Serve(ctx, countingListener{l, p}); close(done) }()
	t.Cleanup(func() { cancel(); p.pool.Close(); <-done })
	return p
}

// Guards against two connections between each two daemons, whose number and memory is the
// limit of a large fleet, and against a peer that can't call over a connection that the
// other side opened.
func TestSharedSession(t *testing.T) {
	g := NewWithT(t)
	a, b := newSharedPeer(t), newSharedPeer(t)
	g.Expect(sendEcho(a.pool, b.addr)).To(Succeed())
	g.Eventually(func() bool { return b.pool.HasSession(a.addr) }).Should(BeTrue())
	reply, err := b.pool.Control(t.Context(), a.addr, echoKind, []byte("from "))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(reply)).To(Equal("from " + b.addr))
	g.Expect(a.acceptedCount()).To(BeZero())
	// Both sides keep the session while no calls are made.
	time.Sleep((sharedKeepAlive + sharedWriteTimeout + clock.Second).Duration())
	g.Expect(b.pool.HasSession(a.addr)).To(BeTrue())
	g.Expect(b.acceptedCount()).To(Equal(1))
}

// Guards against simultaneous dials that close each other's sessions.
func TestSharedSessionDialedByBoth(t *testing.T) {
	g := NewWithT(t)
	for range 20 {
		a, b := newSharedPeer(t), newSharedPeer(t)
		var wg sync.WaitGroup
		errs := make(chan error, 2)
		wg.Go(func() { errs <- sendEcho(a.pool, b.addr) })
		wg.Go(func() { errs <- sendEcho(b.pool, a.addr) })
		wg.Wait()
		g.Expect(<-errs).To(Succeed())
		g.Expect(<-errs).To(Succeed())
		g.Expect(sendEcho(a.pool, b.addr)).To(Succeed())
		g.Expect(sendEcho(b.pool, a.addr)).To(Succeed())
		g.Expect(a.acceptedCount() + b.acceptedCount()).To(BeNumerically("<=", 2))
	}
}

// Guards against a daemon that keeps a connection which its peer opened after the peer
// became silent, for example because it froze or packets pass one way only.
func TestSilentPeer(t *testing.T) {
	g := NewWithT(t)
	a, b := newSharedPeer(t), newSharedPeer(t)
	// The relay passes bytes from a to b until it is stopped, without closing.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	silent := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer func() { _ = l.Close() }()
	wg.Go(func() { relayUntil(l, b.addr, silent) })
	_, err = a.pool.Connect(t.Context(), l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() bool { return b.pool.HasSession(a.addr) }).Should(BeTrue())
	close(silent)
	g.Eventually(func() bool { return b.pool.HasSession(a.addr) }, (sharedKeepAlive + sharedWriteTimeout + 2*clock.Second).Duration()).Should(BeFalse())
}

// relayUntil relays one connection from l to addr. After silent is closed, it drops all
// bytes and keeps both connections open until a silent peer must be noticed.
func relayUntil(l net.Listener, addr string, silent <-chan struct{}) {
	from, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = from.Close() }()
	to, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	forward := func(dst io.Writer, src io.Reader) {
		buf := make([]byte, 4<<10)
		for {
			n, err := src.Read(buf)
			if err != nil {
				return
			}
			select {
			case <-silent:
			default:
				_, _ = dst.Write(buf[:n])
			}
		}
	}
	go forward(to, from)
	go forward(from, to)
	<-silent
	time.Sleep((sharedKeepAlive + sharedWriteTimeout + 2*clock.Second).Duration())
}
