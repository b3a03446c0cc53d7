package shift

import (
	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// zeroWithin is the time after which a version that was braked or taken back
// gets no new call. Entries learn of a brake within the 7 s of a configuration
// change.
const zeroWithin = 7 * clock.Second

// Table answers on the path of a call which version it belongs to. It is
// immutable and allocates nothing.
type Table struct {
	rows []row
}

type row struct {
	service string
	move    string
	version string
	salt    uint64
	share   float64
	// stopped is when this daemon learned that the version failed.
	stopped clock.Milli
}

// Allow reports whether a request may go to a target with a version. The
// answer for an id changes only when the share passes the id's place, so a
// retry stays with its version.
func (t *Table) Allow(service, version string, id call.ID) bool {
	isNew := false
	for i := range t.rows {
		r := &t.rows[i]
		if r.service != service {
			continue
		}
		// A request belongs to the first move that draws it.
		if place(r.salt, id) < r.share {
			return r.version == version
		}
		isNew = isNew || r.version == version
	}
	return !isNew
}

// IsNewVersion reports whether a version is the new one of a move.
func (t *Table) IsNewVersion(service, version string) bool {
	for i := range t.rows {
		if t.rows[i].service == service && t.rows[i].version == version {
			return true
		}
	}
	return false
}

// Share returns the share of the new version of a move.
func (t *Table) Share(move string) float64 {
	for i := range t.rows {
		if t.rows[i].move == move {
			return t.rows[i].share
		}
	}
	return 0
}

// AssertDispatch asserts version_share. Guards call it when they hand a request to
// their upstream.
func (t *Table) AssertDispatch(now clock.Milli, service, version string) bool {
	for i := range t.rows {
		r := &t.rows[i]
		if r.service != service || r.version != version || r.stopped == 0 || now-r.stopped <= zeroWithin {
			continue
		}
		// The check stands before the call, as its arguments allocate.
		return assert.That(false, assert.VersionShare, "version %s began work %.0f ms after move %s failed",
			version, float64(now-r.stopped), r.move)
	}
	return true
}

// place maps an id to 0..1, differently for each move.
func place(salt uint64, id call.ID) float64 {
	h := xxhash.Sum64(id[:]) ^ salt
	// The finaliser of splitmix64 spreads the salt over all bits.
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	h ^= h >> 31
	return float64(h>>11) / (1 << 53)
}
