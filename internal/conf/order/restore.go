package order

import (
	"bytes"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
)

// A store that is restored from a copy returns older records, until the operators have
// written again what was lost. What was in force stays in force meanwhile. Route tables are
// ordered by their version. For any other key, a record of the new era replaces one of an
// earlier era at once if it can't be an old copy, otherwise after feed.RestoreSettleTime.

// advance sets the end to that of newer records. It reports whether they begin an era, which
// peers must be notified of. The caller holds the lock.
func (reg *Registry) advance(end feed.Position) (restored bool) {
	restored = len(reg.records) > 0 && end.Era() > reg.end.Era()
	if restored {
		reg.restored = true
		reg.settledAt = reg.clock.Now() + feed.RestoreSettleTime
		reg.log.Warn().Stringer("end", end).Stringer("known_end", reg.end).Msg("orders_restored")
	}
	reg.end = max(reg.end, end)
	return restored
}

// FullReadIn implements feed.FullReadNeeder. After a restore, only a full read shows which of
// the directives in force were lost and not written again.
func (reg *Registry) FullReadIn() (clock.Milli, bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return max(0, reg.settledAt-reg.clock.Now()), reg.restored
}

func (reg *Registry) isSettled() bool {
	return reg.clock.Now() >= reg.settledAt
}

// mergeRecords applies the newest records of all keys, except doubtful ones. It reports
// whether it changed the directives in force. The caller holds the lock.
func (reg *Registry) mergeRecords(records []feed.Item) (changed bool) {
	for _, r := range records {
		if reg.isDoubtful(r) {
			reg.log.Info().Str("key", r.Key).Stringer("position", r.Position).Msg("order_doubtful")
			continue
		}
		if reg.applyRecord(r) {
			changed = true
			reg.expectRestore(r)
		}
	}
	return changed
}

// expectRestore makes a daemon that started after a restore treat a directive of an earlier
// era, which a peer has in force, like one that it had in force itself. The caller holds the
// lock.
func (reg *Registry) expectRestore(r feed.Item) {
	if reg.restored || r.Removed || r.Position.Era() >= reg.end.Era() || reg.directives[r.Key].Table != nil {
		return
	}
	reg.restored = true
	reg.settledAt = reg.clock.Now() + feed.RestoreSettleTime
}

// isDoubtful reports whether a record may be an old copy of a key whose later record was
// lost in a restore: it is not after that one, by offset, and operators may not have written
// again yet. The caller holds the lock.
func (reg *Registry) isDoubtful(r feed.Item) bool {
	old, exists := reg.records[r.Key]
	if !exists || reg.isSettled() || reg.directives[r.Key].Table != nil {
		return false
	}
	return r.Position.Era() > old.Position.Era() && r.Position.Offset() <= old.Position.Offset() && !repeats(r, old)
}

// repeats reports whether r has the content of a record of an earlier era.
func repeats(r, old feed.Item) bool {
	return r.Position.Era() > old.Position.Era() && r.Removed == old.Removed && bytes.Equal(r.Value, old.Value)
}

// repeatRecord replaces a record by one of a later era with the same content. A version move
// gets the new position and continues. It reports whether subscribers need the change. The
// caller holds the lock.
func (reg *Registry) repeatRecord(r feed.Item) bool {
	reg.records[r.Key] = r
	d := reg.directives[r.Key]
	if d.Move == nil {
		return false
	}
	move := *d.Move
	move.Position, move.Repeats = r.Position, true
	d.Move = &move
	reg.directives[r.Key] = d
	return true
}

// isNewerTable reports whether a record has a later version of the route table in force. Such
// a record counts whatever its position. The caller holds the lock.
func (reg *Registry) isNewerTable(r feed.Item) bool {
	t := reg.directives[r.Key].Table
	if t == nil || r.Removed {
		return false
	}
	d, err := reg.decode(r.Key, r.Value)
	return err == nil && d.Table != nil && d.Table.Version > t.Version
}

// hashRecords returns the hash of the keys and values in force. The caller holds the lock.
func (reg *Registry) hashRecords() uint64 {
	digest := xxhash.New()
	for _, key := range slices.Sorted(maps.Keys(reg.directives)) {
		_, _ = digest.WriteString(key)
		_, _ = digest.Write(reg.records[key].Value)
	}
	return digest.Sum64()
}
