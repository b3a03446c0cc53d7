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
	// healthInterval is the time between health checks. An upstream may become cold
	// at any time, and only a health check reports it.
	healthInterval = 250 * clock.Millisecond
	// healthTimeout limits one health check.
	healthTimeout = 500 * clock.Millisecond
	// maxSlowdownAge is the age up to which a reported slowdown is used for the
	// admission of a call. The slowdown of a VM changes several times a second.
	maxSlowdownAge = 25 * clock.Millisecond
	// slowdownRefreshTimeout limits how long a call waits for a recent slowdown.
	slowdownRefreshTimeout = 15 * clock.Millisecond
	// slowVMHealthInterval is the time between health checks while calls are queued
	// because the VM is slow.
	slowVMHealthInterval = 30 * clock.Millisecond
)

// healthChecker polls the health of the upstream beside the daemon.
type healthChecker struct {
	clock    clock.Clock
	log      zerolog.Logger
	platform Platform
	addr     string
	upstream *upstream
	service  func() route.Service

	mu sync.Mutex
	// checkDone is closed at the end of the check in progress, if checking is set.
	checkDone chan struct{}
	checking  bool
}

// Serve implements suture.Service.
func (h *healthChecker) Serve(ctx context.Context) error {
	return h.run(ctx)
}

func (h *healthChecker) run(ctx context.Context) error {
	for {
		h.refresh(ctx)
		wait := healthInterval
		if h.upstream.delayedBySlowVM() {
			wait = slowVMHealthInterval
		}
		t := time.NewTimer(wait.Duration())
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		case <-h.upstream.checkRequested:
			t.Stop()
		}
	}
}

// refresh runs a health check, or waits for the one in progress.
func (h *healthChecker) refresh(ctx context.Context) {
	h.mu.Lock()
	if !h.checking {
		h.checking, h.checkDone = true, make(chan struct{})
		go h.runCheck()
	}
	done := h.checkDone
	h.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// runCheck runs one check, provided that the service has a health path and the
// upstream an instance, and releases the callers of refresh.
func (h *healthChecker) runCheck() {
	if path := h.service().HealthPath; path != "" && h.upstream.hasInstance() {
		h.check(context.Background(), path)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checking = false
	close(h.checkDone)
}

// refreshSlowdown waits for a new health check if the reported slowdown of the
// upstream's VM is outdated. It runs before the admission of each call.
func (n *Node) refreshSlowdown(ctx context.Context, _ *call.Request) {
	if n.upstream.slowdownAge() < maxSlowdownAge {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, slowdownRefreshTimeout.Duration())
	defer cancel()
	n.health.refresh(ctx)
}

// slowdownAge returns the time since the latest report of a slowdown.
func (u *upstream) slowdownAge() clock.Milli {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dispatcher.SlowdownAge(u.clock.Now())
}

// delayedBySlowVM reports whether calls are queued because the VM is slow.
func (u *upstream) delayedBySlowVM() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dispatcher.DelayedBySlowVM(u.clock.Now())
}

func (h *healthChecker) check(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout.Duration())
	defer cancel()
	requestedAt := h.clock.Now()
	result, err := h.platform.CheckHealth(ctx, h.addr, path)
	switch {
	case err == nil:
		result.Notice.RequestedAt = requestedAt
		h.upstream.handleCheckResult(result)
	case isConnRefused(err):
		h.upstream.update(func(_ clock.Milli, t *health.Tracker) { t.HandleConnectFailure() })
	default:
		h.log.Debug().Err(err).Msg("health_check_failed")
	}
}

// hasInstance reports whether an instance has announced itself.
func (u *upstream) hasInstance() bool {
	s := u.state()
	return s.Known()
}

func (u *upstream) handleCheckResult(result health.CheckResult) {
	u.update(func(now clock.Milli, t *health.Tracker) {
		t.HandleCheckResult(now, result)
		if result.Load != nil {
			u.dispatcher.ObserveLoad(now, *result.Load)
		}
	})
	if result.Notice.Instance == "" {
		// A failed check may lack the id. Only the current instance has the address, or
		// one that replaces it.
		result.Notice.Instance = u.instance()
	}
	u.handleNotice(result.Notice)
}

// notice returns the latest notice of the upstream.
func (u *upstream) notice() call.Notice {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastNotice
}

// handleNotice records what the upstream states about the calls that it accepts.
func (u *upstream) handleNotice(notice call.Notice) {
	u.update(func(now clock.Milli, t *health.Tracker) {
		if !u.concernsInstance(notice) {
			return
		}
		u.dispatcher.ObserveNotice(now, notice)
		u.logNotice(notice)
		u.onNotice()
		if notice.Leaving {
			t.HandleLeaving()
		}
	})
}

func isConnRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
