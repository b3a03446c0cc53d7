package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// linkCloseDelay gives the last frames time to reach the peers before the links
// close.
const linkCloseDelay = 250 * clock.Millisecond

// ErrStopTimeout is returned by Run if the graceful stop timed out and
// interrupted calls.
var ErrStopTimeout = errors.New("stop timed out")

// readiness is the state that the readiness check reports.
type readiness struct {
	ok atomic.Bool
}

func (r *readiness) set(ok bool) {
	r.ok.Store(ok)
}

// check returns an error while the daemon is not ready to serve.
func (r *readiness) check() error {
	if !r.ok.Load() {
		return errors.New("the daemon is starting or stopping")
	}
	return nil
}

// stop announces the departure, waits until the calls of the entry and the
// guard have finished, and returns an error if it had to interrupt some.
func (d *Daemon) stop() error {
	d.log.Info().Int("in_progress", d.guard.InProgress()).Msg("stop_started")
	d.ready.set(false)
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.Stop.Timeout.Duration())
	defer cancel()
	d.guard.StartDrain()
	d.fleet.membership.StartLeaving()
	time.Sleep(d.cfg.Stop.Notice.Duration())
	entryErr := d.entryServer.Stop(ctx)
	interrupted := d.guard.AwaitDrain(ctx)
	d.fleet.membership.FinishLeaving(ctx)
	time.Sleep(linkCloseDelay.Duration())
	if !assert.That(entryErr == nil && interrupted == 0, assert.GracefulStop, "%d calls left in the guard, entry: %v", interrupted, entryErr) {
		return errors.Wrapf(ErrStopTimeout, "%d calls interrupted in the guard, entry: %v", interrupted, entryErr)
	}
	d.log.Info().Msg("stop_done")
	return nil
}
