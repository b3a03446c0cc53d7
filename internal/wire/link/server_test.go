package link_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const echoKind = wire.ControlKind_CONTROL_KIND_STATUS

func identity(fleet string) link.Identity {
	return link.Identity{Fleet: fleet, Member: "m-" + fleet, Incarnation: 1}
}

// startServer runs a server that echoes control messages and returns its address.
func startServer(t *testing.T, opts ...link.ServerOption) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opts = append(opts, link.WithControlHandler(echoKind, func(_ context.Context, _ link.Peer, p []byte) ([]byte, error) { return p, nil }))
	s := link.NewServer(identity("f"), clock.NewReal(), opts...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = s.Serve(ctx, l); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return l.Addr().String()
}

func newPool(t *testing.T, fleet string) *link.Pool {
	p := link.NewPool(identity(fleet), clock.NewReal())
	t.Cleanup(p.Close)
	return p
}

func sendEcho(p *link.Pool, addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := p.Control(ctx, addr, echoKind, []byte("x"))
	return err
}

// dialMux opens a session without a handshake, and a stream on it.
func dialMux(g *WithT, c net.Conn) net.Conn {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = &strings.Builder{}
	mux, err := yamux.Client(c, cfg)
	g.Expect(err).NotTo(HaveOccurred())
	st, err := mux.OpenStream()
	g.Expect(err).NotTo(HaveOccurred())
	return st
}

func lengthPrefixed(n uint32, data string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, n), data...)
}

// Guards against a faulty peer that disturbs other sessions or exhausts memory.
func TestFaultyPeers(t *testing.T) {
	// Each fault returns the connection or stream that the server must close.
	type fault func(*WithT, net.Conn) net.Conn
	rawBytes := func(s string) fault {
		return func(_ *WithT, c net.Conn) net.Conn { _, _ = c.Write([]byte(s)); return c }
	}
	firstBytes := func(b []byte) fault {
		return func(g *WithT, c net.Conn) net.Conn {
			st := dialMux(g, c)
			_, _ = st.Write(b)
			return st
		}
	}
	const immediately, afterHandshakeTimeout = time.Second, 5 * time.Second
	tests := map[string]struct {
		fault fault
		limit time.Duration
	}{
		"http on the peer port":   {rawBytes("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), immediately},
		"zeros":                   {rawBytes(strings.Repeat("\x00", 1<<16)), afterHandshakeTimeout},
		"oversize frame":          {firstBytes(lengthPrefixed(link.MaxFrameBytes+1, "x")), immediately},
		"largest length":          {firstBytes(lengthPrefixed(1<<32-1, "x")), immediately},
		"not protobuf":            {firstBytes(lengthPrefixed(4, "\xff\xff\xff\xff")), immediately},
		"empty frame":             {firstBytes(lengthPrefixed(0, "")), immediately},
		"truncated frame":         {firstBytes(lengthPrefixed(100, "x")), afterHandshakeTimeout},
		"half-open connection":    {rawBytes(""), afterHandshakeTimeout},
		"session without a frame": {firstBytes(nil), afterHandshakeTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			addr, p := startServer(t), newPool(t, "f")
			g.Expect(sendEcho(p, addr)).To(Succeed())
			c, err := net.Dial("tcp", addr)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			watched := tt.fault(g, c)
			_ = watched.SetReadDeadline(time.Now().Add(tt.limit))
			_, err = io.Copy(io.Discard, watched)
			var timeout net.Error
			g.Expect(errors.As(err, &timeout) && timeout.Timeout()).To(BeFalse(), "connection not closed by the server")
			g.Expect(sendEcho(p, addr)).To(Succeed())
			g.Expect(p.Size()).To(Equal(1))
		})
	}
}

// Guards against accepting daemons of other fleets, or refusing them without a
// reason.
func TestRefusedHandshakes(t *testing.T) {
	g := NewWithT(t)
	addr := startServer(t)
	err := sendEcho(newPool(t, "other"), addr)
	g.Expect(err).To(MatchError(link.ErrHandshake))
	g.Expect(err).To(MatchError(ContainSubstring("wrong fleet other")))
	g.Expect(sendEcho(newPool(t, "f"), addr)).To(Succeed())
}

// Guards against frames that violate the protocol after the handshake: the session
// must be closed, and others must continue.
func TestBadFramesAfterHandshake(t *testing.T) {
	hello := &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{}}}
	tests := map[string]*wire.Frame{
		"second hello":       hello,
		"call without guard": {Body: &wire.Frame_CallStart{CallStart: &wire.CallStart{}}},
		"empty frame":        {},
	}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			addr, good, bad := startServer(t), newPool(t, "f"), newPool(t, "f")
			g.Expect(sendEcho(good, addr)).To(Succeed())
			st, err := bad.AcquireStream(context.Background(), addr)
			g.Expect(err).NotTo(HaveOccurred())
			// The server may end the session before Send returns.
			_ = st.Send(f)
			_, err = st.Receive()
			g.Expect(err).To(HaveOccurred())
			g.Eventually(st.Session().Closed, "2s").Should(BeTrue())
			g.Expect(sendEcho(good, addr)).To(Succeed())
			g.Expect(sendEcho(bad, addr)).To(Succeed(), "the peer may connect again")
		})
	}
}

// Guards against sending oversize frames.
func TestOversizeFrameIsNotSent(t *testing.T) {
	g := NewWithT(t)
	p, addr := newPool(t, "f"), startServer(t)
	_, err := p.Control(context.Background(), addr, echoKind, make([]byte, link.MaxFrameBytes))
	g.Expect(err).To(MatchError(link.ErrFrameTooLarge))
	g.Expect(sendEcho(p, addr)).To(Succeed())
}

// Guards against an unbounded number of sessions or streams.
func TestSessionAndStreamLimits(t *testing.T) {
	g := NewWithT(t)
	addr := startServer(t, link.WithMaxSessions(2), link.WithMaxStreams(50))
	a, b := newPool(t, "f"), newPool(t, "f")
	g.Expect(sendEcho(a, addr)).To(Succeed())
	g.Expect(sendEcho(b, addr)).To(Succeed())
	g.Expect(sendEcho(newPool(t, "f"), addr)).To(MatchError(link.ErrHandshake))
	openStreams := func(n int) *link.Stream {
		var last *link.Stream
		for range n {
			if st, err := a.AcquireStream(context.Background(), addr); err == nil {
				last = st
			}
		}
		return last
	}
	// The pool reconnects at once, so the session is that of the first streams.
	first := openStreams(40).Session()
	g.Expect(sendEcho(a, addr)).To(Succeed())
	g.Expect(first.Closed()).To(BeFalse())
	openStreams(20)
	g.Eventually(first.Closed, "2s").Should(BeTrue())
	g.Expect(sendEcho(b, addr)).To(Succeed())
	a.Close()
	g.Eventually(func() error { return sendEcho(newPool(t, "f"), addr) }, "2s").Should(Succeed())
}

// Guards against a clock offset that is distorted by a paused process or clock drift.
func TestClockOffset(t *testing.T) {
	tests := map[string]struct {
		samples [][2]clock.Milli // received, sent
		want    clock.Milli      // of the peer's instant 0
	}{
		"no sample":                {nil, 0},
		"minimum":                  {[][2]clock.Milli{{105, 0}, {101, 0}, {190, 0}}, 101},
		"pause after the first":    {[][2]clock.Milli{{101, 0}, {60000, 0}}, 101},
		"samples after long pause": {[][2]clock.Milli{{101, 0}, {90000, 100}, {90000, 200}, {90001, 300}}, 101},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			o := link.NewClockOffset()
			for _, s := range tt.samples {
				o.Observe(s[0], s[1])
			}
			g.Expect(o.ToLocal(0)).To(Equal(tt.want))
		})
	}
}

// Guards against accepting a peer with another protocol version or without a member
// id, or refusing it without a reason.
func TestRefusedHellos(t *testing.T) {
	tests := map[string]struct {
		hello *wire.Hello
		want  string
	}{
		"protocol version": {&wire.Hello{Fleet: "f", Member: "m", Protocol: link.ProtocolVersion + 1}, "wrong protocol version"},
		"no member id":     {&wire.Hello{Fleet: "f", Protocol: link.ProtocolVersion}, "member id missing"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, err := net.Dial("tcp", startServer(t))
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			st := dialMux(g, c)
			b, err := proto.Marshal(&wire.Frame{Body: &wire.Frame_Hello{Hello: tt.hello}})
			g.Expect(err).NotTo(HaveOccurred())
			_, err = st.Write(lengthPrefixed(uint32(len(b)), string(b)))
			g.Expect(err).NotTo(HaveOccurred())
			head := make([]byte, 4)
			_, err = io.ReadFull(st, head)
			g.Expect(err).NotTo(HaveOccurred())
			reply := make([]byte, binary.BigEndian.Uint32(head))
			_, err = io.ReadFull(st, reply)
			g.Expect(err).NotTo(HaveOccurred())
			f := new(wire.Frame)
			g.Expect(proto.Unmarshal(reply, f)).To(Succeed())
			g.Expect(f.GetHello().GetError()).To(Equal(tt.want))
		})
	}
}
