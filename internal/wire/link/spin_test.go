package link_test

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// lateReadTime is how long a read continues after the end of its connection.
const lateReadTime = 300 * time.Millisecond

// lateConn is a connection on which reads end late.
type lateConn struct {
	net.Conn
}

// Read implements net.Conn.
func (c lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		time.Sleep(lateReadTime)
	}
	return n, err
}

// lateListener accepts connections on which reads end late.
type lateListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return lateConn{c}, err
}

// cpuTime returns the processor time that this process has used.
func cpuTime(g *WithT) time.Duration {
	var u syscall.Rusage
	g.Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &u)).To(Succeed())
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against streams that spin from the end of their session until the read in progress
// has ended, which costs the callers of a daemon with one core its processor time.
func TestStreamsDoNotSpinAfterClose(t *testing.T) {
	const streams = 40
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var started sync.WaitGroup
	started.Add(streams)
	server := link.NewServer(link.Identity{Fleet: "f", Member: "server", Incarnation: 1}, clock.NewReal(),
		link.WithControlHandler(wire.ControlKind_CONTROL_KIND_SHARE, func(context.Context, link.Peer, []byte) ([]byte, error) {
			// All streams are open at the same time.
			started.Done()
			started.Wait()
			return nil, nil
		}))
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, lateListener{l}) }()
	pool := link.NewPool(link.Identity{Fleet: "f", Member: "client", Incarnation: 1}, clock.NewReal())
	var calls sync.WaitGroup
	for range streams {
		calls.Go(func() {
			_, err := pool.Control(context.Background(), l.Addr().String(), wire.ControlKind_CONTROL_KIND_SHARE, nil)
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
	calls.Wait()
	before := cpuTime(g)
	cancel()
	g.Expect(<-served).To(MatchError(context.Canceled))
	g.Expect(cpuTime(g) - before).To(BeNumerically("<", lateReadTime/3))
	pool.Close()
}
