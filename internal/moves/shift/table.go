package shift

import (
	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// maxStopDelay is the longest time for which a version may still get new calls
// after it was braked or taken back. It equals the 7 s within which a
// configuration change reaches all entries.
const maxStopDelay = 7 * clock.Second

// Table decides for each request whether it goes to the old or the new version
// of its service. It is immutable, and its methods allocate nothing.
type Table struct {
	// rows has the latest move first.
	rows []row
}

type row struct {
	service string
	move    string
	version string
	salt    uint64
	share   float64
	// stoppedAt is when this daemon recorded that the version failed; zero if
	// it has not failed.
	stoppedAt clock.Milli
}

// Allow reports whether a request may go to a target of the given version. The
// answer for an id changes only when the share crosses the hash of the id, so a
// retry stays with its version.
func (t *Table) Allow(service, version string, id call.ID) bool {
	isNew := false
	for i := range t.rows {
		r := &t.rows[i]
		if r.service != service {
			continue
		}
		// With several moves, the request belongs to the latest one whose share
		// covers its hash.
		if hashFraction(r.salt, id) < r.share {
			return r.version == version
		}
		isNew = isNew || r.version == version
	}
	return !isNew
}

// IsOldVersion reports whether the version is the one that the running moves of the
// service replace: that of the last move that is done or, if none is, one without a
// move.
func (t *Table) IsOldVersion(service, version string) bool {
	for i := range t.rows {
		r := &t.rows[i]
		if r.service != service {
			continue
		}
		if isDone := r.share >= 1; isDone || r.version == version {
			return isDone && r.version == version
		}
	}
	return true
}

// Share returns the share of the new version in a move, or 0 if the move is
// unknown.
func (t *Table) Share(move string) float64 {
	for i := range t.rows {
		if t.rows[i].move == move {
			return t.rows[i].share
		}
	}
	return 0
}

// AssertDispatch asserts the invariant version_share. Guards call it when they
// dispatch a request to their upstream. The result is false if the invariant is
// violated.
func (t *Table) AssertDispatch(now clock.Milli, service, version string) bool {
	for i := range t.rows {
		r := &t.rows[i]
		if r.service != service || r.version != version || r.stoppedAt == 0 || now-r.stoppedAt <= maxStopDelay {
			continue
		}
		// The condition is tested before this call because its arguments
		// allocate.
		return assert.That(false, assert.VersionShare, "version %s got a call %.0f ms after move %s failed",
			version, float64(now-r.stoppedAt), r.move)
	}
	return true
}

// hashFraction hashes an id to [0, 1). The salt makes the hashes of different
// moves independent.
func hashFraction(salt uint64, id call.ID) float64 {
	h := xxhash.Sum64(id[:]) ^ salt
	// The finaliser of splitmix64 spreads the salt over all bits.
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	h ^= h >> 31
	return float64(h>>11) / (1 << 53)
}
