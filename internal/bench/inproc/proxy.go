package inproc

import (
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"
)

// Direction is one way through a link.
type Direction int

// The directions.
const (
	// ToGuard carries requests.
	ToGuard Direction = iota
	// ToEntry carries responses.
	ToEntry
)

const linkBuffer = 32 << 10

// Proxy forwards TCP connections and can delay, hold back or reset them.
type Proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	cond  *sync.Cond
	held  [2]bool
	delay time.Duration
	conns map[*net.TCPConn]bool
	wg    sync.WaitGroup
}

// NewProxy returns a link to the address that closes with the test.
func NewProxy(tb testing.TB, to string) *Proxy {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	k := &Proxy{listener: l, to: to, conns: make(map[*net.TCPConn]bool)}
	k.cond = sync.NewCond(&k.mu)
	k.wg.Add(1)
	go k.run()
	tb.Cleanup(func() {
		_ = l.Close()
		k.Resume()
		k.Reset()
		k.wg.Wait()
	})
	return k
}

// Address is where the link accepts connections.
func (k *Proxy) Address() string {
	return k.listener.Addr().String()
}

// Pause stops the bytes of one direction until Release.
func (k *Proxy) Pause(d Direction) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held[d] = true
}

// SetMaxDelay sets the longest delay of bytes, which is drawn anew for each piece.
func (k *Proxy) SetMaxDelay(most time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = most
}

// Resume lets held bytes of both directions pass.
func (k *Proxy) Resume() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = [2]bool{}
	k.cond.Broadcast()
}

// Reset resets all connections and drops the bytes that are held. Later
// connections are not affected by an earlier Hold.
func (k *Proxy) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
		delete(k.conns, c)
	}
	k.held = [2]bool{}
	k.cond.Broadcast()
}

func (k *Proxy) run() {
	defer k.wg.Done()
	for {
		in, err := k.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", k.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		a, _ := in.(*net.TCPConn)
		b, _ := out.(*net.TCPConn)
		k.mu.Lock()
		k.conns[a], k.conns[b] = true, true
		k.mu.Unlock()
		k.wg.Add(2)
		go k.loop(a, b, ToGuard)
		go k.loop(b, a, ToEntry)
	}
}

// loop copies one direction of a connection.
func (k *Proxy) loop(src, dst *net.TCPConn, d Direction) {
	defer k.wg.Done()
	defer func() { _ = dst.CloseWrite() }()
	buf := make([]byte, linkBuffer)
	for {
		n, err := src.Read(buf)
		if err != nil || !k.pass(src, d) {
			return
		}
		k.wait()
		if _, err := dst.Write(buf[:n]); err != nil {
			_ = src.Close()
			return
		}
	}
}

// pass waits while the direction is held. It reports false for a connection
// that was reset meanwhile.
func (k *Proxy) pass(c *net.TCPConn, d Direction) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.held[d] && k.conns[c] {
		k.cond.Wait()
	}
	return k.conns[c]
}

// wait delays a piece of bytes.
func (k *Proxy) wait() {
	k.mu.Lock()
	most := k.delay
	k.mu.Unlock()
	if most > 0 {
		time.Sleep(rand.N(most))
	}
}
