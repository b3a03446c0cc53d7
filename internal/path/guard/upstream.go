package guard

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	dialTimeout = clock.Second
	// idleTimeout is short, so that a connection is rarely reused at the
	// moment that the upstream closes it.
	idleTimeout       = 20 * clock.Second
	maxResponseHeader = 64 << 10
)

// upstream is the HTTP client of the guard's upstream.
type upstream struct {
	base      string
	transport *http.Transport
}

func newUpstream(addr string, connections int) *upstream {
	u := &upstream{base: "http://" + addr}
	u.transport = &http.Transport{
		DialContext:            dialCounting,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout.Duration(),
		MaxResponseHeaderBytes: maxResponseHeader,
		DisableCompression:     true,
		Protocols:              http1Only(),
	}
	return u
}

func http1Only() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// countingConn counts the bytes written, which proves whether a failed
// request reached the upstream.
type countingConn struct {
	net.Conn
	written atomic.Int64
	sealed  atomic.Bool
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func dialCounting(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout.Duration()}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

// trace follows one request on its connection.
type trace struct {
	conn   atomic.Pointer[countingConn]
	before atomic.Int64
	reused atomic.Bool
}

func (t *trace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	t.before.Store(c.written.Load())
	t.reused.Store(info.Reused)
	t.conn.Store(c)
}

// reached reports whether a byte of the request may have reached the upstream.
// It is asked after a failure; the connection is sealed first, so that no
// later write can make a negative answer wrong.
func (t *trace) reached() bool {
	c := t.conn.Load()
	if c == nil {
		return false
	}
	c.sealed.Store(true)
	return c.written.Load() > t.before.Load()
}

// trailerOf returns the announced trailers, still without values.
func trailerOf(c *wire.CallStart) http.Header {
	if len(c.GetTrailers()) == 0 {
		return nil
	}
	h := make(http.Header)
	for _, name := range c.GetTrailers() {
		h[textproto.CanonicalMIMEHeaderKey(name)] = nil
	}
	return h
}

// onceBody hides the type of a body from the HTTP client.
type onceBody struct {
	io.ReadCloser
}

// setBody gives the request a body that the HTTP client can't send a second
// time: it has no GetBody and is not http.NoBody where the client would
// replay a request without one.
func setBody(req *http.Request, c *wire.CallStart, body io.ReadCloser) {
	req.Body = body
	req.ContentLength = c.GetContentLength()
	if req.ContentLength != 0 {
		return
	}
	switch req.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		// The client replays a request with one of these headers.
		if req.Header.Get("Idempotency-Key") == "" && req.Header.Get("X-Idempotency-Key") == "" {
			req.Body = http.NoBody
			return
		}
	}
	// Without a stated encoding, the client starts a goroutine to find out
	// whether the body is empty, and sends some bodies chunked.
	req.Body = onceBody{body}
	req.TransferEncoding = []string{"identity"}
}

func (u *upstream) request(ctx context.Context, p Protocol, t *trace, c *wire.CallStart, body io.ReadCloser, r *call.Request, now clock.Milli) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
	req, err := http.NewRequestWithContext(ctx, c.GetMethod(), u.base+c.GetUri(), nil)
	if err != nil {
		return nil, err
	}
	req.Host = c.GetHost()
	header.Decode(req.Header, c.GetHeaders())
	// The entry has answered the caller's expectation.
	req.Header.Del("Expect")
	setBody(req, c, body)
	p.SetRequestHeaders(req.Header, r, r.Deadline-now)
	return req, nil
}
