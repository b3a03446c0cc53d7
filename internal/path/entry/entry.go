// Package entry accepts the calls of callers over HTTP and runs them on the
// guards of chosen targets.
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
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
)

// graceBody is how long after the deadline a caller's body is still read.
const graceBody = clock.Second

// Roster knows the targets of each service. Version changes with the targets.
type Roster interface {
	Targets(service string) []call.Target
	Version() uint64
}

// TargetRules decide beyond the picker which targets a request may use.
type TargetRules interface {
	// Allow returns a filter for the targets of a request and the reason that
	// it applies, or nil.
	Allow(now clock.Milli, r *call.Request) (func(*call.Target) bool, call.Reason)
	// Fallback returns the filter for a request that found no target with
	// Allow, or nil if there is no other.
	Fallback(now clock.Milli, r *call.Request) func(*call.Target) bool
}

// CallSummary is one finished call, for counters and reports.
type CallSummary struct {
	At              clock.Milli
	Request         *call.Request
	Target          *call.Target
	SelectionReason call.Reason
	Outcome         call.Outcome
	Reason          call.Reason
	Status          int
	Attempts        int
	// RetriesExhausted says that the retries of the call are spent.
	RetriesExhausted bool
	Latency          clock.Milli
	// RetryAfter is when a refused call may find room.
	RetryAfter clock.Milli
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	self      call.Target
	clock     clock.Clock
	log       zerolog.Logger
	pool      *link.Pool
	roster    Roster
	rules     TargetRules
	seed      uint64
	retrier   func() Retrier
	probes    *probes
	probeRate float64
	record    func(CallSummary)
	protocol  Protocol
	unserved  call.Reason
	held      int64
	inline    int
	pickers   func(*rand.Rand) Picker
	mu        sync.RWMutex
	services  map[string]*service
	idMu      sync.Mutex
	idRand    *rand.Rand
}

// Option changes an Entry.
type Option func(*Entry)

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) Option {
	return func(e *Entry) { e.log = l }
}

// WithSummaryHandler sets the receiver of finished calls.
func WithSummaryHandler(f func(CallSummary)) Option {
	return func(e *Entry) { e.record = f }
}

// WithBodyLimits sets up to which size a body is read whole before the first
// attempt, and up to which it travels with the start of the call.
func WithBodyLimits(held int64, inline int) Option {
	return func(e *Entry) { e.held, e.inline = held, inline }
}

// WithRetrier replaces the source of retry policies, one for each service.
func WithRetrier(f func() Retrier) Option {
	return func(e *Entry) { e.retrier = f }
}

// WithSeed makes request ids and choices repeatable.
func WithSeed(seed uint64) Option {
	return func(e *Entry) { e.seed = seed }
}

// New returns an entry of the daemon self.
func New(self call.Target, clk clock.Clock, pool *link.Pool, roster Roster, rules TargetRules, opts ...Option) *Entry {
	e := &Entry{
		self:      self,
		clock:     clk,
		log:       zerolog.Nop(),
		pool:      pool,
		roster:    roster,
		rules:     rules,
		seed:      rand.Uint64(),
		retrier:   func() Retrier { return retry.New() },
		probeRate: core.RequesterRatePerSecond,
		record:    func(CallSummary) {},
		protocol:  ownProtocol{config: defaultPolicy},
		unserved:  call.ReasonUnknownService,
		held:      link.MaxInlineBodyBytes,
		inline:    link.MaxInlineBodyBytes,
		pickers:   func(r *rand.Rand) Picker { return pick.New(r) },
		services:  make(map[string]*service),
	}
	for _, o := range opts {
		o(e)
	}
	e.probes = &probes{tokens: core.NewRequesterBudget(clk.Now(), e.probeRate)}
	e.idRand = rand.New(rand.NewPCG(e.seed, self.Incarnation))
	return e
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	now := e.clock.Now()
	r := &call.Request{ID: e.newID(), Method: hr.Method}
	if reason := e.protocol.ParseRequest(hr, r, now); reason != call.ReasonNone {
		e.reject(w, r, reason)
		return
	}
	svc := e.service(r.Service)
	if svc.empty(now, e.roster) {
		e.reject(w, r, e.unserved)
		return
	}
	if hr.ContentLength != 0 {
		// The server's own limits cover only the header. An expired read
		// deadline also cancels the request's context, which must not happen
		// before the call's own deadline.
		limit := time.Now().Add((r.Deadline - now + graceBody).Duration())
		_ = http.NewResponseController(w).SetReadDeadline(limit)
	}
	e.probe(now, svc)
	t := &tries{entry: e, service: svc, request: r, in: hr, out: w, began: now}
	t.run()
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
	s = newService(name, e.pickers(rand.New(rand.NewPCG(e.seed, uint64(len(e.services))+1))), e.retrier())
	// An unknown service is not kept, so that callers can't grow the map.
	if len(e.roster.Targets(name)) > 0 {
		e.services[name] = s
	}
	return s
}

// reject answers a request that was not tried.
func (e *Entry) reject(w http.ResponseWriter, r *call.Request, reason call.Reason) {
	e.finish(w, CallSummary{At: e.clock.Now(), Request: r, Outcome: call.OutcomeNotRun, Reason: reason}, false)
}

// finish answers a call that has no response of an upstream. Overdue says that
// its deadline has passed.
func (e *Entry) finish(w http.ResponseWriter, d CallSummary, overdue bool) {
	d.RetryAfter = e.retryAfter(&d)
	d.Status = e.protocol.FailureStatus(&d, overdue)
	e.protocol.SetFailureHeaders(w.Header(), &d)
	http.Error(w, "request "+d.Request.ID.String()+" "+d.Outcome.String()+": "+d.Reason.String(), d.Status)
	e.note(d)
}

// note logs and records the end of a call.
func (e *Entry) note(d CallSummary) {
	ev := e.log.Info()
	if d.Outcome != call.OutcomeAnswered || d.Reason != call.ReasonNone {
		ev = e.log.Warn()
	}
	ev = ev.Str("request", d.Request.ID.String()).Str("service", d.Request.Service).
		Str("route", d.Request.Route).Str("outcome", d.Outcome.String()).Str("reason", d.Reason.String()).
		Int("status", d.Status).Int("rank", d.Request.Priority).Int("attempts", d.Attempts).Float64("ms", float64(d.Latency))
	if d.Request.ClientRequestID != "" {
		ev = ev.Str("label", d.Request.ClientRequestID)
	}
	if d.Target != nil {
		ev = ev.Str("target", d.Target.ID).Str("centre", d.Target.Centre).Str("choice", d.SelectionReason.String())
	}
	ev.Msg("call_routed")
	e.record(d)
}
