package entry

import (
	"net/http"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
)

// Protocol defines the HTTP interface between callers and the entry.
// Implementations must be safe for concurrent use.
type Protocol interface {
	// ParseRequest sets the fields of r from the headers and the path of a
	// request that arrived at now. It may change the headers of httpReq, which
	// are forwarded. A reason other than ReasonNone rejects the request.
	ParseRequest(httpReq *http.Request, r *call.Request, now clock.Milli) call.Reason
	// MayRepeat reports whether the request may run more than once. It doesn't
	// change the request.
	MayRepeat(httpReq *http.Request) bool
	// FailureStatus returns the HTTP status for a call without a response of an
	// upstream. Overdue says that the deadline of the call has passed.
	FailureStatus(summary *CallSummary, overdue bool) int
	// SetFailureHeaders sets the response headers of a call without a response
	// of an upstream.
	SetFailureHeaders(h http.Header, summary *CallSummary)
	// SetResponseHeaders adds headers to the response of an upstream.
	SetResponseHeaders(h http.Header, summary *CallSummary)
}

// WithProtocol replaces the default protocol, which uses the Cranberrytack headers.
func WithProtocol(p Protocol) Option {
	return func(e *Entry) { e.protocol = p }
}

// WithNoTargetReason sets the reason with which calls to a service without targets
// are rejected. The default is ReasonUnknownService.
func WithNoTargetReason(r call.Reason) Option {
	return func(e *Entry) { e.noTargetReason = r }
}

// nativeProtocol is the default Protocol, which uses the Cranberrytack headers.
type nativeProtocol struct {
	config func() *policy.Config
}

// WithPolicy selects the default protocol with the routes of the configuration
// that config returns. It replaces the protocol of an earlier WithProtocol.
func WithPolicy(config func() *policy.Config) Option {
	return func(e *Entry) { e.protocol = nativeProtocol{config: config} }
}

func defaultPolicy() *policy.Config {
	return &policy.Config{}
}

// FailureStatus implements Protocol.
func (nativeProtocol) FailureStatus(summary *CallSummary, overdue bool) int {
	switch summary.Reason {
	case call.ReasonBadRequest, call.ReasonTooDeep:
		return http.StatusBadRequest
	case call.ReasonUnknownService:
		return http.StatusNotFound
	default:
	}
	switch {
	case overdue:
		return http.StatusGatewayTimeout
	case summary.Outcome == call.OutcomeUnknown:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// SetFailureHeaders implements Protocol.
func (nativeProtocol) SetFailureHeaders(h http.Header, summary *CallSummary) {
	h.Set(header.RequestID, summary.Request.ID.String())
	h.Set(header.Outcome, summary.Outcome.String())
	h.Set(header.Reason, summary.Reason.String())
	if summary.Outcome == call.OutcomeNotRun && summary.Status == http.StatusServiceUnavailable {
		h.Set("Retry-After", "1")
	}
	if summary.RetriesExhausted {
		h.Set(header.Retried, "1")
	}
}

// SetResponseHeaders implements Protocol.
func (nativeProtocol) SetResponseHeaders(h http.Header, summary *CallSummary) {
	h.Set(header.RequestID, summary.Request.ID.String())
	h.Set(header.Outcome, call.OutcomeAnswered.String())
	h.Set(header.Target, summary.Target.ID)
	h.Set(header.Version, summary.Target.Version)
}
