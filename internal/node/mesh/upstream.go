package mesh

import (
	"sync"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/route"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/queue"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/health"
)

const (
	// initialSlots are used until the first heartbeat.
	initialSlots = 1
	// coldMargin is what is left of the tolerated multiple of a cold upstream's
	// stated rate.
	coldMargin = 0.1
)

// upstream joins what heartbeats and health checks say of the upstream with
// the calls that run at it. It implements guard.Admitter.
type upstream struct {
	clock clock.Clock
	log   zerolog.Logger
	// service describes the upstream's service in the routes in force.
	service func() route.Service
	// coldPart is the used multiple of a cold upstream's rate.
	coldPart float64

	mu     sync.Mutex
	keeper *health.Tracker
	lane   *queue.Dispatcher
	last   health.Upstream
	// queued wakes the health checks when calls wait for a faster VM.
	queued chan struct{}
	// changed is called without the lock after the upstream changed.
	changed func()
}

func newUpstream(clk clock.Clock, log zerolog.Logger) *upstream {
	return &upstream{
		clock: clk, log: log,
		service:  func() route.Service { return route.Service{} },
		coldPart: 1,
		keeper:   health.New(), lane: queue.New(initialSlots), changed: func() {},
		queued: make(chan struct{}, 1),
	}
}

// state returns what is known of the upstream.
func (u *upstream) state() health.Upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.keeper.Upstream()
}

// update changes the keeper and lets the lane follow.
func (u *upstream) update(f func(now clock.Milli, k *health.Tracker)) {
	u.mu.Lock()
	now := u.clock.Now()
	f(now, u.keeper)
	changed := u.follow(now)
	u.mu.Unlock()
	if changed {
		u.changed()
	}
}

// follow passes changes of the upstream on. The caller holds the lock.
func (u *upstream) follow(now clock.Milli) bool {
	s := u.keeper.Upstream()
	if s.Instance != u.last.Instance || s.StartedAt != u.last.StartedAt || s.Slots != u.last.Slots {
		u.lane.Reset(s.Slots)
	}
	rate := u.service().ColdRatePerSecond * u.coldPart
	u.lane.LimitColdRate(now, s.ColdUntil, rate)
	old := u.last
	u.last = s
	s.ColdUntil, old.ColdUntil = 0, 0
	if s == old {
		return false
	}
	u.log.Info().Str("upstream", s.Instance).Str("version", s.Version).Int("slots", s.Slots).
		Bool("leaving", s.Leaving).Bool("down", s.Down).Msg("upstream_changed")
	s.Down, old.Down = false, false
	return s != old
}

// usable returns the reason why the upstream may not get calls, or none.
func (u *upstream) usable() call.Reason {
	s := u.state()
	switch {
	case s.Leaving:
		return call.ReasonLeaving
	case !s.Usable():
		return call.ReasonNotReady
	default:
		return call.ReasonNone
	}
}

// instance is the one that calls are meant for.
func (u *upstream) instance() string {
	return u.state().Instance
}

// misdirected takes in that another instance answered.
func (u *upstream) misdirected(instance string) {
	u.update(func(_ clock.Milli, k *health.Tracker) { k.HandleMisdirected(instance) })
}

// Drain implements guard.Admitter.
func (u *upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lane.Drain()
}

// Offer implements guard.Admitter.
func (u *upstream) Offer(now clock.Milli, t admit.Request) []admit.Decision {
	u.mu.Lock()
	defer u.mu.Unlock()
	actions := u.lane.Offer(now, t)
	if u.lane.DelayedBySlowVM(now) {
		select {
		case u.queued <- struct{}{}:
		default:
		}
	}
	return actions
}

// Finish implements guard.Admitter.
func (u *upstream) Finish(now clock.Milli, id call.ID, r admit.Result) []admit.Decision {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lane.Finish(now, id, r)
}

// Cancel implements guard.Admitter.
func (u *upstream) Cancel(now clock.Milli, id call.ID) []admit.Decision {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lane.Cancel(now, id)
}

// Tick implements guard.Admitter.
func (u *upstream) Tick(now clock.Milli) []admit.Decision {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lane.Tick(now)
}

// UpstreamState implements guard.Admitter.
func (u *upstream) UpstreamState(now clock.Milli) call.UpstreamState {
	u.mu.Lock()
	defer u.mu.Unlock()
	v := u.lane.UpstreamState(now)
	s := u.keeper.Upstream()
	v.Leaving = v.Leaving || !s.Usable()
	return v
}

// tallies returns the counts by route of the present upstream, and who it is.
func (u *upstream) tallies() (health.Upstream, []call.RouteStats) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.keeper.Upstream(), u.lane.RouteStats()
}
