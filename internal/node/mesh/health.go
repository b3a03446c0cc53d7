package mesh

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/route"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/health"
)

const (
	// healthInterval is the time between health checks. An upstream may turn
	// cold at any moment, and only the check tells.
	healthInterval = 250 * clock.Millisecond
	// healthTimeout bounds one check.
	healthTimeout = 500 * clock.Millisecond
	// paceFresh is the age up to which a pace decides about a call. It changes
	// several times a second.
	paceFresh = 25 * clock.Millisecond
	// paceWait bounds how long a call waits for a fresh pace.
	paceWait = 15 * clock.Millisecond
	// slowPoll is the time between checks while calls wait for a faster VM.
	slowPoll = 30 * clock.Millisecond
)

// healthChecker checks the upstream beside the daemon.
type healthChecker struct {
	clock    clock.Clock
	log      zerolog.Logger
	platform Platform
	addr     string
	upstream *upstream
	service  func() route.Service

	mu sync.Mutex
	// answered is closed at the end of the check in progress, if busy is set.
	answered chan struct{}
	busy     bool
}

// Serve implements suture.Service.
func (h *healthChecker) Serve(ctx context.Context) error {
	return h.run(ctx)
}

func (h *healthChecker) run(ctx context.Context) error {
	for {
		h.refresh(ctx)
		wait := healthInterval
		if h.upstream.slow() {
			wait = slowPoll
		}
		t := time.NewTimer(wait.Duration())
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		case <-h.upstream.queued:
			t.Stop()
		}
	}
}

// refresh checks the upstream, or joins the check in progress.
func (h *healthChecker) refresh(ctx context.Context) {
	h.mu.Lock()
	if !h.busy {
		h.busy, h.answered = true, make(chan struct{})
		go h.runCheck()
	}
	answered := h.answered
	h.mu.Unlock()
	select {
	case <-answered:
	case <-ctx.Done():
	}
}

// runCheck does one check.
func (h *healthChecker) runCheck() {
	if path := h.service().HealthPath; path != "" && h.upstream.known() {
		h.check(context.Background(), path)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busy = false
	close(h.answered)
}

// refreshPace makes sure that the pace of the upstream's VM is recent when a
// call is offered.
func (n *Node) refreshPace(ctx context.Context, _ *call.Request) {
	if n.upstream.paceAge() < paceFresh {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, paceWait.Duration())
	defer cancel()
	n.health.refresh(ctx)
}

// paceAge is how old the last report of the pace is.
func (u *upstream) paceAge() clock.Milli {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lane.SlowdownAge(u.clock.Now())
}

// slow reports whether calls wait for the VM to become faster.
func (u *upstream) slow() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lane.DelayedBySlowVM(u.clock.Now())
}

func (h *healthChecker) check(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout.Duration())
	defer cancel()
	answer, err := h.platform.CheckHealth(ctx, h.addr, path)
	switch {
	case err == nil:
		h.upstream.checked(answer)
	case refused(err):
		h.upstream.update(func(_ clock.Milli, k *health.Tracker) { k.HandleConnectFailure() })
	default:
		h.log.Debug().Err(err).Msg("health_check_failed")
	}
}

// known reports whether an instance announced itself.
func (u *upstream) known() bool {
	s := u.state()
	return s.Known()
}

// checked takes in the answer to a health check.
func (u *upstream) checked(a health.CheckResult) {
	u.update(func(now clock.Milli, k *health.Tracker) {
		k.HandleCheckResult(now, a)
		if a.Load != nil {
			u.lane.ObserveLoad(now, *a.Load)
		}
	})
}

// refused reports whether nothing listens at an address.
func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
