// Package roster holds the targets of each service for an entry, derived from the
// fleet's membership.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// defaultMaxSubset limits the targets per service to which an entry keeps links and
// whose state it holds. In a fleet of 3,200 entries and 3,200 targets, each target
// thus has about (entries that call its service) * defaultMaxSubset / (targets of its
// service) links.
const defaultMaxSubset = 24

// Listener receives the new targets of a service. It must not modify the slice.
type Listener func(service string, targets []call.Target)

// snapshot is immutable once it is published.
type snapshot struct {
	all    map[string][]call.Target
	subset map[string][]call.Target
}

// Table holds the targets by service. It is safe for concurrent use; reads take no
// lock.
type Table struct {
	self      string
	centre    string
	maxSubset int

	current atomic.Pointer[snapshot]

	mu             sync.Mutex
	members        map[string]member.Fact
	listeners      map[string]map[int]Listener
	lastListenerID int
}

// Option configures a table in New.
type Option func(*Table)

// WithMaxSubset sets the maximum number of targets per service that Targets returns.
func WithMaxSubset(n int) Option { return func(t *Table) { t.maxSubset = n } }

// New returns an empty table for the entry with the peer address self in a data
// centre.
func New(self, centre string, opts ...Option) *Table {
	t := &Table{
		self: self, centre: centre, maxSubset: defaultMaxSubset,
		members: map[string]member.Fact{}, listeners: map[string]map[int]Listener{},
	}
	for _, o := range opts {
		o(t)
	}
	t.current.Store(&snapshot{})
	return t
}

// Targets returns this entry's subset of the targets of a service, sorted by id. The
// caller must not modify the slice.
func (t *Table) Targets(service string) []call.Target { return t.current.Load().subset[service] }

// All returns all targets of a service, sorted by id. The caller must not modify the
// slice.
func (t *Table) All(service string) []call.Target { return t.current.Load().all[service] }

// Services returns the known services, sorted by name.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.current.Load().all)) }

// Subscribe calls l with the current subset of a service and again after each change
// of it, one call at a time. The returned function cancels the subscription. A
// listener must not call Apply, Subscribe or cancel.
func (t *Table) Subscribe(service string, l Listener) (cancel func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastListenerID++
	id := t.lastListenerID
	if t.listeners[service] == nil {
		t.listeners[service] = map[int]Listener{}
	}
	t.listeners[service][id] = l
	l(service, t.Targets(service))
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.listeners[service], id)
	}
}

// Apply applies changes of the membership. A suspected member stays a target, because
// the entry's own calls show sooner whether it serves.
func (t *Table) Apply(facts ...member.Fact) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changedServices := map[string]bool{}
	for _, f := range facts {
		old, known := t.members[f.ID]
		if known && !f.Supersedes(&old) {
			continue
		}
		if known {
			changedServices[old.Service] = true
		}
		t.members[f.ID] = f
		if f.Status.DeadOrLeft() {
			// The member package keeps a tombstone and reports no stale fact, so
			// none is needed here.
			delete(t.members, f.ID)
		}
		changedServices[f.Service] = true
	}
	delete(changedServices, "")
	if len(changedServices) > 0 {
		t.publish(changedServices)
	}
}

func (t *Table) publish(changedServices map[string]bool) {
	old := t.current.Load()
	next := &snapshot{all: maps.Clone(old.all), subset: maps.Clone(old.subset)}
	if next.all == nil {
		next.all, next.subset = map[string][]call.Target{}, map[string][]call.Target{}
	}
	for service := range changedServices {
		delete(next.all, service)
		delete(next.subset, service)
	}
	for _, f := range t.members {
		if changedServices[f.Service] {
			next.all[f.Service] = append(next.all[f.Service], newTarget(&f))
		}
	}
	for _, service := range slices.Sorted(maps.Keys(changedServices)) {
		slices.SortFunc(next.all[service], func(a, b call.Target) int { return cmp.Compare(a.ID, b.ID) })
		if len(next.all[service]) > 0 {
			next.subset[service] = t.chooseSubset(next.all[service])
		}
	}
	t.current.Store(next)
	for _, service := range slices.Sorted(maps.Keys(changedServices)) {
		if slices.Equal(old.subset[service], next.subset[service]) {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(t.listeners[service])) {
			t.listeners[service][id](service, next.subset[service])
		}
	}
}

func newTarget(f *member.Fact) call.Target {
	return call.Target{
		ID: f.ID, Incarnation: f.Incarnation, Service: f.Service, Version: f.Version, Centre: f.Centre,
		Region: f.Region, Slots: f.Slots, MaxConnections: f.Connections, Leaving: f.Leaving,
	}
}

// chooseSubset returns all targets if there are at most maxSubset, otherwise a subset
// selected by rendezvous hashing: each entry sorts the targets by a hash of its own id
// and theirs, so links spread evenly over the targets, and a change of one member
// replaces at most one target. Half of the subset is from the entry's data centre, as
// far as it has targets, because calls prefer it. Leaving targets are left out.
func (t *Table) chooseSubset(all []call.Target) []call.Target {
	if len(all) <= t.maxSubset {
		return all
	}
	type ranked struct {
		weight uint64
		target call.Target
	}
	var near, far []ranked
	for _, c := range all {
		if c.Leaving {
			continue
		}
		r := ranked{weight: xxhash.Sum64String(t.self + "|" + c.ID), target: c}
		if c.Centre == t.centre {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	byWeight := func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) }
	slices.SortFunc(near, byWeight)
	slices.SortFunc(far, byWeight)
	nearCount := min(len(near), max(t.maxSubset/2, t.maxSubset-len(far)))
	farCount := min(len(far), t.maxSubset-nearCount)
	out := make([]call.Target, 0, nearCount+farCount)
	for _, r := range append(near[:nearCount:nearCount], far[:farCount]...) {
		out = append(out, r.target)
	}
	slices.SortFunc(out, func(a, b call.Target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
