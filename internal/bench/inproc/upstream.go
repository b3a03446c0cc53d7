package inproc

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// RawUpstream starts an upstream that passes every request to serve, after reading
// its body, and returns the upstream's address. serve writes the raw response and
// returns false to close the connection.
func RawUpstream(tb testing.TB, serve func(c *net.TCPConn, r *http.Request) bool) string {
	tb.Helper()
	return startRawUpstream(tb, func(c *net.TCPConn, r *http.Request) bool {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		return serve(c, r)
	})
}

// EarlyUpstream is RawUpstream for responses that begin before the body of the request is
// read. serve may read the body, and the connection is closed afterwards.
func EarlyUpstream(tb testing.TB, serve func(c *net.TCPConn, r *http.Request)) string {
	tb.Helper()
	return startRawUpstream(tb, func(c *net.TCPConn, r *http.Request) bool {
		serve(c, r)
		return false
	})
}

func startRawUpstream(tb testing.TB, serve func(c *net.TCPConn, r *http.Request) bool) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	u := &rawUpstream{listener: l, serve: serve, conns: make(map[net.Conn]bool)}
	u.wg.Add(1)
	go u.acceptConns()
	tb.Cleanup(u.close)
	return l.Addr().String()
}

type rawUpstream struct {
	listener net.Listener
	serve    func(c *net.TCPConn, r *http.Request) bool
	mu       sync.Mutex
	conns    map[net.Conn]bool
	wg       sync.WaitGroup
}

func (u *rawUpstream) close() {
	_ = u.listener.Close()
	u.mu.Lock()
	for c := range u.conns {
		_ = c.Close()
	}
	u.mu.Unlock()
	u.wg.Wait()
}

func (u *rawUpstream) acceptConns() {
	defer u.wg.Done()
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()
		u.wg.Add(1)
		go u.serveConn(c)
	}
}

func (u *rawUpstream) serveConn(c net.Conn) {
	defer u.wg.Done()
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		tcp, _ := c.(*net.TCPConn)
		if !u.serve(tcp, r) {
			return
		}
	}
}
