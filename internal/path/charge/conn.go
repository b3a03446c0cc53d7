package charge

import (
	"context"
	"net"
	"sync"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/memory"
)

// Listener returns a listener whose connections are charged.
func (g *Gate) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, gate: g}
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener. The connection is charged when it is first read, so that
// one that waits for room does not keep others from being accepted.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, address: host(nc.RemoteAddr())}
	c.account = l.gate.Open(c.address, func() { _ = c.Close() })
	return c, nil
}

// Conn is a caller's connection. Between calls, the caller has to act.
type Conn struct {
	net.Conn
	account *Account
	address string
	admit   sync.Once
	refused bool

	mu    sync.Mutex
	calls int
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.admit.Do(c.charge)
	if c.refused {
		return 0, net.ErrClosed
	}
	return c.Conn.Read(p)
}

func (c *Conn) charge() {
	c.refused = !c.account.Take(context.Background(), memory.Connection, ConnectionBytes)
	c.account.Expect(0)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.account.Close()
	return c.Conn.Close()
}

// count adds n to the calls in progress.
func (c *Conn) count(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls += n
	if c.calls > 0 {
		c.account.SetAwaitsRemote(false)
		return
	}
	c.account.Expect(0)
}

type connKey struct{}

// ConnContext is the http.Server.ConnContext of a server with a Listener.
func (g *Gate) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	for {
		if c, ok := nc.(*Conn); ok {
			return context.WithValue(ctx, connKey{}, c)
		}
		wrapped, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return ctx
		}
		nc = wrapped.NetConn()
	}
}

// ReadAhead charges n bytes that are read ahead on the connection of ctx. It is a pipe.Room.
func (g *Gate) ReadAhead(ctx context.Context, n int64) (give func(), ok bool) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return func() {}, true
	}
	return func() { c.account.Give(memory.Call, n) }, c.account.TryTake(memory.Call, n)
}

// OpenCall opens the account of a call on the connection of ctx, which is not ended as long
// as one of its calls is open. The function done ends the account.
func (g *Gate) OpenCall(ctx context.Context, end func()) (a *Account, done func()) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		a = g.Open("", end)
		return a, a.Close
	}
	c.count(1)
	a = g.Open(c.address, end)
	return a, func() {
		a.Close()
		c.count(-1)
	}
}

// host returns the address without its port.
func host(addr net.Addr) string {
	h, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return addr.String()
	}
	return h
}
