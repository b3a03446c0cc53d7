// Package order holds what operators have ordered: routes, data centres taken
// out and version moves, each as the newest record of its key.
package order

import (
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

// Move asks for the traffic of a service to go to a version.
type Move struct {
	Service string
	Version string
	// MaxDuration is how long the move may take from the order on.
	MaxDuration clock.Milli
	// Offset tells an order from earlier ones for the same service.
	Offset int64
	// ReceivedAt is when this daemon took the order in, or the estimate of a peer.
	ReceivedAt clock.Milli
}

// Directive is a decoded record; exactly one field is set.
type Directive struct {
	Table     *route.Table
	Move      *Move
	CentreOut string
}

// Decoder reads a record. It returns an error for one that can't be followed
// and an empty order for a key that orders nothing here.
type Decoder func(key string, value []byte) (Directive, error)

// ActiveSet is what is in force. It is not changed after it was published.
type ActiveSet struct {
	// Table is nil until the first configuration arrived.
	Table *route.Table
	// Moves has the last move of each service.
	Moves map[string]Move
	// CentresOut has the data centres that are out of service.
	CentresOut map[string]bool
}

// Registry keeps the operators' records. It implements feed.Sink and is safe for
// concurrent use.
type Registry struct {
	decode Decoder
	clock  clock.Clock
	log    zerolog.Logger
	now    atomic.Pointer[ActiveSet]

	mu      sync.Mutex
	records map[string]feed.Item
	parsed  map[string]Directive
	end     int64
	notify  []func(*ActiveSet)
}

// NewRegistry returns a book without orders.
func NewRegistry(decode Decoder, clk clock.Clock, log zerolog.Logger) *Registry {
	b := &Registry{
		decode: decode, clock: clk, log: log,
		records: make(map[string]feed.Item), parsed: make(map[string]Directive),
	}
	b.now.Store(&ActiveSet{})
	return b
}

// Current returns what is in force.
func (b *Registry) Current() *ActiveSet {
	return b.now.Load()
}

// Subscribe calls f after each change. It must be called before the first
// record is applied.
func (b *Registry) Subscribe(f func(*ActiveSet)) {
	b.notify = append(b.notify, f)
}

// NextOffset is the offset after the last record that was applied.
func (b *Registry) NextOffset() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}

// Records returns the newest record of each key.
func (b *Registry) Records() (records []feed.Item, end int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(b.records)) {
		records = append(records, b.records[key])
	}
	return records, b.end
}

// Apply implements feed.Sink. It takes in records that follow each other up to end.
func (b *Registry) Apply(records []feed.Item, end int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	for _, r := range records {
		changed = b.put(r) || changed
	}
	b.end = max(b.end, end)
	if changed {
		b.publish()
	}
}

// Replace implements feed.Sink. It takes in all records in force at end. A set that is older
// than what is known changes nothing.
func (b *Registry) Replace(records []feed.Item, end int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if end < b.end {
		return
	}
	changed := false
	kept := make(map[string]bool, len(records))
	for _, r := range records {
		kept[r.Key] = true
		changed = b.put(r) || changed
	}
	for key, r := range b.records {
		if !kept[key] && !r.Removed && r.Offset < end {
			changed = b.put(feed.Item{Key: key, Offset: r.Offset + 1, Removed: true}) || changed
		}
	}
	b.end = end
	if changed {
		b.publish()
	}
}

// put takes in one record and reports whether it changed what is in force.
func (b *Registry) put(r feed.Item) bool {
	old, known := b.records[r.Key]
	if known && r.Offset <= old.Offset {
		return false
	}
	if r.Removed {
		b.records[r.Key] = r
		_, had := b.parsed[r.Key]
		if old := b.parsed[r.Key]; old.Table != nil {
			// Routes are replaced, never taken back as a whole.
			return false
		}
		delete(b.parsed, r.Key)
		b.log.Info().Str("key", r.Key).Int64("offset", r.Offset).Msg("order_taken_back")
		return had
	}
	o, err := b.decode(r.Key, r.Value)
	if err != nil {
		b.log.Warn().Str("key", r.Key).Int64("offset", r.Offset).Err(err).Msg("order_unreadable")
		return false
	}
	if t := b.parsed[r.Key].Table; t != nil && o.Table != nil && o.Table.Version < t.Version {
		b.log.Warn().Int64("version", o.Table.Version).Int64("in_force", t.Version).Msg("order_outdated")
		return false
	}
	if o.Move != nil {
		o.Move.Offset, o.Move.ReceivedAt = r.Offset, b.clock.Now()
	}
	b.records[r.Key], b.parsed[r.Key] = r, o
	b.log.Info().Str("key", r.Key).Int64("offset", r.Offset).Uint64("hash", xxhash.Sum64(r.Value)).Msg("order_in_force")
	return true
}

// publish makes the records the orders in force. The caller holds the lock.
func (b *Registry) publish() {
	o := &ActiveSet{Moves: make(map[string]Move), CentresOut: make(map[string]bool)}
	for _, p := range b.parsed {
		switch {
		case p.Table != nil:
			o.Table = p.Table
		case p.Move != nil:
			o.Moves[p.Move.Service] = *p.Move
		case p.CentreOut != "":
			o.CentresOut[p.CentreOut] = true
		}
	}
	if old := b.now.Load().Table; old != nil && o.Table != nil {
		assert.That(o.Table.Version >= old.Version, assert.ConfigMonotone,
			"version %d follows %d", o.Table.Version, old.Version)
	}
	b.now.Store(o)
	for _, f := range b.notify {
		f(o)
	}
}
