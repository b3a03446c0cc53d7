package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
)

const (
	// readinessNotice is how long callers are still served after the daemon reports
	// that it is not ready: two readiness checks, one second apart, with their
	// answers.
	readinessNotice = 2600 * clock.Millisecond
	// guardAcceptDuration is how long the guard accepts new calls after the stop
	// began. The upstream goes on running and its slots are needed; the longest call
	// still ends within StopTimeout.
	guardAcceptDuration = 1800 * clock.Millisecond
	// exitReserve is the part of StopTimeout left for the exit of the process.
	exitReserve = 400 * clock.Millisecond
	// syncSendDelay gives the synchronisation time to reach the peers.
	syncSendDelay = 50 * clock.Millisecond
)

// ErrStopTimeout is returned by Run if a planned stop interrupted calls.
var ErrStopTimeout = errors.New("stop timed out")

// lifecycle holds the part of readiness that does not depend on the configuration.
type lifecycle struct {
	stopping atomic.Bool
	// endsAt is the end of a planned stop in ms, set while only connections that were
	// accepted before are served.
	endsAt atomic.Int64
}

// latestDeadline returns the latest deadline of a call that is accepted, zero if there is none.
func (l *lifecycle) latestDeadline() clock.Milli {
	return clock.Milli(l.endsAt.Load())
}

// checkReady returns why the daemon can't serve callers, or nil.
func (n *Node) checkReady() error {
	switch {
	case n.lifecycle.stopping.Load():
		return errors.New("the daemon is stopping")
	case n.routes() == nil:
		return errors.New("no configuration is in force")
	case n.moves.awaitsHistory():
		return errors.New("the outcomes of earlier version moves are not known")
	default:
		return nil
	}
}

// stop announces the stop to callers and peers, waits for the calls in progress and
// returns ErrStopTimeout if it interrupts some.
func (n *Node) stop() error {
	startedAt := n.clock.Now()
	n.log.Info().Int("in_progress", n.guard.InProgress()).Msg("stop_started")
	n.lifecycle.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), (n.settings.StopTimeout - exitReserve).Duration())
	defer cancel()
	time.Sleep(guardAcceptDuration.Duration())
	n.announcer.update(func(r *peers.Record) { r.Stopped = true })
	n.sync.syncWithAll(ctx)
	time.Sleep(syncSendDelay.Duration())
	n.guard.StartDrain()
	time.Sleep((readinessNotice - guardAcceptDuration - syncSendDelay).Duration())
	n.lifecycle.endsAt.Store(int64(startedAt + n.settings.StopTimeout - exitReserve))
	entryErr := n.callerServer.Stop(ctx)
	interrupted := n.guard.AwaitDrain(ctx)
	if n.usage != nil {
		n.usage.handOver(ctx)
	}
	elapsed := n.clock.Now() - startedAt
	if !assert.That(entryErr == nil && interrupted == 0, assert.GracefulStop, "%d calls interrupted in the guard, entry: %v", interrupted, entryErr) {
		return errors.Wrapf(ErrStopTimeout, "%d calls interrupted in the guard after %.0f ms, entry: %v", interrupted, float64(elapsed), entryErr)
	}
	n.log.Info().Float64("ms", float64(elapsed)).Msg("stop_done")
	return nil
}
