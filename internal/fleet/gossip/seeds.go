package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// Seeds provides the addresses of seed peers and records this daemon as one for
// daemons that start later. The platform log stores the records.
type Seeds interface {
	// Peers returns addresses of daemons that announced themselves.
	Peers(ctx context.Context) ([]string, error)
	// Announce records that this daemon runs.
	Announce(ctx context.Context, self member.Fact) error
	// Leave records that this daemon has left.
	Leave(ctx context.Context, self member.Fact) error
}

// Jitter and delays of accesses to the platform log, which serves a few hundred
// appends a second for all daemons.
const (
	announceJitter = 60 * time.Second
	leaveJitter    = 5 * time.Second
	minRetryDelay  = 500 * time.Millisecond
	maxRetryDelay  = 30 * time.Second
)

// runSeeds reads the seed peers, with retries until this succeeds, starts the
// core, and announces this daemon after a random delay of up to a minute: if a
// data centre of 180 daemons restarts, the log gets 3 appends a second.
func (m *Membership) runSeeds(ctx context.Context) error {
	var peers []string
	err := m.retry(ctx, func() (err error) {
		peers, err = m.settings.Seeds.Peers(ctx)
		return err
	})
	if err != nil {
		return err
	}
	m.handle(member.Start{Seeds: peers}, budget.Sync)
	if !clock.Sleep(ctx, clock.FromDuration(announceJitter)*clock.Milli(rand.Float64())) {
		return ctx.Err()
	}
	if err := m.retry(ctx, func() error { return m.settings.Seeds.Announce(ctx, m.Self()) }); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

// retry calls operation until it succeeds, with exponential backoff, or ctx is
// done.
func (m *Membership) retry(ctx context.Context, operation func() error) error {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := operation()
		if err == nil {
			return nil
		}
		m.settings.Log.Warn().Err(err).Msg("seeds_unavailable")
		if !clock.Sleep(ctx, clock.FromDuration(delay)*clock.Milli(0.5+rand.Float64())) {
			return ctx.Err()
		}
	}
}
