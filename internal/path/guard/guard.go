// Package guard runs the calls of entries on the daemon's own upstream. It is
// the only path to that upstream, so its refusals are reliable.
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
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// tickInterval lets queued calls time out soon after their limit.
const tickInterval = 4 * clock.Millisecond

// leaveWithin is the bound of the invariant leaving.
const leaveWithin = 3 * clock.Second

// Sample is the end of a call at the upstream, for the comparison of versions.
type Sample struct {
	Request *call.Request
	Status  int
	Failed  bool
	Latency clock.Milli
}

// AdmissionCheck refuses calls that the configuration does not allow at this guard,
// such as new work in a data centre that is out.
type AdmissionCheck func(now clock.Milli, r *call.Request) call.Reason

// Guard hands calls to one upstream. It is safe for concurrent use.
type Guard struct {
	self     call.Target
	clock    clock.Clock
	log      zerolog.Logger
	upstream *upstream
	gate     AdmissionCheck
	sample   func(Sample)
	started  func(now clock.Milli, r *call.Request)
	protocol Protocol
	failed   func(err error)
	refused  func(r call.Reason)
	before   func(ctx context.Context, r *call.Request)

	mu      sync.Mutex
	probes  *probe.UpstreamBudget
	admit   Admitter
	ledger  *ledger.Ledger
	waiting map[call.ID]chan admit.Decision
	// queued wakes the goroutine that lets calls time out.
	queued chan struct{}
	// held has the calls from their offer to the admitter until their end.
	held    map[call.ID]struct{}
	leaving bool
	// leftAt is when the guard began to leave.
	leftAt clock.Milli
	active int
	idle   chan struct{}
}

// Admitter decides which calls are handed to the upstream. The guard never
// calls it concurrently.
type Admitter interface {
	Drain()
	Offer(now clock.Milli, t admit.Request) []admit.Decision
	Finish(now clock.Milli, id call.ID, r admit.Result) []admit.Decision
	Cancel(now clock.Milli, id call.ID) []admit.Decision
	Tick(now clock.Milli) []admit.Decision
	UpstreamState(now clock.Milli) call.UpstreamState
}

// Option changes a Guard.
type Option func(*Guard)

// WithDialErrorHandler sets the receiver of failures to connect to the upstream.
func WithDialErrorHandler(f func(err error)) Option {
	return func(g *Guard) { g.failed = f }
}

// WithRefusalHandler sets the receiver of the reasons of refusals.
func WithRefusalHandler(f func(call.Reason)) Option {
	return func(g *Guard) { g.refused = f }
}

// WithPreAdmissionHook sets what runs before a call is offered to the admitter.
func WithPreAdmissionHook(f func(ctx context.Context, r *call.Request)) Option {
	return func(g *Guard) { g.before = f }
}

// WithIdleTimeout sets how long a connection to the upstream is kept without a
// request. It must be shorter than the upstream's own limit.
func WithIdleTimeout(d clock.Milli) Option {
	return func(g *Guard) { g.upstream.transport.IdleConnTimeout = d.Duration() }
}

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) Option {
	return func(g *Guard) { g.log = l }
}

// WithAdmissionCheck sets the check that every call passes before admission.
func WithAdmissionCheck(f AdmissionCheck) Option {
	return func(g *Guard) { g.gate = f }
}

// WithDispatchHook sets a check that runs right before a request is handed over.
func WithDispatchHook(f func(now clock.Milli, r *call.Request)) Option {
	return func(g *Guard) { g.started = f }
}

// WithSampleHandler sets the receiver of samples.
func WithSampleHandler(f func(Sample)) Option {
	return func(g *Guard) { g.sample = f }
}

// WithAdmitter replaces the admitter, which by default uses the slots of the
// target.
func WithAdmitter(a Admitter) Option {
	return func(g *Guard) { g.admit = a }
}

// New returns a guard of the upstream at addr.
func New(self call.Target, addr string, clk clock.Clock, opts ...Option) *Guard {
	g := &Guard{
		self:     self,
		clock:    clk,
		log:      zerolog.Nop(),
		upstream: newUpstream(addr, self.MaxConnections),
		gate:     func(clock.Milli, *call.Request) call.Reason { return call.ReasonNone },
		sample:   func(Sample) {},
		started:  func(clock.Milli, *call.Request) {},
		protocol: ownProtocol{},
		failed:   func(error) {},
		refused:  func(call.Reason) {},
		before:   func(context.Context, *call.Request) {},
		probes:   probe.NewUpstreamBudget(probe.UpstreamProbesPerWindow),
		admit:    admit.New(self.Slots),
		ledger:   ledger.New(),
		waiting:  make(map[call.ID]chan admit.Decision),
		queued:   make(chan struct{}, 1),
		held:     make(map[call.ID]struct{}),
		idle:     make(chan struct{}),
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Serve runs the periodic work of the guard until ctx ends.
func (g *Guard) Serve(ctx context.Context) error {
	return g.run(ctx)
}

// HandleStream serves the calls and fences of one stream.
func (g *Guard) HandleStream(ctx context.Context, st *link.Stream, first *wire.Frame) {
	s := &stream{guard: g, link: st, in: make(chan *wire.Frame)}
	s.serve(ctx, first)
}

// Close closes the idle connections to the upstream.
func (g *Guard) Close() {
	g.upstream.transport.CloseIdleConnections()
}

// StartDrain refuses all new calls from now on.
func (g *Guard) StartDrain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving, g.leftAt = true, g.clock.Now()
	g.admit.Drain()
	if g.active == 0 {
		g.closeIdle()
	}
}

// AwaitDrain waits until the calls in progress after Leave have ended. It returns
// the number of calls that were left when ctx ended.
func (g *Guard) AwaitDrain(ctx context.Context) int {
	select {
	case <-g.idle:
		return 0
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.active
	}
}

// InProgress returns the number of calls being served.
func (g *Guard) InProgress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}

// View reports the state of the upstream.
func (g *Guard) View() call.UpstreamState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view()
}

func (g *Guard) view() call.UpstreamState {
	v := g.admit.UpstreamState(g.clock.Now())
	v.Target = g.self.ID
	v.Incarnation = g.self.Incarnation
	v.Leaving = v.Leaving || g.leaving
	return v
}

func (g *Guard) closeIdle() {
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

// enter counts a call; it reports false when the guard is leaving.
func (g *Guard) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return false
	}
	g.active++
	return true
}

func (g *Guard) exit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.leaving && g.active == 0 {
		g.closeIdle()
	}
}

// fence answers a fence request.
func (g *Guard) fence(f *wire.Fence, off *link.ClockOffset) call.Outcome {
	id, err := call.IDFromBytes(f.GetId())
	if err != nil || f.GetIncarnation() != g.self.Incarnation {
		return call.OutcomeUnknown
	}
	now := g.clock.Now()
	off.Observe(now, clock.Milli(f.GetSentAt()))
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Fence(now, id, off.ToLocal(clock.Milli(f.GetDeadline())))
}
