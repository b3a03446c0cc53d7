// Package inproc runs guards, an entry and simulated upstreams in one process
// over loopback sockets, with links whose faults tests control.
package inproc

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/entry"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/guard"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	// Fleet is the fleet of all nodes.
	Fleet = "mesh"
	// Service is the service of all nodes.
	Service = "svc"

	defaultSlots       = 8
	defaultConnections = 16
)

// NodeSpec describes a node. Exactly one of Handler, Address and Calls is set.
type NodeSpec struct {
	// Handler serves the requests of the node's upstream.
	Handler http.HandlerFunc
	// UpstreamAddr is that of an upstream that the test runs itself.
	UpstreamAddr string
	// StreamHandler replaces the guard, for peers that break the protocol.
	StreamHandler link.StreamHandler
	// Clock is the clock of the node, by default the entry's.
	Clock        clock.Clock
	Slots        int
	GuardOptions []guard.Option
}

// Node is one target: a guard, its upstream and the link to it.
type Node struct {
	Target call.Target
	Guard  *guard.Guard
	Proxy  *Proxy
	// PeerAddr is that of the peer port behind the link.
	PeerAddr string
}

// Harness is an entry and its nodes. It implements entry.Roster and entry.Rules.
type Harness struct {
	Clock clock.Clock
	Pool  *link.Pool
	Entry *entry.Entry
	// URL is that of the entry.
	URL string
	// HTTP is the server of the entry.
	HTTP *http.Server

	tb       testing.TB
	mu       sync.Mutex
	nodes    []*Node
	version  atomic.Uint64
	decided  chan entry.CallSummary
	settings *policy.Config
}

// New starts an entry without nodes. It stops with the test.
func New(tb testing.TB, opts ...entry.Option) *Harness {
	tb.Helper()
	const decisions = 10000
	m := &Harness{Clock: clock.NewReal(), tb: tb, decided: make(chan entry.CallSummary, decisions), settings: &policy.Config{}}
	m.Pool = link.NewPool(Identity("entry"), m.Clock)
	opts = append(opts, entry.WithSummaryHandler(func(d entry.CallSummary) { m.decided <- d }))
	opts = append([]entry.Option{entry.WithPolicy(m.Config)}, opts...)
	m.Entry = entry.New(call.Target{ID: "entry", Centre: "c1"}, m.Clock, m.Pool, m, m, opts...)
	s := httptest.NewServer(m.Entry)
	m.URL, m.HTTP = s.URL, s.Config
	tb.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
		m.Pool.Close()
	})
	return m
}

// Identity returns the handshake identity of a member.
func Identity(member string) link.Identity {
	return link.Identity{Fleet: Fleet, Member: member, Incarnation: 1}
}

// AddNode starts a node.
func (m *Harness) AddNode(s NodeSpec) *Node {
	m.tb.Helper()
	if s.Clock == nil {
		s.Clock = m.Clock
	}
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Handler != nil {
		up := httptest.NewServer(s.Handler)
		m.tb.Cleanup(func() { up.CloseClientConnections(); up.Close() })
		s.UpstreamAddr = up.Listener.Addr().String()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.tb.Fatal(err)
	}
	n := &Node{PeerAddr: l.Addr().String(), Proxy: NewProxy(m.tb, l.Addr().String())}
	n.Target = call.Target{
		ID: n.Proxy.Address(), Incarnation: 1, Service: Service, Version: "1", Centre: "c1",
		Slots: s.Slots, MaxConnections: defaultConnections,
	}
	n.Guard = guard.New(n.Target, s.UpstreamAddr, s.Clock, s.GuardOptions...)
	if s.StreamHandler == nil {
		s.StreamHandler = n.Guard.HandleStream
	}
	m.serve(n, l, s)
	m.mu.Lock()
	m.nodes = append(m.nodes, n)
	m.mu.Unlock()
	m.version.Add(1)
	return n
}

func (m *Harness) serve(n *Node, l net.Listener, s NodeSpec) {
	srv := link.NewServer(Identity(n.Target.ID), s.Clock, link.WithStreamHandler(s.StreamHandler),
		link.WithControlHandler(wire.ControlKind_CONTROL_KIND_PROBE, n.Guard.Probe))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = srv.Serve(ctx, l); close(done) }()
	ticked := make(chan struct{})
	go func() { _ = n.Guard.Serve(ctx); close(ticked) }()
	m.tb.Cleanup(func() {
		cancel()
		<-done
		<-ticked
		n.Guard.Close()
	})
}

// Targets implements entry.Roster.
func (m *Harness) Targets(service string) []call.Target {
	if service != Service {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]call.Target, len(m.nodes))
	for i, n := range m.nodes {
		out[i] = n.Target
	}
	return out
}

// Version implements entry.Roster.
func (m *Harness) Version() uint64 {
	return m.version.Load()
}

// Config returns the configuration in force.
func (m *Harness) Config() *policy.Config {
	return m.settings
}

// Fallback implements entry.Rules.
func (m *Harness) Fallback(clock.Milli, *call.Request) func(*call.Target) bool {
	return nil
}

// Allow implements entry.Rules.
func (m *Harness) Allow(clock.Milli, *call.Request) (func(*call.Target) bool, call.Reason) {
	return nil, call.ReasonNone
}

// Reply is a response as the caller saw it.
type Reply struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    []byte
	// Err is set when the response did not arrive whole.
	Err error
}

// OutcomeAndReason returns the outcome and reason that the caller was told.
func (r Reply) OutcomeAndReason() [2]string {
	return [2]string{r.Header.Get(header.Outcome), r.Header.Get(header.Reason)}
}

// Request returns a request to the entry; Do sends it.
func (m *Harness) Request(method, path string, body io.Reader, headers ...string) *http.Request {
	m.tb.Helper()
	r, err := http.NewRequest(method, m.URL+path, body)
	if err != nil {
		m.tb.Fatal(err)
	}
	r.Header.Set(header.Service, Service)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// Do sends a request on a connection of its own and reads the response.
func (m *Harness) Do(r *http.Request) Reply {
	t := &http.Transport{DisableCompression: true}
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(r)
	if err != nil {
		return Reply{Err: err, Header: http.Header{}}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Trailer: resp.Trailer, Body: b, Err: err}
}

// NextCallSummary waits for the next finished call.
func (m *Harness) NextCallSummary() entry.CallSummary {
	m.tb.Helper()
	const wait = 5 * time.Second
	select {
	case d := <-m.decided:
		return d
	case <-time.After(wait):
		m.tb.Fatal("no call finished")
		return entry.CallSummary{}
	}
}
