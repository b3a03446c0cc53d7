// Package inproc runs an entry, guards and simulated upstreams in one process over
// loopback sockets. Each guard is behind a proxy with which tests inject network
// faults.
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
	// Fleet is the fleet name of all nodes.
	Fleet = "mesh"
	// Service is the service name of all nodes.
	Service = "svc"

	defaultSlots   = 8
	maxConnections = 16
)

// NodeSpec describes a node. At least one of Handler, UpstreamAddr and
// StreamHandler must be set; Handler takes precedence over UpstreamAddr.
type NodeSpec struct {
	// Handler, if set, is served by an upstream that AddNode starts.
	Handler http.HandlerFunc
	// UpstreamAddr is the address of an upstream that the test has started.
	UpstreamAddr string
	// StreamHandler, if set, handles streams in place of the guard, so that tests
	// can simulate a peer that violates the protocol.
	StreamHandler link.StreamHandler
	// Clock is the node's clock; nil means the entry's.
	Clock        clock.Clock
	Slots        int
	GuardOptions []guard.Option
}

// Node is a guard with its upstream, and the proxy through which the entry
// reaches the guard.
type Node struct {
	Target call.Target
	Guard  *guard.Guard
	Proxy  *Proxy
	// PeerAddr is the address of the peer port, which bypasses the proxy.
	PeerAddr string
}

// Harness is an entry and the nodes to which it routes calls. It implements
// entry.Roster and entry.Rules.
type Harness struct {
	Clock clock.Clock
	Pool  *link.Pool
	Entry *entry.Entry
	// URL is the base URL of the entry.
	URL string
	// HTTP is the HTTP server in front of the entry.
	HTTP *http.Server

	tb           testing.TB
	mu           sync.Mutex
	nodes        []*Node
	version      atomic.Uint64
	summaries    chan entry.CallSummary
	policyConfig *policy.Config
}

// New starts an entry without nodes. It is stopped when the test ends.
func New(tb testing.TB, opts ...entry.Option) *Harness {
	tb.Helper()
	const summaryBuffer = 10000
	h := &Harness{Clock: clock.NewReal(), tb: tb, summaries: make(chan entry.CallSummary, summaryBuffer), policyConfig: &policy.Config{}}
	h.Pool = link.NewPool(Identity("entry"), h.Clock)
	opts = append(opts, entry.WithSummaryHandler(func(s entry.CallSummary) { h.summaries <- s }))
	opts = append([]entry.Option{entry.WithPolicy(h.Config)}, opts...)
	h.Entry = entry.New(call.Target{ID: "entry", Centre: "c1"}, h.Clock, h.Pool, h, h, opts...)
	s := httptest.NewServer(h.Entry)
	h.URL, h.HTTP = s.URL, s.Config
	tb.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
		h.Pool.Close()
	})
	return h
}

// Identity returns the handshake identity of a member of Fleet, with
// incarnation 1.
func Identity(member string) link.Identity {
	return link.Identity{Fleet: Fleet, Member: member, Incarnation: 1}
}

// AddNode starts a node and adds it to the entry's targets. It is stopped when the
// test ends.
func (h *Harness) AddNode(spec NodeSpec) *Node {
	h.tb.Helper()
	if spec.Clock == nil {
		spec.Clock = h.Clock
	}
	if spec.Slots == 0 {
		spec.Slots = defaultSlots
	}
	if spec.Handler != nil {
		up := httptest.NewServer(spec.Handler)
		h.tb.Cleanup(func() { up.CloseClientConnections(); up.Close() })
		spec.UpstreamAddr = up.Listener.Addr().String()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.tb.Fatal(err)
	}
	n := &Node{PeerAddr: l.Addr().String(), Proxy: NewProxy(h.tb, l.Addr().String())}
	n.Target = call.Target{
		ID: n.Proxy.Address(), Incarnation: 1, Service: Service, Version: "1", Centre: "c1",
		Slots: spec.Slots, MaxConnections: maxConnections,
	}
	n.Guard = guard.New(n.Target, spec.UpstreamAddr, spec.Clock, spec.GuardOptions...)
	if spec.StreamHandler == nil {
		spec.StreamHandler = n.Guard.HandleStream
	}
	h.serve(n, l, spec)
	h.mu.Lock()
	h.nodes = append(h.nodes, n)
	h.mu.Unlock()
	h.version.Add(1)
	return n
}

func (h *Harness) serve(n *Node, l net.Listener, spec NodeSpec) {
	srv := link.NewServer(Identity(n.Target.ID), spec.Clock, link.WithStreamHandler(spec.StreamHandler),
		link.WithControlHandler(wire.ControlKind_CONTROL_KIND_PROBE, n.Guard.Probe))
	ctx, cancel := context.WithCancel(context.Background())
	serverDone := make(chan struct{})
	go func() { _ = srv.Serve(ctx, l); close(serverDone) }()
	guardDone := make(chan struct{})
	go func() { _ = n.Guard.Serve(ctx); close(guardDone) }()
	h.tb.Cleanup(func() {
		cancel()
		<-serverDone
		<-guardDone
		n.Guard.Close()
	})
}

// Targets implements entry.Roster.
func (h *Harness) Targets(service string) []call.Target {
	if service != Service {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]call.Target, len(h.nodes))
	for i, n := range h.nodes {
		out[i] = n.Target
	}
	return out
}

// Version implements entry.Roster.
func (h *Harness) Version() uint64 {
	return h.version.Load()
}

// Config returns the entry's configuration, which is the zero value.
func (h *Harness) Config() *policy.Config {
	return h.policyConfig
}

// Fallback implements entry.Rules.
func (h *Harness) Fallback(clock.Milli, *call.Request) func(*call.Target) bool {
	return nil
}

// Allow implements entry.Rules.
func (h *Harness) Allow(clock.Milli, *call.Request) (func(*call.Target) bool, call.Reason) {
	return nil, call.ReasonNone
}

// Reply is a response as the caller received it.
type Reply struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    []byte
	// Err is the error of the round trip or of reading the body; nil if the
	// response is complete.
	Err error
}

// OutcomeAndReason returns the response's outcome and reason headers, in this
// order.
func (r Reply) OutcomeAndReason() [2]string {
	return [2]string{r.Header.Get(header.Outcome), r.Header.Get(header.Reason)}
}

// Request returns a request to the entry, to be sent with Do. The headers are
// alternating names and values.
func (h *Harness) Request(method, path string, body io.Reader, headers ...string) *http.Request {
	h.tb.Helper()
	r, err := http.NewRequest(method, h.URL+path, body)
	if err != nil {
		h.tb.Fatal(err)
	}
	r.Header.Set(header.Service, Service)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// Do sends a request on a new connection and reads the response.
func (h *Harness) Do(r *http.Request) Reply {
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

// NextCallSummary returns the summary of the next finished call. It fails the test
// if there is none within 5 s.
func (h *Harness) NextCallSummary() entry.CallSummary {
	h.tb.Helper()
	const timeout = 5 * time.Second
	select {
	case s := <-h.summaries:
		return s
	case <-time.After(timeout):
		h.tb.Fatal("no call finished within 5 s")
		return entry.CallSummary{}
	}
}
