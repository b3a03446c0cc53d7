package mesh

import (
	"sync"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// recordsView says how current the records are that this daemon has of all others. Whatever
// follows from the absence of a record depends on it. It is safe for concurrent use.
type recordsView struct {
	mu sync.Mutex
	// complete is set once this daemon has had the records of all others since its start.
	complete bool
	// readAt is when the store last had no records that this daemon lacks, zero before the
	// first read.
	readAt clock.Milli
}

// recordRead records that this daemon has all records that the store had at a time.
func (v *recordsView) recordRead(at clock.Milli) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.complete = true
	v.readAt = max(v.readAt, at)
}

// setComplete records that this daemon has all records of a peer that has those of all daemons.
func (v *recordsView) setComplete() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.complete = true
}

// isComplete reports whether this daemon has had the records of all others since its start.
// Without them, it knows only itself and the daemons that have opened a link to it.
func (v *recordsView) isComplete() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.complete
}

// hasReadSince reports whether this daemon has all records that the store had at a time.
func (v *recordsView) hasReadSince(at clock.Milli) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.readAt >= at
}
