package link

import (
	"encoding/binary"
	"net"
)

const (
	// Layout of a yamux header: version, type, flags, stream id, length.
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0
)

// joinConn joins the header and the body of a yamux data frame, which the
// library writes one after the other, into one write: one system call and,
// with Nagle's algorithm off, one packet and one wake-up of the peer.
type joinConn struct {
	net.Conn
	buf []byte
}

// Write implements net.Conn. Only the session's sending goroutine calls it.
func (c *joinConn) Write(b []byte) (int, error) {
	if len(c.buf) == 0 {
		if isDataHeader(b) {
			c.buf = append(c.buf, b...)
			return len(b), nil
		}
		return c.Conn.Write(b)
	}
	c.buf = append(c.buf, b...)
	_, err := c.Conn.Write(c.buf)
	if cap(c.buf) > pooledBytes {
		c.buf = nil
	}
	c.buf = c.buf[:0]
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// isDataHeader reports whether b is a header that its body follows.
func isDataHeader(b []byte) bool {
	return len(b) == muxHeaderBytes && b[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(b[muxLengthOffset:]) > 0
}
