package peers

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// snapshot is never changed after it was published.
type snapshot struct {
	targets map[string][]call.Target
	all     []Record
	hash    uint64
}

// Table holds the newest record of each daemon. It is safe for concurrent use.
type Table struct {
	version atomic.Uint64
	now     atomic.Pointer[snapshot]

	mu      sync.Mutex
	records map[string]Record
	// linked has the daemons to which a link is open.
	linked map[string]bool
}

// New returns a table of the daemon with an address.
func New(self string) *Table {
	t := &Table{records: make(map[string]Record), linked: map[string]bool{self: true}}
	t.now.Store(&snapshot{})
	return t
}

// Merge takes in records and returns those that were new.
func (t *Table) Merge(records ...Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []Record
	for _, r := range records {
		old, known := t.records[r.ID]
		if r.ID == "" || known && !r.Supersedes(&old) {
			continue
		}
		t.records[r.ID] = r
		fresh = append(fresh, r)
	}
	if len(fresh) > 0 {
		t.publish()
	}
	return fresh
}

// SetLinked sets whether a link to a daemon is open. It reports whether that is
// new.
func (t *Table) SetLinked(id string, up bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.linked[id] == up {
		return false
	}
	if up {
		t.linked[id] = true
	} else {
		delete(t.linked, id)
	}
	t.publish()
	return true
}

// Lookup returns the record of a daemon.
func (t *Table) Lookup(id string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	return r, ok
}

// All returns all records in order of their ids. The slice must not be changed.
func (t *Table) All() []Record {
	return t.now.Load().all
}

// LinkedIDs returns the ids of the daemons with an open link and of this one, in
// order.
func (t *Table) LinkedIDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.linked))
}

// Hash tells different tables apart.
func (t *Table) Hash() uint64 {
	return t.now.Load().hash
}

// Targets returns the upstreams of a service that can be reached. The slice
// must not be changed.
func (t *Table) Targets(service string) []call.Target {
	return t.now.Load().targets[service]
}

// Version changes with the targets.
func (t *Table) Version() uint64 {
	return t.version.Load()
}

// publish makes the records visible. The caller holds the lock.
func (t *Table) publish() {
	s := &snapshot{targets: make(map[string][]call.Target)}
	for _, r := range t.records {
		s.all = append(s.all, r)
		s.hash ^= r.stamp()
	}
	slices.SortFunc(s.all, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	for i := range s.all {
		r := &s.all[i]
		if r.Gone || r.Leaving || r.Instance == "" || !t.linked[r.ID] {
			continue
		}
		s.targets[r.Service] = append(s.targets[r.Service], r.Target())
	}
	t.now.Store(s)
	t.version.Add(1)
}
