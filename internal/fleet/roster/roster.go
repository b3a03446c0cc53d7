// Package roster holds the targets of each service as an entry sees them.
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

// defaultSubset bounds the targets per service to which an entry keeps links
// and views. With 3,200 entries and 3,200 targets, each target then has about
// as many links as its service has callers times the subset over its size.
const defaultSubset = 24

// Listener is told of the new targets of a service.
type Listener func(service string, targets []call.Target)

// snapshot is never changed after it was published.
type snapshot struct {
	all    map[string][]call.Target
	subset map[string][]call.Target
}

// Table holds the targets by service. Reads take no lock.
type Table struct {
	self   string
	centre string
	size   int

	now atomic.Pointer[snapshot]

	mu        sync.Mutex
	members   map[string]member.Fact
	listeners map[string]map[int]Listener
	next      int
}

// Option changes a setting of a table.
type Option func(*Table)

// WithSubset sets the largest number of targets per service that Targets
// returns.
func WithSubset(n int) Option { return func(t *Table) { t.size = n } }

// New returns the empty table of the entry with a peer address and centre.
func New(self, centre string, opts ...Option) *Table {
	t := &Table{
		self: self, centre: centre, size: defaultSubset,
		members: map[string]member.Fact{}, listeners: map[string]map[int]Listener{},
	}
	for _, o := range opts {
		o(t)
	}
	t.now.Store(&snapshot{})
	return t
}

// Targets returns this entry's subset of a service. The slice must not be
// changed.
func (t *Table) Targets(service string) []call.Target { return t.now.Load().subset[service] }

// All returns all targets of a service. The slice must not be changed.
func (t *Table) All(service string) []call.Target { return t.now.Load().all[service] }

// Services returns the known services in order.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.now.Load().all)) }

// Subscribe calls l with the current subset of a service and after each
// change of it, one call at a time. The returned function ends this. A
// listener must not call Apply or Subscribe.
func (t *Table) Subscribe(service string, l Listener) (cancel func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	id := t.next
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

// Apply takes changes of the membership in. A suspected member stays a target:
// the entry's own calls say sooner whether it serves.
func (t *Table) Apply(facts ...member.Fact) {
	t.mu.Lock()
	defer t.mu.Unlock()
	touched := map[string]bool{}
	for _, f := range facts {
		old, known := t.members[f.ID]
		if known && !f.Supersedes(&old) {
			continue
		}
		if known {
			touched[old.Service] = true
		}
		t.members[f.ID] = f
		if f.Status.DeadOrLeft() {
			// The member core keeps the tombstone; it reports no stale fact.
			delete(t.members, f.ID)
		}
		touched[f.Service] = true
	}
	delete(touched, "")
	if len(touched) > 0 {
		t.publish(touched)
	}
}

func (t *Table) publish(touched map[string]bool) {
	old := t.now.Load()
	s := &snapshot{all: maps.Clone(old.all), subset: maps.Clone(old.subset)}
	if s.all == nil {
		s.all, s.subset = map[string][]call.Target{}, map[string][]call.Target{}
	}
	for service := range touched {
		delete(s.all, service)
		delete(s.subset, service)
	}
	for _, f := range t.members {
		if touched[f.Service] {
			s.all[f.Service] = append(s.all[f.Service], target(&f))
		}
	}
	for _, service := range slices.Sorted(maps.Keys(touched)) {
		slices.SortFunc(s.all[service], func(a, b call.Target) int { return cmp.Compare(a.ID, b.ID) })
		if len(s.all[service]) > 0 {
			s.subset[service] = t.choose(s.all[service])
		}
	}
	t.now.Store(s)
	for _, service := range slices.Sorted(maps.Keys(touched)) {
		if slices.Equal(old.subset[service], s.subset[service]) {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(t.listeners[service])) {
			t.listeners[service][id](service, s.subset[service])
		}
	}
}

func target(f *member.Fact) call.Target {
	return call.Target{
		ID: f.ID, Incarnation: f.Incarnation, Service: f.Service, Version: f.Version, Centre: f.Centre,
		Region: f.Region, Slots: f.Slots, MaxConnections: f.Connections, Leaving: f.Leaving,
	}
}

// choose picks the subset by rendezvous hashing: each entry ranks the targets
// in its own order, so load is even over entries, and a change of one member
// changes at most one place. Half of the places go to the own data centre as
// far as it has targets, because calls prefer it; leaving targets need none.
func (t *Table) choose(all []call.Target) []call.Target {
	if len(all) <= t.size {
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
	n := min(len(near), max(t.size/2, t.size-len(far)))
	m := min(len(far), t.size-n)
	out := make([]call.Target, 0, n+m)
	for _, r := range append(near[:n:n], far[:m]...) {
		out = append(out, r.target)
	}
	slices.SortFunc(out, func(a, b call.Target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
