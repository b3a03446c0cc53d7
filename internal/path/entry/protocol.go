package entry

import (
	"net/http"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
)

// Protocol is how callers speak to the entry. Implementations may be used
// concurrently.
type Protocol interface {
	// ParseRequest fills in what the headers and the path say of a call that arrived
	// at now. It may change the headers that are passed on.
	ParseRequest(hr *http.Request, r *call.Request, now clock.Milli) call.Reason
	// FailureStatus is the status of a call that has no response of an upstream.
	FailureStatus(d *CallSummary, overdue bool) int
	// SetFailureHeaders sets the headers of such a call's answer.
	SetFailureHeaders(h http.Header, d *CallSummary)
	// SetResponseHeaders sets the headers of an answer with an upstream's response.
	SetResponseHeaders(h http.Header, d *CallSummary)
}

// WithProtocol replaces the product's own headers.
func WithProtocol(p Protocol) Option {
	return func(e *Entry) { e.protocol = p }
}

// WithNoTargetReason sets the reason for a service without targets. Without it, such
// a service counts as unknown.
func WithNoTargetReason(r call.Reason) Option {
	return func(e *Entry) { e.unserved = r }
}

// ownProtocol is the product's own interface for callers.
type ownProtocol struct {
	config func() *policy.Config
}

// WithPolicy sets the source of the routes of the product's own interface.
func WithPolicy(config func() *policy.Config) Option {
	return func(e *Entry) { e.protocol = ownProtocol{config: config} }
}

func defaultPolicy() *policy.Config {
	return &policy.Config{}
}

// FailureStatus implements Protocol.
func (ownProtocol) FailureStatus(d *CallSummary, overdue bool) int {
	switch d.Reason {
	case call.ReasonBadRequest, call.ReasonTooDeep:
		return http.StatusBadRequest
	case call.ReasonUnknownService:
		return http.StatusNotFound
	default:
	}
	switch {
	case overdue:
		return http.StatusGatewayTimeout
	case d.Outcome == call.OutcomeUnknown:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// SetFailureHeaders implements Protocol.
func (ownProtocol) SetFailureHeaders(h http.Header, d *CallSummary) {
	h.Set(header.RequestID, d.Request.ID.String())
	h.Set(header.Outcome, d.Outcome.String())
	h.Set(header.Reason, d.Reason.String())
	if d.Outcome == call.OutcomeNotRun && d.Status == http.StatusServiceUnavailable {
		h.Set("Retry-After", "1")
	}
	if d.RetriesExhausted {
		h.Set(header.Retried, "1")
	}
}

// SetResponseHeaders implements Protocol.
func (ownProtocol) SetResponseHeaders(h http.Header, d *CallSummary) {
	h.Set(header.RequestID, d.Request.ID.String())
	h.Set(header.Outcome, call.OutcomeAnswered.String())
	h.Set(header.Target, d.Target.ID)
	h.Set(header.Version, d.Target.Version)
}
