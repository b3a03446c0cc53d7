// Package health tracks the upstream beside a daemon from its heartbeats, its health
// checks and failed connections: which instance runs and whether it may receive
// calls.
package health

import (
	"math"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// Heartbeat is the content of one heartbeat of an upstream.
type Heartbeat struct {
	// Instance is the id of the running upstream instance.
	Instance string
	// StartedAt is the start time of the instance on its own clock, zero if the
	// heartbeat has none.
	StartedAt clock.Milli
	Version   string
	Slots     int
	// Draining is set when the upstream accepts no new work.
	Draining bool
	// ColdRemaining is the time until the upstream is warm, zero if it is.
	ColdRemaining clock.Milli
	// Seq increases with each heartbeat of an instance.
	Seq uint64
}

// CheckResult is the response to a health check. Instance is empty and Load is nil
// if the response lacks them.
type CheckResult struct {
	Instance      string
	Healthy       bool
	ColdRemaining clock.Milli
	Load          *call.LoadReport
	// Notice is what the upstream states about the calls that it accepts. The receiver
	// sets RequestedAt.
	Notice call.Notice
}

// UpstreamState is the recorded state of the upstream. Instance is empty as long
// as no instance has announced itself.
type UpstreamState struct {
	Instance  string
	StartedAt clock.Milli
	Version   string
	Slots     int
	// Leaving is set once the instance drains, deregisters or states that it is
	// leaving, and is never reset for that instance.
	Leaving bool
	// Down is set after a failed connection, a response from another instance or
	// a restore, until a heartbeat or a successful health check.
	Down bool
	// Confirmed is set once the instance has shown that it runs and is not leaving: by a
	// successful health check, or by heartbeats that continue to arrive.
	Confirmed bool
	// ColdUntil is the time at which the upstream is warm, zero if it is.
	ColdUntil clock.Milli
}

// Known reports whether an instance has announced itself.
func (u *UpstreamState) Known() bool {
	return u.Instance != ""
}

// Usable reports whether the upstream may receive calls.
func (u *UpstreamState) Usable() bool {
	return u.Known() && !u.Leaving && !u.Down
}

// confirmingTime is the time between two heartbeats that confirm an instance whose health check
// does not. A single one may be late, and older than the end of the instance, which an earlier
// daemon may have acknowledged.
const confirmingTime = 4 * clock.Second

// maxStartedAt is later than every start time.
const maxStartedAt = clock.Milli(math.MaxFloat64)

// maxRetiredInstances limits the number of retired instances that a tracker records.
// At the limit, it discards them all.
const maxRetiredInstances = 64

// Tracker tracks the upstream. It is not safe for concurrent use.
type Tracker struct {
	current UpstreamState
	lastSeq uint64
	// firstBeatAt is when the first heartbeat of the current instance arrived, zero before that.
	firstBeatAt clock.Milli
	// retired has the latest start time of each instance that was replaced, or that
	// deregistered while it was not the current one.
	retired map[string]clock.Milli
}

// New returns a tracker without a recorded instance.
func New() *Tracker {
	return &Tracker{retired: make(map[string]clock.Milli)}
}

// UpstreamState returns a copy of the recorded state.
func (t *Tracker) UpstreamState() UpstreamState {
	return t.current
}

// Restore records the state that an earlier daemon on this VM announced, as down
// until it is confirmed. If an instance is already known, heartbeats take precedence, except
// that one which was leaving still is.
func (t *Tracker) Restore(u UpstreamState) {
	if !t.current.Known() {
		u.Down = true
		t.current = u
		return
	}
	if u.Instance == t.current.Instance && u.StartedAt == t.current.StartedAt {
		t.current.Leaving = t.current.Leaving || u.Leaving
	}
}

// LacksStart reports whether a heartbeat states no start time although the current instance
// has stated its own. Upstreams state it always or never, so the heartbeat is from another
// writer.
func (t *Tracker) LacksStart(h Heartbeat) bool {
	return h.StartedAt == 0 && t.current.StartedAt > 0
}

// HandleHeartbeat applies a heartbeat and reports whether it did. It ignores a
// heartbeat of a retired instance, one from before the current start, one that
// arrives after a newer one, and one that lacks the start time.
func (t *Tracker) HandleHeartbeat(now clock.Milli, h Heartbeat) bool {
	if t.isStale(h) || t.LacksStart(h) {
		return false
	}
	if h.Instance == t.current.Instance && t.current.StartedAt == 0 {
		// The state restored from an earlier daemon may lack the start time.
		t.current.StartedAt = h.StartedAt
	}
	if h.Instance != t.current.Instance || h.StartedAt != t.current.StartedAt {
		t.replaceInstance(h)
	}
	t.lastSeq = h.Seq
	t.confirmByHeartbeat(now)
	t.current.Version, t.current.Slots = h.Version, h.Slots
	t.current.Down = false
	t.current.Leaving = t.current.Leaving || h.Draining
	t.setColdRemaining(now, h.ColdRemaining)
	return true
}

// confirmByHeartbeat records the arrival of a heartbeat of the current instance.
func (t *Tracker) confirmByHeartbeat(now clock.Milli) {
	if t.firstBeatAt == 0 {
		t.firstBeatAt = now
	}
	if now-t.firstBeatAt >= confirmingTime {
		t.current.Confirmed = true
	}
}

func (t *Tracker) isStale(h Heartbeat) bool {
	if startedAt, ok := t.retired[h.Instance]; ok && h.StartedAt <= startedAt {
		return true
	}
	if !t.current.Known() {
		return false
	}
	if h.StartedAt > 0 && t.current.StartedAt > 0 && h.StartedAt != t.current.StartedAt {
		return h.StartedAt < t.current.StartedAt
	}
	return h.Instance == t.current.Instance && h.Seq <= t.lastSeq && t.lastSeq > 0
}

// replaceInstance retires the current instance and starts to track another one.
func (t *Tracker) replaceInstance(h Heartbeat) {
	if t.current.Known() && t.current.Instance != h.Instance {
		t.retire(t.current.Instance, t.current.StartedAt)
	}
	t.current = UpstreamState{Instance: h.Instance, StartedAt: h.StartedAt}
	t.lastSeq, t.firstBeatAt = 0, 0
}

// retire records that an instance has ended. If its start time is unknown, all later
// heartbeats with its id are stale.
func (t *Tracker) retire(instance string, startedAt clock.Milli) {
	if startedAt == 0 {
		startedAt = maxStartedAt
	}
	if len(t.retired) >= maxRetiredInstances {
		t.retired = make(map[string]clock.Milli)
	}
	t.retired[instance] = max(startedAt, t.retired[instance])
}

// HandleDeregister records that an instance ends and reports whether it is the
// current one. startedAt is zero if the start time is unknown. It ignores the end of
// an earlier start of the current instance.
func (t *Tracker) HandleDeregister(instance string, startedAt clock.Milli) bool {
	if instance == t.current.Instance && startedAt > 0 && startedAt < t.current.StartedAt {
		return false
	}
	if instance != t.current.Instance {
		t.retire(instance, startedAt)
		return false
	}
	t.current.Leaving = true
	return true
}

// HandleCheckResult applies the response to a health check. An unhealthy response
// alone does not make a confirmed upstream unusable: the check may be wrong, and calls and
// heartbeats are more reliable.
func (t *Tracker) HandleCheckResult(now clock.Milli, result CheckResult) {
	if !t.current.Known() {
		return
	}
	if result.Instance != "" && result.Instance != t.current.Instance {
		// Another instance uses the address. Its heartbeat will announce it.
		t.current.Down = true
		return
	}
	if result.Healthy && result.Instance == t.current.Instance {
		t.current.Down, t.current.Confirmed = false, true
	}
	if result.ColdRemaining > 0 {
		t.setColdRemaining(now, result.ColdRemaining)
	}
}

// HandleLeaving records that the current instance states that it is leaving.
func (t *Tracker) HandleLeaving() {
	t.current.Leaving = true
}

// HandleConnectFailure records that a connection to the upstream failed.
func (t *Tracker) HandleConnectFailure() {
	t.current.Down = true
}

// HandleMisdirected records that the upstream rejected a request because it isn't
// the given instance, to which the request was addressed.
func (t *Tracker) HandleMisdirected(instance string) {
	if instance == t.current.Instance {
		t.current.Down = true
	}
}

func (t *Tracker) setColdRemaining(now, remaining clock.Milli) {
	if remaining <= 0 {
		t.current.ColdUntil = 0
		return
	}
	t.current.ColdUntil = now + remaining
}
