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
	// notice is how long callers are still served after the daemon stopped
	// being ready: two readiness checks, one second apart, and their answers.
	notice = 2600 * clock.Millisecond
	// lastCalls is how long the guard takes new calls after the stop began. The
	// upstream goes on and its slots are needed; the longest call still ends
	// within the grace.
	lastCalls = 1800 * clock.Millisecond
	// spare is the part of the grace that is left for the end of the process.
	spare = 400 * clock.Millisecond
	// pushWait lets the news of the stop reach the peers.
	pushWait = 50 * clock.Millisecond
)

// ErrStopTimeout says that a planned stop interrupted calls.
var ErrStopTimeout = errors.New("stop timed out")

// state is what readiness depends on beside the configuration.
type state struct {
	stopping atomic.Bool
}

// ready returns why the daemon can't serve callers, or nil.
func (n *Node) ready() error {
	switch {
	case n.state.stopping.Load():
		return errors.New("the daemon is stopping")
	case n.routes() == nil:
		return errors.New("no configuration is in force")
	default:
		return nil
	}
}

// stop tells callers and peers, serves what is under way and reports what it
// had to interrupt.
func (n *Node) stop() error {
	began := n.clock.Now()
	n.log.Info().Int("in_progress", n.guard.InProgress()).Msg("stop_started")
	n.state.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), (n.settings.StopTimeout - spare).Duration())
	defer cancel()
	time.Sleep(lastCalls.Duration())
	n.announce.change(func(r *peers.Record) { r.Gone = true })
	n.share.push(ctx)
	time.Sleep(pushWait.Duration())
	n.guard.StartDrain()
	time.Sleep((notice - lastCalls - pushWait).Duration())
	entryErr := n.callers.Stop(ctx)
	left := n.guard.AwaitDrain(ctx)
	took := n.clock.Now() - began
	if !assert.That(entryErr == nil && left == 0, assert.GracefulStop, "%d calls in the guard left, entry: %v", left, entryErr) {
		return errors.Wrapf(ErrStopTimeout, "%d calls interrupted in the guard after %.0f ms, entry: %v", left, float64(took), entryErr)
	}
	n.log.Info().Float64("ms", float64(took)).Msg("stop_done")
	return nil
}
