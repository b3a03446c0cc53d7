package guard

import (
	"context"
	"io"
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
	// idleTimeout is short, so that the guard rarely reuses a connection that
	// the upstream is closing.
	idleTimeout            = 20 * clock.Second
	maxResponseHeaderBytes = 64 << 10
)

// upstream is the HTTP client of the guard's upstream.
type upstream struct {
	baseURL   string
	transport *http.Transport
}

func newUpstream(addr string, connections int) *upstream {
	u := &upstream{baseURL: "http://" + addr}
	u.transport = &http.Transport{
		DialContext:            dialUpstream,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout.Duration(),
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
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

// connTrace records the connection of one request and the bytes that were written
// to it before the request.
type connTrace struct {
	conn          atomic.Pointer[upstreamConn]
	writtenBefore atomic.Int64
	reused        atomic.Bool
}

func (t *connTrace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*upstreamConn)
	if !ok {
		return
	}
	t.writtenBefore.Store(c.written.Load())
	t.reused.Store(info.Reused)
	t.conn.Store(c)
}

// mayHaveReachedUpstream reports whether a byte of a failed request may have
// reached the upstream. It first blocks further writes to the connection, so that
// the request can't reach the upstream after a negative result.
func (t *connTrace) mayHaveReachedUpstream() bool {
	c := t.conn.Load()
	if c == nil {
		return false
	}
	c.writesBlocked.Store(true)
	return c.written.Load() > t.writtenBefore.Load()
}

// closeConn closes the connection, so that nothing that still arrives on it can be taken
// for the response to a later request.
func (t *connTrace) closeConn() {
	if c := t.conn.Load(); c != nil {
		_ = c.Close()
	}
}

// announcedTrailers returns the announced trailers without values, nil if there are
// none.
func announcedTrailers(c *wire.CallStart) http.Header {
	if len(c.GetTrailers()) == 0 {
		return nil
	}
	h := make(http.Header)
	for _, name := range c.GetTrailers() {
		h[textproto.CanonicalMIMEHeaderKey(name)] = nil
	}
	return h
}

// opaqueBody hides the type of a body from the HTTP client.
type opaqueBody struct {
	io.ReadCloser
}

// setSingleUseBody sets a body that the HTTP client can't send a second time: it
// has no GetBody and is not http.NoBody where the client would replay a request
// without a body.
func setSingleUseBody(req *http.Request, c *wire.CallStart, body io.ReadCloser) {
	req.Body = body
	req.ContentLength = c.GetContentLength()
	if req.ContentLength != 0 {
		return
	}
	switch req.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		if !hasReplayHeader(req.Header) {
			req.Body = http.NoBody
			return
		}
	}
	// Without a stated encoding, the client starts a goroutine to find out
	// whether the body is empty, and sends some bodies chunked.
	req.Body = opaqueBody{body}
	req.TransferEncoding = []string{"identity"}
}

// hasReplayHeader reports whether the HTTP client replays a request without a body because of
// a header. It does so even if the value is empty.
func hasReplayHeader(h http.Header) bool {
	_, hasKey := h["Idempotency-Key"]
	_, hasOtherKey := h["X-Idempotency-Key"]
	return hasKey || hasOtherKey
}

func (u *upstream) newRequest(ctx context.Context, p Protocol, t *connTrace, c *wire.CallStart, body io.ReadCloser, r *call.Request, now clock.Milli) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
	req, err := http.NewRequestWithContext(ctx, c.GetMethod(), u.baseURL+c.GetUri(), nil)
	if err != nil {
		return nil, err
	}
	req.Host = c.GetHost()
	header.Decode(req.Header, c.GetHeaders())
	// The entry has already sent 100 Continue to the caller.
	req.Header.Del("Expect")
	setSingleUseBody(req, c, body)
	p.SetRequestHeaders(req.Header, r, r.Deadline-now)
	return req, nil
}
