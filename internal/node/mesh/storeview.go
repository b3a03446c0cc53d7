package mesh

import (
	"sync"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// lossTTL is how long a daemon counts as unable to reach the store after a report.
const lossTTL = 10 * clock.Second

// storeView is what this daemon and its peers know of the store. It is safe for
// concurrent use.
type storeView struct {
	self      string
	clock     clock.Clock
	startedAt clock.Milli

	mu sync.Mutex
	// readAt is the time of the last successful read of the orders by any daemon, zero if
	// none is known. reader is the daemon that read then.
	readAt clock.Milli
	reader string
	// lostAt has the daemons whose last call to the store failed, with the time of the
	// latest report. That of this daemon is updated while it watches.
	lostAt map[string]clock.Milli
}

func newStoreView(self string, clk clock.Clock) *storeView {
	return &storeView{self: self, clock: clk, startedAt: clk.Now(), lostAt: make(map[string]clock.Milli)}
}

// recordOwn records whether this daemon's last call to the store failed, and reports
// whether peers have to be notified. A daemon that no longer calls the store may reach it
// again, so its loss expires.
func (v *storeView) recordOwn(failing, watching bool) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	wasLost := v.isLostLocked(v.self)
	switch {
	case !failing:
		delete(v.lostAt, v.self)
	case watching:
		v.lostAt[v.self] = v.clock.Now()
	}
	return v.isLostLocked(v.self) != wasLost
}

// isLost reports whether a daemon lost the store.
func (v *storeView) isLost(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isLostLocked(id)
}

// isLostLocked is isLost for a caller that holds the lock.
func (v *storeView) isLostLocked(id string) bool {
	at, ok := v.lostAt[id]
	return ok && v.clock.Now()-at < lossTTL
}

// recordRead records a successful read of the orders by a daemon some time ago.
func (v *storeView) recordRead(reader string, age clock.Milli) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := v.clock.Now() - age
	if at > v.readAt {
		v.readAt, v.reader = at, reader
	}
}

// lastRead returns the time of the last successful read that is known, zero if none is, and
// the daemon that read then.
func (v *storeView) lastRead() (at clock.Milli, reader string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.readAt, v.reader
}

// age returns the time since the last successful read by any known daemon, or since the
// start if none is known.
func (v *storeView) age() clock.Milli {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.clock.Now() - max(v.readAt, v.startedAt)
}

// encode returns the view for a peer. The start of this daemon says nothing about the
// store, so the age is missing until a read is known.
func (v *storeView) encode() *wire.StoreView {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := &wire.StoreView{Lost: v.isLostLocked(v.self)}
	if v.readAt > 0 {
		out.Read, out.AgeMs, out.Reader = true, float64(v.clock.Now()-v.readAt), v.reader
	}
	return out
}

// observe records the view of a peer.
func (v *storeView) observe(id string, w *wire.StoreView) {
	if w == nil || id == "" {
		return
	}
	if w.GetRead() {
		v.recordRead(w.GetReader(), max(0, clock.Milli(w.GetAgeMs())))
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if w.GetLost() {
		v.lostAt[id] = v.clock.Now()
	} else {
		delete(v.lostAt, id)
	}
}
