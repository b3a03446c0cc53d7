// Package health follows the upstream beside a daemon by its heartbeats and health
// checks: which instance it is and whether it may get calls.
package health

import (
	"math"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// Heartbeat is one heartbeat of an upstream.
type Heartbeat struct {
	// Instance is the id of the upstream since its last start.
	Instance string
	// StartedAt is the instant of its start on its own clock, zero if not told.
	StartedAt clock.Milli
	Version   string
	Slots     int
	// Draining says that the upstream takes no new work any more.
	Draining bool
	// ColdRemaining is how much longer the upstream is cold.
	ColdRemaining clock.Milli
	// Seq grows with each heartbeat of an instance.
	Seq uint64
}

// CheckResult is the answer to a health check.
type CheckResult struct {
	Instance      string
	Healthy       bool
	ColdRemaining clock.Milli
	Load          *call.LoadReport
}

// Upstream is what is known of the upstream.
type Upstream struct {
	Instance  string
	StartedAt clock.Milli
	Version   string
	Slots     int
	// Leaving is set from the first sign that the instance drains or ends, and
	// never taken back for that instance.
	Leaving bool
	// Down is set while connections to the upstream fail.
	Down bool
	// ColdUntil is when the upstream is warm.
	ColdUntil clock.Milli
}

// Known reports whether an instance announced itself.
func (u *Upstream) Known() bool {
	return u.Instance != ""
}

// Usable reports whether the upstream may get calls.
func (u *Upstream) Usable() bool {
	return u.Known() && !u.Leaving && !u.Down
}

// anyBirth is later than every birth.
const anyBirth = clock.Milli(math.MaxFloat64)

// maxRetired bounds the instances that are remembered as replaced.
const maxRetired = 64

// Tracker follows the upstream. It is not safe for concurrent use.
type Tracker struct {
	now     Upstream
	seq     uint64
	retired map[string]clock.Milli
}

// New returns a keeper that knows nothing.
func New() *Tracker {
	return &Tracker{retired: make(map[string]clock.Milli)}
}

// Upstream returns what is known now.
func (k *Tracker) Upstream() Upstream {
	return k.now
}

// Restore takes in what an earlier daemon on this VM announced. Heartbeats go
// before it.
func (k *Tracker) Restore(u Upstream) {
	if !k.now.Known() {
		u.Down = true
		k.now = u
	}
}

// HandleHeartbeat takes in a heartbeat. It reports whether the heartbeat is current; one
// of an instance that was replaced or that overtook a newer one is not.
func (k *Tracker) HandleHeartbeat(now clock.Milli, r Heartbeat) bool {
	if k.stale(r) {
		return false
	}
	if r.Instance == k.now.Instance && k.now.StartedAt == 0 {
		// What an earlier daemon stored may lack the birth.
		k.now.StartedAt = r.StartedAt
	}
	if r.Instance != k.now.Instance || r.StartedAt != k.now.StartedAt {
		k.replace(r)
	}
	k.seq = r.Seq
	k.now.Version, k.now.Slots = r.Version, r.Slots
	k.now.Down = false
	k.now.Leaving = k.now.Leaving || r.Draining
	k.cold(now, r.ColdRemaining)
	return true
}

func (k *Tracker) stale(r Heartbeat) bool {
	if born, ok := k.retired[r.Instance]; ok && r.StartedAt <= born {
		return true
	}
	if !k.now.Known() {
		return false
	}
	if r.StartedAt > 0 && k.now.StartedAt > 0 && r.StartedAt != k.now.StartedAt {
		return r.StartedAt < k.now.StartedAt
	}
	return r.Instance == k.now.Instance && r.Seq <= k.seq && k.seq > 0
}

// replace starts to follow another instance.
func (k *Tracker) replace(r Heartbeat) {
	if k.now.Known() && k.now.Instance != r.Instance {
		k.retire(k.now.Instance, k.now.StartedAt)
	}
	k.now = Upstream{Instance: r.Instance, StartedAt: r.StartedAt}
	k.seq = 0
}

// retire remembers an instance that ended. Without a birth, no start under
// that id is believed any more.
func (k *Tracker) retire(instance string, born clock.Milli) {
	if born == 0 {
		born = anyBirth
	}
	if len(k.retired) >= maxRetired {
		k.retired = make(map[string]clock.Milli)
	}
	k.retired[instance] = max(born, k.retired[instance])
}

// HandleDeregister takes in that an instance ends; born is zero if it did not tell its
// start. It reports whether it is the current one.
func (k *Tracker) HandleDeregister(instance string, born clock.Milli) bool {
	if instance == k.now.Instance && born > 0 && born < k.now.StartedAt {
		return false
	}
	if instance != k.now.Instance {
		k.retire(instance, born)
		return false
	}
	k.now.Leaving = true
	return true
}

// HandleCheckResult takes in the answer to a health check. A bad answer alone is no reason
// to stop: the check may be wrong, and calls and heartbeats tell more.
func (k *Tracker) HandleCheckResult(now clock.Milli, h CheckResult) {
	if !k.now.Known() {
		return
	}
	if h.Instance != "" && h.Instance != k.now.Instance {
		// Another instance has the address; its heartbeat will say what it is.
		k.now.Down = true
		return
	}
	if h.Healthy && h.Instance == k.now.Instance {
		k.now.Down = false
	}
	if h.ColdRemaining > 0 {
		k.cold(now, h.ColdRemaining)
	}
}

// HandleConnectFailure takes in that no connection could be made.
func (k *Tracker) HandleConnectFailure() {
	k.now.Down = true
}

// HandleMisdirected takes in that the upstream is not the expected instance.
func (k *Tracker) HandleMisdirected(instance string) {
	if instance == k.now.Instance {
		k.now.Down = true
	}
}

func (k *Tracker) cold(now, left clock.Milli) {
	if left <= 0 {
		k.now.ColdUntil = 0
		return
	}
	k.now.ColdUntil = now + left
}
