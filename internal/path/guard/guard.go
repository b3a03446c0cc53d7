// Package guard forwards the calls of entries to the daemon's own upstream. It is
// the only path to that upstream, so a call that it refuses is certain not to run.
package guard

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/ledger"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/probe"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/charge"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// tickInterval is the interval at which queued calls are checked for expiry.
const tickInterval = 4 * clock.Millisecond

// maxDispatchAfterDrain is how long after StartDrain a queued call may be
// dispatched. A later dispatch violates the invariant assert.Leaving.
const maxDispatchAfterDrain = 3 * clock.Second

// Sample describes a finished call at the upstream. Samples are used to compare
// versions of the upstream.
type Sample struct {
	Request *call.Request
	Status  int
	Failed  bool
	Latency clock.Milli
}

// AdmissionCheck returns the reason to refuse a call that the configuration does
// not allow at this guard, such as a new call in a data centre that is out of
// service. It returns ReasonNone for an allowed call.
type AdmissionCheck func(now clock.Milli, r *call.Request) call.Reason

// Guard dispatches calls to one upstream. It is safe for concurrent use.
type Guard struct {
	self           call.Target
	clock          clock.Clock
	log            zerolog.Logger
	upstream       *upstream
	admissionCheck AdmissionCheck
	recordSample   func(Sample)
	onDispatch     func(now clock.Milli, r *call.Request)
	onNotRun       func(dispatchedAt clock.Milli, r *call.Request)
	protocol       Protocol
	onRequestError func(err error)
	onRefusal      func(r call.Reason)
	preAdmission   func(ctx context.Context, r *call.Request)
	onNotice       func(call.Notice)
	onBreak        func(*call.Request) bool
	gate           *charge.Gate

	mu               sync.Mutex
	probeBudget      *probe.UpstreamBudget
	admitter         Admitter
	ledger           *ledger.Ledger
	pendingDecisions map[call.ID]chan admit.Decision
	// expiryWake wakes the goroutine that expires queued calls.
	expiryWake chan struct{}
	// activeIDs contains each call from its offer to the admitter until its end.
	activeIDs map[call.ID]struct{}
	leaving   bool
	// drainStartedAt is when StartDrain was called.
	drainStartedAt clock.Milli
	activeCalls    int
	// drained is closed when no call is active after StartDrain.
	drained chan struct{}
}

// Admitter decides which calls are dispatched to the upstream. The guard never
// calls it concurrently.
type Admitter interface {
	Drain()
	Offer(now clock.Milli, r admit.Request) []admit.Decision
	Finish(now clock.Milli, id call.ID, r admit.Result) []admit.Decision
	Cancel(now clock.Milli, id call.ID) []admit.Decision
	Tick(now clock.Milli) []admit.Decision
	UpstreamState(now clock.Milli) call.UpstreamState
}

// Option changes a Guard.
type Option func(*Guard)

// WithRequestErrorHandler sets the function that receives the errors of requests
// without a response, unless the call was cancelled or reached its deadline.
func WithRequestErrorHandler(f func(err error)) Option {
	return func(g *Guard) { g.onRequestError = f }
}

// WithRefusalHandler sets the function that receives the reason of each refusal.
func WithRefusalHandler(f func(call.Reason)) Option {
	return func(g *Guard) { g.onRefusal = f }
}

// WithPreAdmissionHook sets a function that runs before a call is offered to the
// admitter.
func WithPreAdmissionHook(f func(ctx context.Context, r *call.Request)) Option {
	return func(g *Guard) { g.preAdmission = f }
}

// WithNoticeHandler sets the function that receives the notice of each valid response
// whose instance is known.
func WithNoticeHandler(f func(call.Notice)) Option {
	return func(g *Guard) { g.onNotice = f }
}

// WithBreakHandler sets the function that receives each call whose connection broke before a
// complete response, although it was neither cancelled nor late. It may take some time, and
// reports whether the call is suspected to crash upstreams.
func WithBreakHandler(f func(*call.Request) bool) Option {
	return func(g *Guard) { g.onBreak = f }
}

// WithGate sets the budget to which calls are charged. Without it, nothing bounds what they
// hold.
func WithGate(g *charge.Gate) Option {
	return func(x *Guard) { x.gate = g }
}

// WithIdleTimeout sets how long an idle connection to the upstream is kept. It must
// be shorter than the upstream's own idle timeout.
func WithIdleTimeout(d clock.Milli) Option {
	return func(g *Guard) { g.upstream.transport.IdleConnTimeout = d.Duration() }
}

// WithLogger sets the logger. The default discards all events.
func WithLogger(l zerolog.Logger) Option {
	return func(g *Guard) { g.log = l }
}

// WithAdmissionCheck sets the check that every call passes before admission.
func WithAdmissionCheck(f AdmissionCheck) Option {
	return func(g *Guard) { g.admissionCheck = f }
}

// WithDispatchHook sets a function that runs right before a request is dispatched.
// It must not call the guard, whose lock is held.
func WithDispatchHook(f func(now clock.Milli, r *call.Request)) Option {
	return func(g *Guard) { g.onDispatch = f }
}

// WithNotRunHook sets a function that runs when the upstream proved not to have run a request
// that was dispatched to it.
func WithNotRunHook(f func(dispatchedAt clock.Milli, r *call.Request)) Option {
	return func(g *Guard) { g.onNotRun = f }
}

// WithSampleHandler sets the function that receives a sample of each call that was
// answered or failed at the upstream.
func WithSampleHandler(f func(Sample)) Option {
	return func(g *Guard) { g.recordSample = f }
}

// WithAdmitter replaces the admitter. The default one admits calls up to the number
// of slots of the target.
func WithAdmitter(a Admitter) Option {
	return func(g *Guard) { g.admitter = a }
}

// New returns the guard of the upstream at addr, which serves as the target self.
func New(self call.Target, addr string, clk clock.Clock, opts ...Option) *Guard {
	g := &Guard{
		self:             self,
		clock:            clk,
		log:              zerolog.Nop(),
		upstream:         newUpstream(addr, self.MaxConnections),
		admissionCheck:   func(clock.Milli, *call.Request) call.Reason { return call.ReasonNone },
		recordSample:     func(Sample) {},
		onDispatch:       func(clock.Milli, *call.Request) {},
		onNotRun:         func(clock.Milli, *call.Request) {},
		protocol:         nativeProtocol{},
		onRequestError:   func(error) {},
		onRefusal:        func(call.Reason) {},
		preAdmission:     func(context.Context, *call.Request) {},
		onNotice:         func(call.Notice) {},
		onBreak:          func(*call.Request) bool { return false },
		gate:             charge.New(0, clk, zerolog.Nop()),
		probeBudget:      probe.NewUpstreamBudget(probe.UpstreamProbesPerWindow),
		admitter:         admit.New(self.Slots),
		ledger:           ledger.New(),
		pendingDecisions: make(map[call.ID]chan admit.Decision),
		expiryWake:       make(chan struct{}, 1),
		activeIDs:        make(map[call.ID]struct{}),
		drained:          make(chan struct{}),
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Serve expires queued calls until ctx ends, and returns the error of ctx.
func (g *Guard) Serve(ctx context.Context) error {
	return g.expireQueuedLoop(ctx)
}

// HandleStream serves the calls and fence requests of one stream until it ends.
func (g *Guard) HandleStream(ctx context.Context, st *link.Stream, first *wire.Frame) {
	s := &stream{guard: g, link: st, frames: make(chan *wire.Frame)}
	s.serve(ctx, first)
}

// Close closes the idle connections to the upstream.
func (g *Guard) Close() {
	g.upstream.transport.CloseIdleConnections()
}

// InProgress returns the number of calls being served, including queued ones.
func (g *Guard) InProgress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.activeCalls
}

// UpstreamState returns the current state of the upstream.
func (g *Guard) UpstreamState() call.UpstreamState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstreamStateLocked()
}

// upstreamStateLocked is UpstreamState for a caller that holds the lock.
func (g *Guard) upstreamStateLocked() call.UpstreamState {
	state := g.admitter.UpstreamState(g.clock.Now())
	state.Target = g.self.ID
	state.Incarnation = g.self.Incarnation
	state.Leaving = state.Leaving || g.leaving
	return state
}

// fence serves a fence request: it bars the request from running here. The outcome
// is OutcomeNotRun if the request has not run, otherwise OutcomeUnknown.
func (g *Guard) fence(f *wire.Fence, offset *link.ClockOffset) call.Outcome {
	id, err := call.IDFromBytes(f.GetId())
	if err != nil || f.GetIncarnation() != g.self.Incarnation {
		return call.OutcomeUnknown
	}
	now := g.clock.Now()
	offset.Observe(now, clock.Milli(f.GetSentAt()))
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Fence(now, id, offset.ToLocal(clock.Milli(f.GetDeadline())))
}
