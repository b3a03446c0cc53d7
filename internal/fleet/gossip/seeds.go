package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// Seeds gives first peers and announces this daemon to later ones, through
// the platform log.
type Seeds interface {
	// Peers returns addresses of daemons that announced themselves.
	Peers(ctx context.Context) ([]string, error)
	Announce(ctx context.Context, self member.Fact) error
	Leave(ctx context.Context, self member.Fact) error
}

// Pace of the log, which takes a few hundred appends a second from everyone.
const (
	announceSpread = 60 * time.Second
	leaveSpread    = 5 * time.Second
	firstRetry     = 500 * time.Millisecond
	lastRetry      = 30 * time.Second
)

// runSeeds asks for first peers until the log answers, starts the core, and
// announces this daemon at a random moment of the next minute: if a data
// centre of 180 daemons restarts, the log sees 3 appends a second.
func (s *Membership) runSeeds(ctx context.Context) error {
	var peers []string
	err := s.retry(ctx, func() (err error) {
		peers, err = s.s.Seeds.Peers(ctx)
		return err
	})
	if err != nil {
		return err
	}
	s.handle(member.Start{Seeds: peers}, budget.Sync)
	if !clock.Sleep(ctx, clock.FromDuration(announceSpread)*clock.Milli(rand.Float64())) {
		return ctx.Err()
	}
	if err := s.retry(ctx, func() error { return s.s.Seeds.Announce(ctx, s.Self()) }); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s *Membership) retry(ctx context.Context, do func() error) error {
	for wait := firstRetry; ; wait = min(2*wait, lastRetry) {
		err := do()
		if err == nil {
			return nil
		}
		s.s.Log.Warn().Err(err).Msg("seeds_unavailable")
		if !clock.Sleep(ctx, clock.FromDuration(wait)*clock.Milli(0.5+rand.Float64())) {
			return ctx.Err()
		}
	}
}
