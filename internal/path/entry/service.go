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
// called concurrently.
type Retrier interface {
	RecordFirstAttempt(now clock.Milli)
	Decide(now clock.Milli, a retry.Attempt) retry.Decision
	HedgeDelay(now clock.Milli, a retry.Attempt) (clock.Milli, bool)
	// MayHedge reports whether a hedge that is due may start. Other calls may
	// have exhausted the budget since HedgeDelay was called.
	MayHedge() bool
	RecordHedge(now clock.Milli)
}

// Picker chooses the targets of one service. Its methods are never called
// concurrently.
type Picker interface {
	SetTargets(now clock.Milli, targets []call.Target)
	Observe(now clock.Milli, state call.UpstreamState)
	RecordStart(now clock.Milli, id string)
	RecordResult(now clock.Milli, id string, r call.Result)
	Choose(now clock.Milli, q pick.Query) pick.Choice
	// NextProbe returns the id of the target whose upstream state most needs to
	// be refreshed, or false if none does.
	NextProbe(now clock.Milli) (string, bool)
}

// WithPicker replaces the constructor of pickers, which is called once for each
// service.
func WithPicker(f func(*rand.Rand) Picker) Option {
	return func(e *Entry) { e.newPicker = f }
}

// service is the state of the entry for one service. Its lock guards the picker
// and the retrier, which are not safe for concurrent use.
type service struct {
	name string

	mu            sync.Mutex
	picker        Picker
	retrier       Retrier
	targetsLoaded bool
	rosterVersion uint64
	targetCount   int
}

func newService(name string, p Picker, retrier Retrier) *service {
	return &service{name: name, picker: p, retrier: retrier}
}

// hasNoTargets refreshes the targets and reports whether there are none.
func (s *service) hasNoTargets(now clock.Milli, r Roster) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshTargets(now, r)
	return s.targetCount == 0
}

// refreshTargets passes the targets of the roster to the picker if they changed.
// The caller holds the lock.
func (s *service) refreshTargets(now clock.Milli, r Roster) {
	v := r.Version()
	if s.targetsLoaded && v == s.rosterVersion {
		return
	}
	targets := r.Targets(s.name)
	s.targetsLoaded, s.rosterVersion, s.targetCount = true, v, len(targets)
	s.picker.SetTargets(now, targets)
}

// choose returns a copy of the chosen target and records the start of an attempt
// on it.
func (s *service) choose(now clock.Milli, q pick.Query, r Roster, firstAttempt bool) (call.Target, call.Reason, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A retry must see targets that joined or left during the first attempt.
	s.refreshTargets(now, r)
	if firstAttempt {
		s.retrier.RecordFirstAttempt(now)
	}
	c := s.picker.Choose(now, q)
	if c.Target == nil {
		return call.Target{}, c.Reason, false
	}
	s.picker.RecordStart(now, c.Target.ID)
	return *c.Target, c.Reason, true
}

// recordResult records the result of an attempt on the target id.
func (s *service) recordResult(now clock.Milli, id string, r call.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.RecordResult(now, id, r)
	if r.State != nil {
		s.picker.Observe(now, *r.State)
	}
}

// decide returns whether and when the call is retried.
func (s *service) decide(now clock.Milli, a retry.Attempt) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retrier.Decide(now, a)
}

// hedgeDelay returns the delay after which an attempt is hedged, or false if it
// must not be hedged.
func (s *service) hedgeDelay(now clock.Milli, a retry.Attempt) (clock.Milli, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retrier.HedgeDelay(now, a)
}

// mayHedge reports whether a hedge that is due may start.
func (s *service) mayHedge() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retrier.MayHedge()
}

// recordHedge records the start of a hedge.
func (s *service) recordHedge(now clock.Milli) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retrier.RecordHedge(now)
}

// nextProbe returns the id of the target whose upstream state most needs to be
// refreshed, or false if none does.
func (s *service) nextProbe(now clock.Milli) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.NextProbe(now)
}

// observe passes the result of a probe to the picker.
func (s *service) observe(now clock.Milli, state call.UpstreamState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Observe(now, state)
}
