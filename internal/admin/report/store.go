// Package report explains in plain sentences how traffic was routed and why.
package report

import (
	"sort"
	"sync"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// Key names a decision counter.
type Key struct {
	// Minute is the number of the minute since the Unix epoch.
	Minute  int64        `json:"minute"`
	Service string       `json:"service"`
	Route   string       `json:"route"`
	Centre  string       `json:"centre"`
	Version string       `json:"version"`
	Reason  call.Reason  `json:"reason"`
	Outcome call.Outcome `json:"outcome"`
}

// Counter is a key with its count.
type Counter struct {
	Key
	Count int64 `json:"count"`
}

// Decision is one routing decision.
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

// EventKind says what happened to a move.
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

// Event is something that happened to a move. Move is an exception id.
type Event struct {
	At     clock.Milli `json:"at_ms"`
	Move   string      `json:"move"`
	Kind   EventKind   `json:"kind"`
	Detail string      `json:"detail"`
}

// Options are the settings of a Store.
type Options struct {
	// Keys bounds the counters, Decisions and Events the two rings.
	MaxCounters  int
	MaxDecisions int
	MaxEvents    int
	// Keep is how long counters stay.
	Retention clock.Milli
}

// Store holds counters, recent decisions and events in bounded memory. It may
// be used concurrently.
type Store struct {
	mu        sync.Mutex
	opts      Options
	started   clock.Milli
	oldest    int64
	counters  map[Key]int64
	uncounted map[int64]int64
	decisions ring[Decision]
	events    ring[Event]
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
		opts: o, started: now, oldest: minuteOf(now), counters: make(map[Key]int64),
		uncounted: make(map[int64]int64),
		decisions: newRing[Decision](o.MaxDecisions), events: newRing[Event](o.MaxEvents),
	}
}

func minuteOf(t clock.Milli) int64 {
	return int64(t / clock.Minute)
}

// RecordDecision counts and keeps one decision.
func (s *Store) RecordDecision(d Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decisions.push(d)
	k := Key{
		Minute: minuteOf(d.At), Service: d.Service, Route: d.Route, Centre: d.Centre,
		Version: d.Version, Reason: d.Reason, Outcome: d.Outcome,
	}
	if _, ok := s.counters[k]; !ok && len(s.counters) >= s.opts.MaxCounters {
		s.prune(k.Minute)
		if len(s.counters) >= s.opts.MaxCounters {
			s.uncounted[k.Minute]++
			return
		}
	}
	s.counters[k]++
}

// prune drops counters that are too old. It runs only when space is short, so
// that the path of a call rarely pays for it.
func (s *Store) prune(minute int64) {
	first := minute - minuteOf(s.opts.Retention)
	if first <= s.oldest {
		return
	}
	s.oldest = first
	for k := range s.counters {
		if k.Minute < first {
			delete(s.counters, k)
		}
	}
	for m := range s.uncounted {
		if m < first {
			delete(s.uncounted, m)
		}
	}
}

// RecordEvent keeps an event.
func (s *Store) RecordEvent(e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events.push(e)
}

// Answer returns what the store knows about a query.
func (s *Store) Answer(q *Query) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := Answer{Since: max(s.started, clock.Milli(s.oldest)*clock.Minute)}
	for m, n := range s.uncounted {
		if q.covers(m) {
			a.Uncounted += n
		}
	}
	for k, n := range s.counters {
		if q.wantsCounter(&k) {
			a.Counters = append(a.Counters, Counter{Key: k, Count: n})
		}
	}
	sort.Slice(a.Counters, func(i, j int) bool { return a.Counters[i].less(&a.Counters[j].Key) })
	for _, d := range s.decisions.all() {
		if q.Request != "" && d.ID.String() == q.Request {
			a.Decisions = append(a.Decisions, d)
		}
	}
	for _, e := range s.events.all() {
		if q.wantsEvent(&e) {
			a.Events = append(a.Events, e)
		}
	}
	return a
}

func (k *Key) less(o *Key) bool {
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
