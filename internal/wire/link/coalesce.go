package link

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

const (
	// Layout of a yamux frame header: version, type, flags, stream id, length.
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0
)

// coalescingConn merges the header and the body of a yamux data frame, which the
// library writes separately, into one write. This saves a system call and, as
// Nagle's algorithm is off, a packet and a wake-up of the peer.
type coalescingConn struct {
	net.Conn
	pending []byte
	// maxSilence is the longest time without a byte of the peer, in nanoseconds. Zero
	// means that it is not limited.
	maxSilence atomic.Int64
	// onClose is called before the connection is closed.
	onClose func()
}

// Close implements net.Conn.
func (c *coalescingConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *coalescingConn) Read(b []byte) (int, error) {
	if d := time.Duration(c.maxSilence.Load()); d > 0 {
		_ = c.SetReadDeadline(time.Now().Add(d))
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn. Only the session's sending goroutine calls it.
func (c *coalescingConn) Write(b []byte) (int, error) {
	if len(c.pending) == 0 {
		if isDataHeader(b) {
			c.pending = append(c.pending, b...)
			return len(b), nil
		}
		return c.Conn.Write(b)
	}
	c.pending = append(c.pending, b...)
	_, err := c.Conn.Write(c.pending)
	if cap(c.pending) > maxPooledBufferBytes {
		c.pending = nil
	}
	c.pending = c.pending[:0]
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// isDataHeader reports whether b is the header of a data frame with a body.
func isDataHeader(b []byte) bool {
	return len(b) == muxHeaderBytes && b[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(b[muxLengthOffset:]) > 0
}
