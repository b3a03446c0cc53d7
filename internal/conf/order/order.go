// Package order keeps the directives of the operators: route tables, data
// centres taken out of service and version moves. The newest record of each key
// counts.
package order

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/route"
)

// Move directs the traffic of a service to a version.
type Move struct {
	Service string
	Version string
	// MaxDuration limits the time from the directive to the end of the move.
	MaxDuration clock.Milli
	// Position is that of the record. It distinguishes successive moves of the
	// same service.
	Position feed.Position
	// Repeats is set if the record repeats the previous one of the service in a later
	// era of the store.
	Repeats bool
	// ReceivedAt is when this daemon applied the record. A move in progress lowers
	// it if a peer received the record earlier.
	ReceivedAt clock.Milli
}

// Directive is a decoded record. At most one field is set; none is set for a key
// that has no meaning for this daemon.
type Directive struct {
	Table     *route.Table
	Move      *Move
	CentreOut string
}

// Decoder decodes a record. It returns an error for an invalid record and an
// empty Directive for a key that has no meaning for this daemon.
type Decoder func(key string, value []byte) (Directive, error)

// ActiveSet holds the directives in force. It is immutable once published.
type ActiveSet struct {
	// Table is nil until the first configuration has arrived.
	Table *route.Table
	// Moves holds the newest move of each service.
	Moves map[string]Move
	// CentresOut holds the data centres that are out of service.
	CentresOut map[string]bool
}

// Registry stores the operators' records and derives the directives in force. It
// implements feed.Sink and is safe for concurrent use.
type Registry struct {
	decode Decoder
	clock  clock.Clock
	log    zerolog.Logger
	active atomic.Pointer[ActiveSet]

	mu         sync.Mutex
	records    map[string]feed.Item
	directives map[string]Directive
	end        feed.Position
	// settledAt is when the operators have written again what the latest restore of the
	// store lost.
	settledAt clock.Milli
	// restored is set from a restore of the store until a full read after settledAt.
	restored    bool
	hash        atomic.Uint64
	subscribers []func(*ActiveSet)
}

// NewRegistry returns a registry without records. Its ActiveSet is empty.
func NewRegistry(decode Decoder, clk clock.Clock, log zerolog.Logger) *Registry {
	reg := &Registry{
		decode: decode, clock: clk, log: log,
		records: make(map[string]feed.Item), directives: make(map[string]Directive),
	}
	reg.active.Store(&ActiveSet{})
	return reg
}

// Current returns the directives in force. It is never nil.
func (reg *Registry) Current() *ActiveSet {
	return reg.active.Load()
}

// Subscribe registers f to be called after each change, with the registry
// locked. It must be called before the first record is applied.
func (reg *Registry) Subscribe(f func(*ActiveSet)) {
	reg.subscribers = append(reg.subscribers, f)
}

// End returns the position after the last record that was applied.
func (reg *Registry) End() feed.Position {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.end
}

// Hash returns a hash of the directives in force. Registries with the same directives have
// the same hash.
func (reg *Registry) Hash() uint64 {
	return reg.hash.Load()
}

// Records returns the newest record of each key, sorted by key, and the position
// after the last record that was applied.
func (reg *Registry) Records() (records []feed.Item, end feed.Position) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(reg.records)) {
		records = append(records, reg.records[key])
	}
	return records, reg.end
}

// Apply implements feed.Sink. It applies the records that follow those of the last
// call. The position end follows the last record.
func (reg *Registry) Apply(records []feed.Item, end feed.Position) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	changed := reg.advance(end)
	for _, r := range records {
		changed = reg.applyRecord(r) || changed
	}
	if changed {
		reg.publish()
	}
}

// Replace implements feed.Sink. It applies the newest records of all keys before
// the position end and removes the keys that are missing. A set that is older than
// the registry's state is ignored. After a restore of the store, a set may lack what was
// in force; see isDoubtful.
func (reg *Registry) Replace(records []feed.Item, end feed.Position) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.replace(records, end) && reg.isSettled() {
		reg.restored = false
	}
}

// ReplaceFromPeer is Replace for the newest records of all keys of a peer, which may be older
// than what the store has after a restore.
func (reg *Registry) ReplaceFromPeer(records []feed.Item, end feed.Position) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.replace(records, end)
}

// replace reports whether the records are not older than the registry's state. The caller
// holds the lock.
func (reg *Registry) replace(records []feed.Item, end feed.Position) bool {
	if end < reg.end {
		reg.log.Info().Stringer("end", end).Stringer("known_end", reg.end).Msg("orders_stale")
		return false
	}
	changed := reg.advance(end)
	changed = reg.mergeRecords(records) || changed
	if reg.isSettled() {
		changed = reg.removeMissing(records, end) || changed
	}
	if changed {
		reg.publish()
	}
	return true
}

// Merge applies the newest records of a peer whose directives differ at the same end. This
// happens after a restore of the store.
func (reg *Registry) Merge(records []feed.Item) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.mergeRecords(records) {
		reg.publish()
	}
}

// removeMissing removes the keys that have no record in a full read before the position end.
// It reports whether it changed the directives in force. The caller holds the lock.
func (reg *Registry) removeMissing(records []feed.Item, end feed.Position) (changed bool) {
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
	}
	for key, r := range reg.records {
		if !present[key] && !r.Removed && r.Position < end {
			changed = reg.applyRecord(feed.Item{Key: key, Position: r.Position + 1, Removed: true}) || changed
		}
	}
	return changed
}

// applyRecord applies one record and reports whether it changed the directives
// in force. The caller holds the lock.
func (reg *Registry) applyRecord(r feed.Item) bool {
	old, exists := reg.records[r.Key]
	if exists && r.Position <= old.Position && !reg.isNewerTable(r) {
		if !bytes.Equal(r.Value, old.Value) {
			reg.log.Info().Str("key", r.Key).Stringer("position", r.Position).Stringer("known", old.Position).Msg("order_stale")
		}
		return false
	}
	if exists && repeats(r, old) {
		return reg.repeatRecord(r)
	}
	if r.Removed {
		reg.records[r.Key] = r
		_, wasActive := reg.directives[r.Key]
		if old := reg.directives[r.Key]; old.Table != nil {
			// A route table can only be replaced; the removal of its key has no
			// effect on it.
			return false
		}
		delete(reg.directives, r.Key)
		reg.log.Info().Str("key", r.Key).Stringer("position", r.Position).Msg("order_taken_back")
		return wasActive
	}
	d, err := reg.decode(r.Key, r.Value)
	if err != nil {
		reg.log.Warn().Str("key", r.Key).Stringer("position", r.Position).Err(err).Msg("order_unreadable")
		return false
	}
	if t := reg.directives[r.Key].Table; t != nil && d.Table != nil && d.Table.Version < t.Version {
		reg.log.Warn().Int64("version", d.Table.Version).Int64("in_force", t.Version).Msg("order_outdated")
		return false
	}
	if d.Move != nil {
		d.Move.Position, d.Move.ReceivedAt = r.Position, reg.clock.Now()
	}
	reg.records[r.Key], reg.directives[r.Key] = r, d
	reg.log.Info().Str("key", r.Key).Stringer("position", r.Position).Uint64("hash", xxhash.Sum64(r.Value)).Msg("order_in_force")
	return true
}

// publish derives the directives in force from the records and calls the
// subscribers. The caller holds the lock.
func (reg *Registry) publish() {
	active := &ActiveSet{Moves: make(map[string]Move), CentresOut: make(map[string]bool)}
	for _, d := range reg.directives {
		switch {
		case d.Table != nil:
			active.Table = d.Table
		case d.Move != nil:
			active.Moves[d.Move.Service] = *d.Move
		case d.CentreOut != "":
			active.CentresOut[d.CentreOut] = true
		}
	}
	if old := reg.active.Load().Table; old != nil && active.Table != nil {
		assert.That(active.Table.Version >= old.Version, assert.ConfigMonotone,
			"table version %d replaces %d", active.Table.Version, old.Version)
	}
	reg.active.Store(active)
	reg.hash.Store(reg.hashRecords())
	for _, f := range reg.subscribers {
		f(active)
	}
}
