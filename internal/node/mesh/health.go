package mesh

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/route"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/beat"
)

const (
	// healthInterval is the time between health checks. An upstream may turn
	// cold at any moment, and only the check tells.
	healthInterval = 250 * clock.Millisecond
	// healthTimeout bounds one check.
	healthTimeout = 500 * clock.Millisecond
)

// health checks the upstream beside the daemon.
type health struct {
	clock    clock.Clock
	log      zerolog.Logger
	platform Platform
	addr     string
	upstream *upstream
	service  func() route.Service
}

// Serve implements suture.Service.
func (h *health) Serve(ctx context.Context) error {
	return h.run(ctx)
}

func (h *health) run(ctx context.Context) error {
	t := time.NewTicker(healthInterval.Duration())
	defer t.Stop()
	for {
		if path := h.service().HealthPath; path != "" {
			h.check(ctx, path)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (h *health) check(ctx context.Context, path string) {
	if !h.upstream.known() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout.Duration())
	defer cancel()
	answer, err := h.platform.Health(ctx, h.addr, path)
	switch {
	case err == nil:
		h.upstream.checked(answer)
	case refused(err):
		h.upstream.update(func(_ clock.Milli, k *beat.Keeper) { k.Failed() })
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
func (u *upstream) checked(a beat.Health) {
	u.update(func(now clock.Milli, k *beat.Keeper) {
		k.Check(now, a)
		if a.Load != nil {
			u.lane.Report(now, *a.Load)
		}
	})
}

// refused reports whether nothing listens at an address.
func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
