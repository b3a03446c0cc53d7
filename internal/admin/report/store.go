// Package report records routing decisions and explains in plain sentences how
// traffic was routed and why.
package report

import (
	"sort"
	"sync"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// CounterKey identifies a counter of routing decisions. Decisions that agree in
// all its fields are counted together.
type CounterKey struct {
	// Minute is the time in minutes since the Unix epoch.
	Minute  int64        `json:"minute"`
	Service string       `json:"service"`
	Route   string       `json:"route"`
	Centre  string       `json:"centre"`
	Version string       `json:"version"`
	Reason  call.Reason  `json:"reason"`
	Outcome call.Outcome `json:"outcome"`
}

// Counter is the number of decisions that were recorded for a key.
type Counter struct {
	CounterKey
	Count int64 `json:"count"`
}

// Decision records where one attempt of a request was sent, why, and with which
// outcome.
type Decision struct {
	ID      call.ID      `json:"id"`
	At      clock.Milli  `json:"at_ms"`
	Service string       `json:"service"`
	Route   string       `json:"route"`
	Centre  string       `json:"centre"`
	Version string       `json:"version"`
	Target  string       `json:"target"`
	Reason  call.Reason  `json:"reason"`
	Outcome call.Outcome `json:"outcome"`
}

// EventKind is the kind of a state change of a move.
type EventKind int

// The kinds of events.
//
//go:generate ../../../bin/stringer -type EventKind -linecomment
const (
	EventDraining         EventKind = iota // draining
	EventDone                              // done
	EventReturning                         // returning
	EventReturned                          // returned
	EventBraked                            // braked
	EventTakenBack                         // taken_back
	EventProven                            // proven
	EventBackgroundShed                    // background_shed
	EventTooSmall                          // too_small
	EventTooLittleTraffic                  // too_little_traffic
	EventBlocked                           // blocked
	EventAdopted                           // adopted
)

// Event is a state change of a move. Move is the id of the exception that
// defines the move.
type Event struct {
	At     clock.Milli `json:"at_ms"`
	Move   string      `json:"move"`
	Kind   EventKind   `json:"kind"`
	Detail string      `json:"detail"`
}

// Options configures a Store. Zero fields select defaults.
type Options struct {
	// MaxCounters, MaxDecisions and MaxEvents bound the number of entries kept.
	// When they are reached, further counters are not added, and the oldest
	// decisions and events are discarded.
	MaxCounters  int
	MaxDecisions int
	MaxEvents    int
	// Retention is how long counters are kept. Older ones are deleted when
	// MaxCounters is reached.
	Retention clock.Milli
}

// Store holds counters, recent decisions and events in bounded memory. It is
// safe for concurrent use.
type Store struct {
	mu                sync.Mutex
	opts              Options
	startedAt         clock.Milli
	oldestMinute      int64
	counters          map[CounterKey]int64
	uncountedByMinute map[int64]int64
	decisions         ring[Decision]
	events            ring[Event]
}

// NewStore returns an empty store of a daemon that started at now.
func NewStore(now clock.Milli, o Options) *Store {
	if o.MaxCounters == 0 {
		o.MaxCounters = 20000
	}
	if o.MaxDecisions == 0 {
		o.MaxDecisions = 8192
	}
	if o.MaxEvents == 0 {
		o.MaxEvents = 512
	}
	if o.Retention == 0 {
		o.Retention = 6 * clock.Hour
	}
	return &Store{
		opts: o, startedAt: now, oldestMinute: minuteOf(now), counters: make(map[CounterKey]int64),
		uncountedByMinute: make(map[int64]int64),
		decisions:         newRing[Decision](o.MaxDecisions), events: newRing[Event](o.MaxEvents),
	}
}

func minuteOf(t clock.Milli) int64 {
	return int64(t / clock.Minute)
}

// RecordDecision counts a decision and adds it to the recent decisions.
func (s *Store) RecordDecision(d Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decisions.push(d)
	k := CounterKey{
		Minute: minuteOf(d.At), Service: d.Service, Route: d.Route, Centre: d.Centre,
		Version: d.Version, Reason: d.Reason, Outcome: d.Outcome,
	}
	if _, ok := s.counters[k]; !ok && len(s.counters) >= s.opts.MaxCounters {
		s.prune(k.Minute)
		if len(s.counters) >= s.opts.MaxCounters {
			s.uncountedByMinute[k.Minute]++
			return
		}
	}
	s.counters[k]++
}

// prune deletes counters that are older than the retention period at the given
// minute. It runs only when MaxCounters is reached, so that it rarely delays a
// call.
func (s *Store) prune(minute int64) {
	oldestKept := minute - minuteOf(s.opts.Retention)
	if oldestKept <= s.oldestMinute {
		return
	}
	s.oldestMinute = oldestKept
	for k := range s.counters {
		if k.Minute < oldestKept {
			delete(s.counters, k)
		}
	}
	for m := range s.uncountedByMinute {
		if m < oldestKept {
			delete(s.uncountedByMinute, m)
		}
	}
}

// RecordEvent adds an event to the recent events.
func (s *Store) RecordEvent(e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events.push(e)
}

// Answer returns the records that match a query: the recent decisions on its
// request id or, without one, the counters and events.
func (s *Store) Answer(q *Query) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := Answer{CompleteSince: max(s.startedAt, clock.Milli(s.oldestMinute)*clock.Minute)}
	for m, n := range s.uncountedByMinute {
		if q.overlapsMinute(m) {
			a.Uncounted += n
		}
	}
	for k, n := range s.counters {
		if q.matchesCounter(&k) {
			a.Counters = append(a.Counters, Counter{CounterKey: k, Count: n})
		}
	}
	sort.Slice(a.Counters, func(i, j int) bool { return a.Counters[i].less(&a.Counters[j].CounterKey) })
	for _, d := range s.decisions.all() {
		if q.Request != "" && d.ID.String() == q.Request {
			a.Decisions = append(a.Decisions, d)
		}
	}
	for _, e := range s.events.all() {
		if q.matchesEvent(&e) {
			a.Events = append(a.Events, e)
		}
	}
	return a
}

func (k *CounterKey) less(o *CounterKey) bool {
	switch {
	case k.Minute != o.Minute:
		return k.Minute < o.Minute
	case k.Service != o.Service:
		return k.Service < o.Service
	case k.Route != o.Route:
		return k.Route < o.Route
	case k.Centre != o.Centre:
		return k.Centre < o.Centre
	case k.Version != o.Version:
		return k.Version < o.Version
	case k.Reason != o.Reason:
		return k.Reason < o.Reason
	default:
		return k.Outcome < o.Outcome
	}
}
