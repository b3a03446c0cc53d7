package guard

import (
	"net/http"
	"strconv"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
)

// Response is what the head of an upstream's response says of the call and of
// the upstream.
type Response struct {
	// NotRun says that the upstream states that it did not run the request.
	NotRun bool
	// Invalid names what makes the response unusable, empty for nothing.
	Invalid string
	// Epoch is what the upstream reports of its start, zero for nothing.
	Epoch uint64
	// Load is nil if the upstream does not tell.
	Load *call.Load
}

// Protocol is how the guard speaks to its upstream. Implementations may be
// used concurrently.
type Protocol interface {
	// Request sets the headers of a request right before it is handed over.
	Request(h http.Header, r *call.Request, left clock.Milli)
	// Response reads the head of a response.
	Response(resp *http.Response, r *call.Request) Response
	// Whole says that a response of moderate size is passed on only when all
	// of it has arrived, so that a broken one can be replaced.
	Whole() bool
}

// WithProtocol replaces the product's own headers.
func WithProtocol(p Protocol) Option {
	return func(g *Guard) { g.protocol = p }
}

// ownProtocol is the product's own interface to upstreams.
type ownProtocol struct{}

// Request implements Protocol.
func (ownProtocol) Request(h http.Header, r *call.Request, left clock.Milli) {
	h.Set(header.RequestID, r.ID.String())
	h.Set(header.Depth, strconv.Itoa(r.Depth))
	h.Set(header.TimeoutMs, strconv.Itoa(max(int(left), 1)))
}

// Response implements Protocol.
func (ownProtocol) Response(resp *http.Response, _ *call.Request) Response {
	var out Response
	if e, err := strconv.ParseUint(resp.Header.Get(header.Epoch), 10, 64); err == nil {
		out.Epoch = e
	}
	return out
}

// Whole implements Protocol.
func (ownProtocol) Whole() bool {
	return false
}
