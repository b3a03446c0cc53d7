package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// linger lets the last frames reach the peers before their links close.
const linger = 250 * clock.Millisecond

// ErrStopTimeout says that a planned stop interrupted calls.
var ErrStopTimeout = errors.New("stop timed out")

// readiness is what the readiness check reports.
type readiness struct {
	ok atomic.Bool
}

func (r *readiness) set(ok bool) {
	r.ok.Store(ok)
}

// check returns an error while the daemon is not ready.
func (r *readiness) check() error {
	if !r.ok.Load() {
		return errors.New("the daemon is starting or stopping")
	}
	return nil
}

// stop leaves, waits until every call in both roles has ended, and reports
// what it had to interrupt.
func (d *Daemon) stop() error {
	d.log.Info().Int("in_progress", d.guard.InProgress()).Msg("stop_started")
	d.ready.set(false)
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.Stop.Timeout.Duration())
	defer cancel()
	d.guard.StartDrain()
	d.fleet.shell.StartLeaving()
	time.Sleep(d.cfg.Stop.Notice.Duration())
	entryErr := d.public.Stop(ctx)
	left := d.guard.AwaitDrain(ctx)
	d.fleet.shell.FinishLeaving(ctx)
	time.Sleep(linger.Duration())
	if !assert.That(entryErr == nil && left == 0, assert.GracefulStop, "%d calls in the guard left, entry: %v", left, entryErr) {
		return errors.Wrapf(ErrStopTimeout, "%d calls interrupted in the guard, entry: %v", left, entryErr)
	}
	d.log.Info().Msg("stop_done")
	return nil
}
