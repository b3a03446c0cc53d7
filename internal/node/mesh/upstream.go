package mesh

import (
	"sync"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/route"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/lane"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/beat"
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
	keeper *beat.Keeper
	lane   *lane.Lane
	last   beat.Upstream
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
		keeper:   beat.New(), lane: lane.New(initialSlots), changed: func() {},
		queued: make(chan struct{}, 1),
	}
}

// state returns what is known of the upstream.
func (u *upstream) state() beat.Upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.keeper.Upstream()
}

// update changes the keeper and lets the lane follow.
func (u *upstream) update(f func(now clock.Milli, k *beat.Keeper)) {
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
	if s.Instance != u.last.Instance || s.Born != u.last.Born || s.Slots != u.last.Slots {
		u.lane.Restart(s.Slots)
	}
	rate := u.service().ColdRate * u.coldPart
	u.lane.Cold(now, s.ColdUntil, rate)
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
	u.update(func(_ clock.Milli, k *beat.Keeper) { k.Misdirected(instance) })
}

// Leave implements guard.Admitter.
func (u *upstream) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lane.Leave()
}

// Offer implements guard.Admitter.
func (u *upstream) Offer(now clock.Milli, t admit.Ticket) []admit.Action {
	u.mu.Lock()
	defer u.mu.Unlock()
	actions := u.lane.Offer(now, t)
	if u.lane.Slow(now) {
		select {
		case u.queued <- struct{}{}:
		default:
		}
	}
	return actions
}

// Done implements guard.Admitter.
func (u *upstream) Done(now clock.Milli, id call.ID, r admit.Result) []admit.Action {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lane.Done(now, id, r)
}

// Cancel implements guard.Admitter.
func (u *upstream) Cancel(now clock.Milli, id call.ID) []admit.Action {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lane.Cancel(now, id)
}

// Tick implements guard.Admitter.
func (u *upstream) Tick(now clock.Milli) []admit.Action {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lane.Tick(now)
}

// View implements guard.Admitter.
func (u *upstream) View(now clock.Milli) call.View {
	u.mu.Lock()
	defer u.mu.Unlock()
	v := u.lane.View(now)
	s := u.keeper.Upstream()
	v.Leaving = v.Leaving || !s.Usable()
	return v
}

// tallies returns the counts by route of the present upstream, and who it is.
func (u *upstream) tallies() (beat.Upstream, []call.Tally) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.keeper.Upstream(), u.lane.Tallies()
}
