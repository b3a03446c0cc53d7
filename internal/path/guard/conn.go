package guard

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// errRequestNotWritten says that the end of a response can't be told from a reset.
var errRequestNotWritten = errors.New("connection broke while the request was written, and the response states no length")

// upstreamConn is a connection to the upstream. It counts the bytes written, which shows whether
// a failed request can have reached the upstream.
type upstreamConn struct {
	net.Conn
	written       atomic.Int64
	writesBlocked atomic.Bool

	// writing is held during each write.
	writing sync.Mutex
	// broken is set once a write has failed and this daemon had not ended it.
	broken bool
}

func dialUpstream(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout.Duration()}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &upstreamConn{Conn: conn}, nil
}

// Write implements net.Conn.
func (c *upstreamConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	if c.writesBlocked.Load() {
		return 0, net.ErrClosed
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	ended := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
	c.broken = c.broken || err != nil && !ended
	return n, err
}

// endWrites ends the write in progress and prevents further ones. It reports whether one has
// failed before.
func (c *upstreamConn) endWrites() (broken bool) {
	_ = c.SetWriteDeadline(time.Unix(0, 1))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.broken
}

// endsWithConn reports whether the end of the connection is that of the response.
func endsWithConn(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// connBody is the body of a response that ends with its connection. A reset that comes while
// the request is being written fails either the write or the next read. In the first case, the
// read ends like that of a connection that was closed in order.
type connBody struct {
	io.ReadCloser
	conn *upstreamConn
}

// Read implements io.Reader.
func (b *connBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.conn.endWrites() {
		err = errRequestNotWritten
	}
	return n, err
}
