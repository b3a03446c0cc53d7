package entry

import (
	"math/rand/v2"
	"sync"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/retry"
)

// Retrier decides on retries and hedges of one service. Its methods are never
// called at the same time.
type Retrier interface {
	RecordFirstAttempt(now clock.Milli)
	Decide(now clock.Milli, a retry.Attempt) retry.Decision
	HedgeDelay(now clock.Milli, a retry.Attempt) (clock.Milli, bool)
	// MayHedge is asked when a hedge is due, as other calls may have spent
	// the budget since it was planned.
	MayHedge() bool
	RecordHedge(now clock.Milli)
}

// Picker chooses the targets of one service. Its methods are never called at
// the same time.
type Picker interface {
	SetTargets(now clock.Milli, targets []call.Target)
	Observe(now clock.Milli, v call.UpstreamState)
	RecordStart(now clock.Milli, id string)
	RecordResult(now clock.Milli, id string, r call.Result)
	Choose(now clock.Milli, q pick.Query) pick.Choice
	// Probe returns the target whose view most needs to be renewed.
	NextProbe(now clock.Milli) (string, bool)
}

// WithPicker replaces the source of pickers, one for each service.
func WithPicker(f func(*rand.Rand) Picker) Option {
	return func(e *Entry) { e.pickers = f }
}

// service is the state of the entry for one service. Its lock guards the
// decision types, which are not safe for concurrent use.
type service struct {
	name string

	mu      sync.Mutex
	picker  Picker
	retry   Retrier
	loaded  bool
	version uint64
	count   int
}

func newService(name string, p Picker, policy Retrier) *service {
	return &service{name: name, picker: p, retry: policy}
}

// empty loads the targets and reports whether there is none.
func (s *service) empty(now clock.Milli, r Roster) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load(now, r)
	return s.count == 0
}

// load takes over the targets of the roster if they changed.
func (s *service) load(now clock.Milli, r Roster) {
	v := r.Version()
	if s.loaded && v == s.version {
		return
	}
	targets := r.Targets(s.name)
	s.loaded, s.version, s.count = true, v, len(targets)
	s.picker.SetTargets(now, targets)
}

// choose returns a copy of the chosen target and counts the call to it.
func (s *service) choose(now clock.Milli, q pick.Query, r Roster, first bool) (call.Target, call.Reason, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A retry must see targets that joined or left during the first attempt.
	s.load(now, r)
	if first {
		s.retry.RecordFirstAttempt(now)
	}
	c := s.picker.Choose(now, q)
	if c.Target == nil {
		return call.Target{}, c.Reason, false
	}
	s.picker.RecordStart(now, c.Target.ID)
	return *c.Target, c.Reason, true
}

// done takes in the end of an attempt.
func (s *service) done(now clock.Milli, id string, r call.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.RecordResult(now, id, r)
	if r.State != nil {
		s.picker.Observe(now, *r.State)
	}
}

// decide asks whether the call is tried again.
func (s *service) decide(now clock.Milli, a retry.Attempt) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retry.Decide(now, a)
}

// hedgeAfter asks when an attempt may be hedged.
func (s *service) hedgeAfter(now clock.Milli, a retry.Attempt) (clock.Milli, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retry.HedgeDelay(now, a)
}

// mayHedge reports whether the budget still allows a hedge that is due.
func (s *service) mayHedge() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retry.MayHedge()
}

// hedged counts a hedge.
func (s *service) hedged(now clock.Milli) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retry.RecordHedge(now)
}

// stale returns the target whose view most needs to be renewed.
func (s *service) stale(now clock.Milli) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.NextProbe(now)
}

// observe takes in a view from a probe.
func (s *service) observe(now clock.Milli, v call.UpstreamState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Observe(now, v)
}
