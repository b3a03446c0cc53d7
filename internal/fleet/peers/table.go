package peers

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// snapshot is immutable once it is published.
type snapshot struct {
	targets map[string][]call.Target
	records []Record
	hash    uint64
	buckets [HashBuckets]uint32
}

// HashBuckets is the number of buckets of the records by the hash of their id.
const HashBuckets = 256

// Table holds the newest record of each daemon. It is safe for concurrent use.
type Table struct {
	version atomic.Uint64
	current atomic.Pointer[snapshot]

	mu      sync.Mutex
	records map[string]Record
	// left has, for each daemon, the latest record of an earlier daemon at its address whose
	// upstream was leaving.
	left map[string]Record
	// linked has the ids of the daemons with an open link, and of this one.
	linked map[string]bool
}

// New returns an empty table for the daemon with the peer address self.
func New(self string) *Table {
	t := &Table{records: make(map[string]Record), left: make(map[string]Record), linked: map[string]bool{self: true}}
	t.current.Store(&snapshot{})
	return t
}

// Merge stores each record that supersedes the one held of the same daemon and
// returns the stored ones. It ignores records without an ID.
func (t *Table) Merge(records ...Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var accepted []Record
	for _, r := range records {
		old, known := t.records[r.ID]
		if r.ID == "" || known && !r.Supersedes(&old) {
			continue
		}
		if old.Leaving && old.Incarnation < r.Incarnation {
			t.left[r.ID] = old
		}
		t.records[r.ID] = r
		accepted = append(accepted, r)
	}
	if len(accepted) > 0 {
		t.publish()
	}
	return accepted
}

// SetLinked records whether the link to a daemon is open and reports whether that
// has changed.
func (t *Table) SetLinked(id string, open bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.linked[id] == open {
		return false
	}
	if open {
		t.linked[id] = true
	} else {
		delete(t.linked, id)
	}
	t.publish()
	return true
}

// Lookup returns the newest record of a daemon and whether there is one.
func (t *Table) Lookup(id string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	return r, ok
}

// Predecessor returns the record of an earlier daemon at the address of r in which the
// upstream was leaving, if r does not say so of the same instance or has none yet.
func (t *Table) Predecessor(r Record) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.left[r.ID]
	same := r.Instance == "" || r.Instance == old.Instance && r.StartedAt == old.StartedAt
	return old, ok && old.Incarnation < r.Incarnation && same && !r.Leaving
}

// Records returns the newest record of each daemon, sorted by id. The caller must
// not modify the slice.
func (t *Table) Records() []Record {
	return t.current.Load().records
}

// LinkedIDs returns the sorted ids of the daemons with an open link and of this one.
func (t *Table) LinkedIDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.linked))
}

// Linked returns the records of the daemons with an open link that have not stopped, and
// of this one.
func (t *Table) Linked() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.linked))
	for id := range t.linked {
		if r, ok := t.records[id]; ok && !r.Stopped {
			out = append(out, r)
		}
	}
	return out
}

// Hash returns a hash of the announcements in the table. Tables with the same
// announcements have the same hash.
func (t *Table) Hash() uint64 {
	return t.current.Load().hash
}

// BucketHashes returns a hash of the announcements in each bucket.
func (t *Table) BucketHashes() []uint32 {
	buckets := t.current.Load().buckets
	return buckets[:]
}

// Differing returns the records of the buckets whose hash is not the one in others, all of
// them if others does not have HashBuckets hashes.
func (t *Table) Differing(others []uint32) []Record {
	s := t.current.Load()
	if len(others) != HashBuckets {
		return s.records
	}
	var out []Record
	for i := range s.records {
		if b := bucketOf(s.records[i].ID); s.buckets[b] != others[b] {
			out = append(out, s.records[i])
		}
	}
	return out
}

func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % HashBuckets)
}

// Targets returns the upstreams of a service that can receive calls: those with a
// known instance and an open link that aren't leaving. The caller must not modify
// the slice.
func (t *Table) Targets(service string) []call.Target {
	return t.current.Load().targets[service]
}

// Version increases with each change of the records or links.
func (t *Table) Version() uint64 {
	return t.version.Load()
}

// publish replaces the snapshot that readers see. The caller must hold mu.
func (t *Table) publish() {
	s := &snapshot{targets: make(map[string][]call.Target)}
	for _, r := range t.records {
		s.records = append(s.records, r)
		f := r.fingerprint()
		s.hash ^= f
		s.buckets[bucketOf(r.ID)] ^= uint32(f ^ f>>32)
	}
	slices.SortFunc(s.records, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	for i := range s.records {
		r := &s.records[i]
		if r.Stopped || r.Leaving || r.Instance == "" || !t.linked[r.ID] {
			continue
		}
		s.targets[r.Service] = append(s.targets[r.Service], r.Target())
	}
	t.current.Store(s)
	t.version.Add(1)
}
