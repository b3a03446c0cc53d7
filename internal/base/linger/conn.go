package linger

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// quietTime is how long the bytes of a peer remain unread after Close. A caller whose
	// request crosses the close can thus tell that it was not read.
	quietTime = 500 * clock.Millisecond
	// discardBufferBytes is the size of one read of bytes that are discarded.
	discardBufferBytes = 1 << 10
)

// Conn is a TCP connection whose Close waits for the peer in the background.
type Conn struct {
	net.Conn
	tcp      *net.TCPConn
	listener *Listener
	// reading is held by the read in progress.
	reading sync.Mutex

	mu          sync.Mutex
	closed      bool
	lastWriteAt time.Time
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	return c.tcp.Read(p)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.tcp.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWriteAt = time.Now()
	return n, err
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return c.ifOpen(func() error { return c.tcp.SetDeadline(t) })
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	return c.ifOpen(func() error { return c.tcp.SetReadDeadline(t) })
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	return c.ifOpen(func() error { return c.tcp.SetWriteDeadline(t) })
}

// ifOpen calls set unless the connection is closed. After Close, the deadlines belong to the
// wait for the peer.
func (c *Conn) ifOpen(set func() error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return set()
}

func (c *Conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Close ends the writing side and returns. The connection is closed once the peer has closed its
// side, at the latest peerTimeout after the last write.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	until := c.lastWriteAt.Add(peerTimeout.Duration())
	if !time.Now().Before(until) || !c.listener.acquire() {
		return c.tcp.Close()
	}
	if err := c.endStreams(); err != nil {
		c.listener.release()
		return c.tcp.Close()
	}
	go (&closer{conn: c, until: until}).run()
	return nil
}

// endStreams ends reads and writes in progress and the writing side.
func (c *Conn) endStreams() error {
	if err := c.tcp.SetDeadline(expired); err != nil {
		return err
	}
	return c.tcp.CloseWrite()
}

// closer waits for the peer of a connection whose writing side has ended, and closes it.
type closer struct {
	conn  *Conn
	until time.Time
}

func (c *closer) run() {
	defer c.conn.listener.release()
	defer func() { _ = c.conn.tcp.Close() }()
	// A read in progress has to end before the deadline is set again.
	c.conn.reading.Lock()
	defer c.conn.reading.Unlock()
	if !c.awaitPeer() {
		c.discard()
	}
}

// awaitPeer waits until the peer has closed, without reading what it sends, and reports whether it
// has within quietTime.
func (c *closer) awaitPeer() bool {
	deadline := time.Now().Add(quietTime.Duration())
	if c.until.Before(deadline) {
		deadline = c.until
	}
	_ = c.conn.tcp.SetReadDeadline(deadline)
	raw, err := c.conn.tcp.SyscallConn()
	if err != nil {
		return true
	}
	return raw.Read(hasPeerClosed) == nil
}

// discard reads until the peer closes. A peer that writes all of its request before it reads the
// response would otherwise wait for room.
func (c *closer) discard() {
	_ = c.conn.tcp.SetReadDeadline(c.until)
	buf := make([]byte, discardBufferBytes)
	for {
		if _, err := c.conn.tcp.Read(buf); err != nil {
			return
		}
	}
}

// hasPeerClosed reports whether the peer of a socket has ended its writing side or reset the
// connection, also if bytes before that are unread. It is called each time the socket becomes
// readable.
func hasPeerClosed(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	_, err := unix.Poll(fds, 0)
	for errors.Is(err, unix.EINTR) {
		_, err = unix.Poll(fds, 0)
	}
	return fds[0].Revents != 0
}
