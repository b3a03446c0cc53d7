// Package entry accepts the calls of callers over HTTP and runs them on the
// guards of the targets that it chooses.
package entry

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
	core "gitlab.com/cranberrytack/cranberrytack/internal/core/probe"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/retry"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/charge"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
)

// bodyReadGrace is how long after the deadline a caller's body may still be read.
const bodyReadGrace = clock.Second

// Roster lists the targets of each service. Version changes whenever the targets
// of any service change.
type Roster interface {
	Targets(service string) []call.Target
	Version() uint64
}

// TargetRules restrict the targets among which the picker chooses.
type TargetRules interface {
	// Allow returns a filter for the targets of a request and the reason for
	// the restriction. A nil filter allows all targets.
	Allow(now clock.Milli, r *call.Request) (func(*call.Target) bool, call.Reason)
	// Fallback returns the filter to use when the filter of Allow leaves no
	// usable target, or nil if there is no fallback.
	Fallback(now clock.Milli, r *call.Request) func(*call.Target) bool
}

// CallSummary describes a finished call, for metrics and reports.
type CallSummary struct {
	// At is the end of the call.
	At              clock.Milli
	Request         *call.Request
	Target          *call.Target
	SelectionReason call.Reason
	Outcome         call.Outcome
	Reason          call.Reason
	Status          int
	Attempts        int
	// RetriesExhausted is set when the call was retried or the retry policy
	// ruled out any further attempt. The caller should not retry it then.
	RetriesExhausted bool
	Latency          clock.Milli
	// RetryIn is the time after which a target that refused the call accepts another one,
	// zero if none said.
	RetryIn clock.Milli
	// RetryAfter is the suggested delay before the caller sends the request
	// again. It is set for calls without a response.
	RetryAfter clock.Milli
}

// Entry is the HTTP handler for callers. It is safe for concurrent use.
type Entry struct {
	self             call.Target
	clock            clock.Clock
	log              zerolog.Logger
	pool             *link.Pool
	roster           Roster
	rules            TargetRules
	seed             uint64
	newRetrier       func() Retrier
	probeLimiter     *probeLimiter
	probeRate        float64
	recordSummary    func(CallSummary)
	protocol         Protocol
	noTargetReason   call.Reason
	maxBufferedBytes int64
	maxInlineBytes   int
	gate             *charge.Gate
	newPicker        func(*rand.Rand) Picker
	quarantine       Quarantine
	latestDeadline   func() clock.Milli
	mu               sync.RWMutex
	services         map[string]*service
	idMu             sync.Mutex
	idRand           *rand.Rand
}

// Option changes an Entry.
type Option func(*Entry)

// WithLogger sets the logger. The default discards all events.
func WithLogger(l zerolog.Logger) Option {
	return func(e *Entry) { e.log = l }
}

// WithSummaryHandler sets the function that receives the summary of each finished
// call. It may be called concurrently.
func WithSummaryHandler(f func(CallSummary)) Option {
	return func(e *Entry) { e.recordSummary = f }
}

// WithBodyLimits sets the size in bytes up to which a request body is read
// completely before the first attempt, and the size up to which it is sent in
// the CallStart message.
func WithBodyLimits(maxBuffered int64, maxInline int) Option {
	return func(e *Entry) { e.maxBufferedBytes, e.maxInlineBytes = maxBuffered, maxInline }
}

// WithGate sets the budget to which calls are charged. Without it, nothing bounds what they
// hold.
func WithGate(g *charge.Gate) Option {
	return func(e *Entry) { e.gate = g }
}

// WithRetrier replaces the constructor of retriers, which is called once for each
// service.
func WithRetrier(f func() Retrier) Option {
	return func(e *Entry) { e.newRetrier = f }
}

// WithLatestDeadline sets a function that returns the latest deadline of a call that is
// accepted, zero if there is none: the end of the daemon, if that is soon. A call with a later
// one could be cut off without a response.
func WithLatestDeadline(f func() clock.Milli) Option {
	return func(e *Entry) { e.latestDeadline = f }
}

// WithSeed sets the seed of request ids and of the pickers' random numbers, which
// makes both reproducible.
func WithSeed(seed uint64) Option {
	return func(e *Entry) { e.seed = seed }
}

// New returns the entry of the daemon that self describes.
func New(self call.Target, clk clock.Clock, pool *link.Pool, roster Roster, rules TargetRules, opts ...Option) *Entry {
	e := &Entry{
		self:             self,
		clock:            clk,
		log:              zerolog.Nop(),
		pool:             pool,
		roster:           roster,
		rules:            rules,
		seed:             rand.Uint64(),
		newRetrier:       func() Retrier { return retry.New() },
		probeRate:        core.RequesterRatePerSecond,
		recordSummary:    func(CallSummary) {},
		protocol:         nativeProtocol{config: defaultPolicy},
		noTargetReason:   call.ReasonUnknownService,
		maxBufferedBytes: link.MaxInlineBodyBytes,
		maxInlineBytes:   link.MaxInlineBodyBytes,
		gate:             charge.New(0, clk, zerolog.Nop()),
		newPicker:        func(r *rand.Rand) Picker { return pick.New(r) },
		quarantine:       noQuarantine{},
		latestDeadline:   func() clock.Milli { return 0 },
		services:         make(map[string]*service),
	}
	for _, o := range opts {
		o(e)
	}
	e.probeLimiter = &probeLimiter{budget: core.NewRequesterBudget(clk.Now(), e.probeRate)}
	e.idRand = rand.New(rand.NewPCG(e.seed, self.Incarnation))
	return e
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, httpReq *http.Request) {
	now := e.clock.Now()
	r := &call.Request{ID: e.newID(), Method: httpReq.Method}
	if reason := e.protocol.ParseRequest(httpReq, r, now); reason != call.ReasonNone {
		e.reject(w, r, reason)
		return
	}
	if latest := e.latestDeadline(); latest > 0 && r.Deadline > latest {
		e.reject(w, r, call.ReasonLeaving)
		return
	}
	svc := e.service(r.Service)
	if svc.hasNoTargets(now, e.roster) {
		e.reject(w, r, e.noTargetReason)
		return
	}
	if httpReq.ContentLength != 0 {
		// The server's own limits cover only the header. An expired read
		// deadline also cancels the request's context, which must not happen
		// before the call's own deadline.
		readDeadline := time.Now().Add((r.Deadline - now + bodyReadGrace).Duration())
		_ = http.NewResponseController(w).SetReadDeadline(readDeadline)
	}
	e.probeIfAllowed(now, svc)
	runner := &callRunner{entry: e, service: svc, request: r, httpReq: httpReq, respWriter: w, startedAt: now}
	runner.run()
}

// MayRepeat reports whether the request may run more than once.
func (e *Entry) MayRepeat(httpReq *http.Request) bool {
	return e.protocol.MayRepeat(httpReq)
}

func (e *Entry) newID() call.ID {
	e.idMu.Lock()
	defer e.idMu.Unlock()
	return call.NewID(e.idRand)
}

func (e *Entry) service(name string) *service {
	e.mu.RLock()
	s := e.services[name]
	e.mu.RUnlock()
	if s != nil {
		return s
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s = e.services[name]; s != nil {
		return s
	}
	s = newService(name, e.newPicker(rand.New(rand.NewPCG(e.seed, uint64(len(e.services))+1))), e.newRetrier())
	// A service without targets is not stored, so that callers can't grow the
	// map by sending arbitrary names.
	if len(e.roster.Targets(name)) > 0 {
		e.services[name] = s
	}
	return s
}

// reject sends a failure response for a request without any attempt.
func (e *Entry) reject(w http.ResponseWriter, r *call.Request, reason call.Reason) {
	e.respondFailure(w, CallSummary{At: e.clock.Now(), Request: r, Outcome: call.OutcomeNotRun, Reason: reason}, false)
}

// respondFailure sends a failure response for a call without a response of an
// upstream. Overdue says that the deadline of the call has passed.
func (e *Entry) respondFailure(w http.ResponseWriter, summary CallSummary, overdue bool) {
	summary.RetryAfter = e.retryAfter(&summary)
	summary.Status = e.protocol.FailureStatus(&summary, overdue)
	e.protocol.SetFailureHeaders(w.Header(), &summary)
	http.Error(w, "request "+summary.Request.ID.String()+" "+summary.Outcome.String()+": "+summary.Reason.String(), summary.Status)
	e.logAndRecord(summary)
}

// logAndRecord logs the end of a call and passes its summary to the handler.
func (e *Entry) logAndRecord(summary CallSummary) {
	ev := e.log.Info()
	if summary.Outcome != call.OutcomeAnswered || summary.Reason != call.ReasonNone {
		ev = e.log.Warn()
	}
	ev = ev.Str("request", summary.Request.ID.String()).Str("service", summary.Request.Service).
		Str("route", summary.Request.Route).Str("outcome", summary.Outcome.String()).Str("reason", summary.Reason.String()).
		Int("status", summary.Status).Int("rank", summary.Request.Priority).Int("attempts", summary.Attempts).Float64("ms", float64(summary.Latency))
	if summary.Request.ClientRequestID != "" {
		ev = ev.Str("label", summary.Request.ClientRequestID)
	}
	if summary.Request.Workspace != "" {
		ev = ev.Str("workspace", summary.Request.Workspace)
	}
	if summary.Target != nil {
		ev = ev.Str("target", summary.Target.ID).Str("centre", summary.Target.Centre).Str("choice", summary.SelectionReason.String())
	}
	ev.Msg("call_routed")
	e.recordSummary(summary)
}
