package guard

import (
	"net/http"
	"strconv"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
)

// ResponseInfo is what the head of an upstream's response says of the call and of
// the upstream.
type ResponseInfo struct {
	// NotRun says that the upstream states that it did not run the request.
	NotRun bool
	// InvalidReason names what makes the response unusable, empty for nothing.
	InvalidReason string
	// Epoch is what the upstream reports of its start, zero for nothing.
	Epoch uint64
	// Load is nil if the upstream does not tell.
	Load *call.LoadReport
}

// Protocol is how the guard speaks to its upstream. Implementations may be
// used concurrently.
type Protocol interface {
	// SetRequestHeaders sets the headers of a request right before it is handed over.
	SetRequestHeaders(h http.Header, r *call.Request, left clock.Milli)
	// ParseResponse reads the head of a response.
	ParseResponse(resp *http.Response, r *call.Request) ResponseInfo
	// BufferResponses says that a response of moderate size is passed on only when all
	// of it has arrived, so that a broken one can be replaced.
	BufferResponses() bool
}

// WithProtocol replaces the product's own headers.
func WithProtocol(p Protocol) Option {
	return func(g *Guard) { g.protocol = p }
}

// ownProtocol is the product's own interface to upstreams.
type ownProtocol struct{}

// SetRequestHeaders implements Protocol.
func (ownProtocol) SetRequestHeaders(h http.Header, r *call.Request, left clock.Milli) {
	h.Set(header.RequestID, r.ID.String())
	h.Set(header.Depth, strconv.Itoa(r.Depth))
	h.Set(header.TimeoutMs, strconv.Itoa(max(int(left), 1)))
}

// ParseResponse implements Protocol.
func (ownProtocol) ParseResponse(resp *http.Response, _ *call.Request) ResponseInfo {
	var out ResponseInfo
	if e, err := strconv.ParseUint(resp.Header.Get(header.Epoch), 10, 64); err == nil {
		out.Epoch = e
	}
	return out
}

// BufferResponses implements Protocol.
func (ownProtocol) BufferResponses() bool {
	return false
}
