package inproc

import (
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"
)

// Direction is a direction of transfer through a Proxy.
type Direction int

// The directions through a Proxy.
const (
	// ToGuard is the direction of requests.
	ToGuard Direction = iota
	// ToEntry is the direction of responses.
	ToEntry
)

const copyBufferBytes = 32 << 10

// Proxy forwards TCP connections to one address and can delay, pause or reset
// them. It is safe for concurrent use.
type Proxy struct {
	addr       string
	targetAddr string

	mu sync.Mutex
	// listener is nil while the proxy is stopped.
	listener net.Listener
	cond     *sync.Cond
	paused   [2]bool
	// held counts the chunks that a pause holds back.
	held     int
	maxDelay time.Duration
	conns    map[*net.TCPConn]bool
	wg       sync.WaitGroup
}

// NewProxy starts a proxy to targetAddr. It is closed when the test ends.
func NewProxy(tb testing.TB, targetAddr string) *Proxy {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	p := &Proxy{addr: l.Addr().String(), listener: l, targetAddr: targetAddr, conns: make(map[*net.TCPConn]bool)}
	p.cond = sync.NewCond(&p.mu)
	p.wg.Add(1)
	go p.acceptConns(l)
	tb.Cleanup(func() {
		p.Resume()
		p.Stop()
		p.wg.Wait()
	})
	return p
}

// Address returns the address on which the proxy accepts connections.
func (p *Proxy) Address() string {
	return p.addr
}

// Stop resets all connections and refuses new ones, as if the target had ended.
func (p *Proxy) Stop() {
	p.mu.Lock()
	l := p.listener
	p.listener = nil
	p.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	p.Reset()
}

// Start accepts connections again after Stop.
func (p *Proxy) Start() error {
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = l
	p.wg.Add(1)
	go p.acceptConns(l)
	return nil
}

// Pause stops the transfer in one direction until Resume or Reset is called.
func (p *Proxy) Pause(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused[d] = true
}

// Held returns the number of chunks that a pause holds back.
func (p *Proxy) Held() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// SetMaxDelay sets the maximum delay. Each chunk of bytes is delayed by a random
// time below it; zero means no delay.
func (p *Proxy) SetMaxDelay(maxDelay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxDelay = maxDelay
}

// Resume ends the pauses in both directions and forwards the bytes held back.
func (p *Proxy) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = [2]bool{}
	p.cond.Broadcast()
}

// Reset resets all connections, drops the bytes held back and ends the pauses, so
// later connections are not affected by an earlier Pause.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
		delete(p.conns, c)
	}
	p.paused = [2]bool{}
	p.cond.Broadcast()
}

func (p *Proxy) acceptConns(l net.Listener) {
	defer p.wg.Done()
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.targetAddr)
		if err != nil {
			_ = in.Close()
			continue
		}
		a, _ := in.(*net.TCPConn)
		b, _ := out.(*net.TCPConn)
		p.mu.Lock()
		p.conns[a], p.conns[b] = true, true
		p.mu.Unlock()
		p.wg.Add(2)
		go p.copyDirection(a, b, ToGuard)
		go p.copyDirection(b, a, ToEntry)
	}
}

// copyDirection forwards the bytes of one direction of a connection.
func (p *Proxy) copyDirection(src, dst *net.TCPConn, d Direction) {
	defer p.wg.Done()
	defer func() { _ = dst.CloseWrite() }()
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := src.Read(buf)
		if err != nil || !p.waitWhilePaused(src, d) {
			return
		}
		p.sleepRandomDelay()
		if _, err := dst.Write(buf[:n]); err != nil {
			_ = src.Close()
			return
		}
	}
}

// waitWhilePaused blocks while the direction is paused. It returns false if the
// connection has been reset.
func (p *Proxy) waitWhilePaused(c *net.TCPConn, d Direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held++
	for p.paused[d] && p.conns[c] {
		p.cond.Wait()
	}
	p.held--
	return p.conns[c]
}

// sleepRandomDelay sleeps for a random time below the maximum delay.
func (p *Proxy) sleepRandomDelay() {
	p.mu.Lock()
	maxDelay := p.maxDelay
	p.mu.Unlock()
	if maxDelay > 0 {
		time.Sleep(rand.N(maxDelay))
	}
}
