package mesh

import (
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/route"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/queue"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/health"
)

const (
	// initialSlots is the number of slots before the first heartbeat.
	initialSlots = 1
	// coldOverageMargin is subtracted from the tolerated multiple of a cold upstream's
	// stated rate.
	coldOverageMargin = 0.1
	// noticeTimeout limits how long an instance gets no calls because it has not responded
	// to a health check yet, or no peer to the daemon.
	noticeTimeout = 500 * clock.Millisecond
)

// upstream combines the state from heartbeats and health checks with the calls that
// are queued or running at the upstream. It implements guard.Admitter.
type upstream struct {
	clock clock.Clock
	log   zerolog.Logger
	// service returns the upstream's service in the routes in force.
	service func() route.Service
	// coldRateFactor is the multiple of a cold upstream's stated rate that is used.
	coldRateFactor float64

	mu         sync.Mutex
	tracker    *health.Tracker
	dispatcher *queue.Dispatcher
	// lastState is the state that the dispatcher was last updated with.
	lastState health.UpstreamState
	// instanceSince is when the instance became known. lastNotice is its latest notice.
	instanceSince clock.Milli
	lastNotice    call.Notice
	// peerReplied is set once a peer has replied to this daemon. A peer returns the record
	// of the earlier daemon with its first reply.
	peerReplied atomic.Bool
	// wasShort is set if the last call was offered during a shortage of slots.
	wasShort bool
	// checkRequested triggers a health check, for example when calls are queued because the
	// VM is slow.
	checkRequested chan struct{}
	// onChange is called without the lock after a change that peers need.
	onChange func()
	// onNotice is called with the lock after a notice of the current instance.
	onNotice func()
}

func newUpstream(clk clock.Clock, log zerolog.Logger) *upstream {
	return &upstream{
		clock: clk, log: log,
		service:        func() route.Service { return route.Service{} },
		coldRateFactor: 1,
		tracker:        health.New(), dispatcher: queue.New(initialSlots), onChange: func() {}, onNotice: func() {},
		checkRequested: make(chan struct{}, 1),
	}
}

// state returns the current state of the upstream.
func (u *upstream) state() health.UpstreamState {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tracker.UpstreamState()
}

// update changes the tracker and applies its state to the dispatcher.
func (u *upstream) update(f func(now clock.Milli, t *health.Tracker)) {
	u.mu.Lock()
	now := u.clock.Now()
	f(now, u.tracker)
	changed := u.applyStateLocked(now)
	u.mu.Unlock()
	if changed {
		u.onChange()
	}
}

// restore restores the state of the upstream that an earlier daemon announced. An instance
// that is not known yet is announced when it is confirmed, and not before.
func (u *upstream) restore(s health.UpstreamState) {
	if !u.hasInstance() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.tracker.Restore(s)
		return
	}
	u.update(func(_ clock.Milli, t *health.Tracker) { t.Restore(s) })
}

// applyStateLocked applies the tracker's state to the dispatcher and logs a change. It
// reports whether peers need the change; a lost or regained connection is not one. The
// caller holds the lock.
func (u *upstream) applyStateLocked(now clock.Milli) bool {
	s := u.tracker.UpstreamState()
	if s.Instance != u.lastState.Instance || s.StartedAt != u.lastState.StartedAt || s.Slots != u.lastState.Slots {
		u.dispatcher.Reset(s.Slots)
	}
	if s.Instance != u.lastState.Instance || s.StartedAt != u.lastState.StartedAt {
		u.instanceSince, u.lastNotice = now, call.Notice{}
		u.dispatcher.RemoveStatedLimit()
		u.requestCheck()
	}
	rate := u.service().ColdRatePerSecond * u.coldRateFactor
	u.dispatcher.LimitColdRate(now, s.ColdUntil, rate)
	old := u.lastState
	u.lastState = s
	s.ColdUntil, old.ColdUntil = 0, 0
	if s == old {
		return false
	}
	u.log.Info().Str("upstream", s.Instance).Str("version", s.Version).Int("slots", s.Slots).
		Bool("leaving", s.Leaving).Bool("down", s.Down).Bool("confirmed", s.Confirmed).Msg("upstream_changed")
	s.Down, old.Down = false, false
	s.Confirmed, old.Confirmed = false, false
	return s != old
}

// concernsInstance reports whether a notice is of the current start of the instance. An
// earlier start may have had the same id. The caller holds the lock.
func (u *upstream) concernsInstance(notice call.Notice) bool {
	return notice.Instance != "" && notice.Instance == u.lastState.Instance && notice.RequestedAt >= u.instanceSince
}

// logNotice logs a notice that differs from the last one. The caller holds the lock.
func (u *upstream) logNotice(notice call.Notice) {
	last := u.lastNotice
	u.lastNotice = notice
	last.RequestedAt = notice.RequestedAt
	if last == notice {
		return
	}
	u.log.Info().Str("upstream", notice.Instance).Bool("limited", notice.Limited).Float64("calls_per_s", notice.RateLimit).
		Bool("leaving", notice.Leaving).Float64("age_ms", float64(u.clock.Now()-notice.RequestedAt)).Msg("upstream_notice")
}

// unusableReason returns why the upstream may not get calls, or call.ReasonNone.
func (u *upstream) unusableReason() call.Reason {
	s := u.state()
	switch {
	case s.Leaving:
		return call.ReasonLeaving
	case !u.isUsable(&s) || u.awaitsNotice():
		return call.ReasonNotReady
	default:
		return call.ReasonNone
	}
}

// isUsable reports whether the upstream may get calls in a state. Where it has health checks, one
// that is known only from a late heartbeat gets none: an earlier daemon may have acknowledged
// that it leaves, and neither the store nor a peer may have that.
func (u *upstream) isUsable(s *health.UpstreamState) bool {
	return s.Usable() && (s.Confirmed || u.service().HealthPath == "")
}

// awaitsNotice reports whether it is too early to say that the instance is not leaving and has
// no rate limit: it has not responded since it became known, or no peer has said what it has of
// an earlier daemon.
func (u *upstream) awaitsNotice() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	complete := u.lastNotice.Instance != "" && u.peerReplied.Load()
	return !complete && u.service().HealthPath != "" && u.clock.Now()-u.instanceSince < noticeTimeout
}

// instance returns the id of the instance that calls are meant for.
func (u *upstream) instance() string {
	return u.state().Instance
}

// handleMisdirected records that another instance answered.
func (u *upstream) handleMisdirected(instance string) {
	u.update(func(_ clock.Milli, t *health.Tracker) { t.HandleMisdirected(instance) })
}

// Drain implements guard.Admitter.
func (u *upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dispatcher.Drain()
}

// Offer implements guard.Admitter.
func (u *upstream) Offer(now clock.Milli, request admit.Request) []admit.Decision {
	u.mu.Lock()
	defer u.mu.Unlock()
	decisions := u.dispatcher.Offer(now, request)
	u.logShortage(now)
	if u.dispatcher.DelayedBySlowVM(now) {
		u.requestCheck()
	}
	return decisions
}

// logShortage logs the begin and the end of a shortage of slots. The caller holds the lock.
func (u *upstream) logShortage(now clock.Milli) {
	short := u.dispatcher.IsShort(now)
	if short == u.wasShort {
		return
	}
	u.wasShort = short
	u.log.Info().Str("upstream", u.lastState.Instance).Bool("short", short).Msg("upstream_slots_short")
}

// isShort reports whether the upstream's slots do not suffice for the calls that arrive.
func (u *upstream) isShort() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dispatcher.IsShort(u.clock.Now())
}

func (u *upstream) requestCheck() {
	select {
	case u.checkRequested <- struct{}{}:
	default:
	}
}

// Finish implements guard.Admitter.
func (u *upstream) Finish(now clock.Milli, id call.ID, r admit.Result) []admit.Decision {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dispatcher.Finish(now, id, r)
}

// Cancel implements guard.Admitter.
func (u *upstream) Cancel(now clock.Milli, id call.ID) []admit.Decision {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dispatcher.Cancel(now, id)
}

// Tick implements guard.Admitter.
func (u *upstream) Tick(now clock.Milli) []admit.Decision {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dispatcher.Tick(now)
}

// UpstreamState implements guard.Admitter.
func (u *upstream) UpstreamState(now clock.Milli) call.UpstreamState {
	u.mu.Lock()
	defer u.mu.Unlock()
	state := u.dispatcher.UpstreamState(now)
	s := u.tracker.UpstreamState()
	state.Leaving = state.Leaving || !u.isUsable(&s)
	return state
}

// routeStats returns the state of the upstream and its call statistics by route.
func (u *upstream) routeStats() (health.UpstreamState, []call.RouteStats) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tracker.UpstreamState(), u.dispatcher.RouteStats(u.clock.Now())
}
