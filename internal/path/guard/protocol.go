package guard

import (
	"net/http"
	"strconv"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
)

// ResponseInfo is the information about the call and the upstream in the head of
// an upstream's response.
type ResponseInfo struct {
	// NotRun is set if the upstream reports that it did not run the request.
	NotRun bool
	// CloseConn is set if the connection must not be used for another request.
	CloseConn bool
	// InvalidReason describes why the response is invalid; empty if it is valid.
	InvalidReason string
	// Epoch is the upstream's restart counter, 0 if it reports none.
	Epoch uint64
	// Load is the load that the upstream reports, nil if it reports none.
	Load *call.LoadReport
	// Notice is what the upstream states about the calls that it accepts. The guard
	// sets RequestedAt.
	Notice call.Notice
}

// Protocol defines the HTTP interface between the guard and its upstream.
// Implementations must be safe for concurrent use.
type Protocol interface {
	// SetRequestHeaders sets the headers of a request right before it is sent.
	// Remaining is the time until the deadline of the call.
	SetRequestHeaders(h http.Header, r *call.Request, remaining clock.Milli)
	// ParseResponse parses the head of a response to the request r. On a reused connection,
	// bytes that an upstream has sent behind an earlier response may come first.
	ParseResponse(resp *http.Response, r *call.Request, reusedConn bool) ResponseInfo
	// BufferResponses reports whether a response is read completely, up to a
	// size limit, before it is forwarded. A truncated response can then be
	// replaced by a refusal.
	BufferResponses() bool
}

// WithProtocol replaces the default protocol, which uses the Cranberrytack headers.
func WithProtocol(p Protocol) Option {
	return func(g *Guard) { g.protocol = p }
}

// nativeProtocol is the default Protocol, which uses the Cranberrytack headers.
type nativeProtocol struct{}

// SetRequestHeaders implements Protocol.
func (nativeProtocol) SetRequestHeaders(h http.Header, r *call.Request, remaining clock.Milli) {
	h.Set(header.RequestID, r.ID.String())
	h.Set(header.Depth, strconv.Itoa(r.Depth))
	h.Set(header.TimeoutMs, strconv.Itoa(max(int(remaining), 1)))
}

// ParseResponse implements Protocol.
func (nativeProtocol) ParseResponse(resp *http.Response, _ *call.Request, _ bool) ResponseInfo {
	var info ResponseInfo
	if e, err := strconv.ParseUint(resp.Header.Get(header.Epoch), 10, 64); err == nil {
		info.Epoch = e
	}
	return info
}

// BufferResponses implements Protocol.
func (nativeProtocol) BufferResponses() bool {
	return false
}
