package main

import (
	"context"
	"fmt"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/deploy"

	"github.com/pkg/errors"
)

const (
	centreOutAt   = 8 * time.Second
	versionsAt    = 2 * time.Second
	centreBackAt  = 18 * time.Second
	moveLasts     = 38 * time.Second
	trafficLasts  = 43 * time.Second
	moveGrace     = 3 * time.Second
	outCentre     = "sibiu"
	goodVersion   = "2"
	badVersion    = "2-bad"
	goodMoveID    = "booking-2"
	badMoveID     = "media-2-bad"
	brokenPortion = 0.4
)

const defaultsDocument = `document = "defaults"
timeout_ms = 2000

[[route]]
name = "bookings"
service = "booking"
prefix = "/bookings"
repeatable = false

[[route]]
name = "schedule"
service = "booking"
prefix = "/schedule"

[[route]]
name = "scans"
service = "media"
prefix = "/scans"
class = "transfer"
timeout_ms = 10000
repeatable = false

[[route]]
name = "holds"
service = "media"
prefix = "/holds"

[[route]]
name = "wear"
service = "media"
prefix = "/wear"
class = "background"
`

// story runs the phases of the demo and remembers what it must check.
type story struct {
	world   *deploy.Deployment
	traffic *deploy.LoadGenerator
	began   time.Time
	outAt   time.Time
	backAt  time.Time
	report  string
}

func (s *story) say(format string, args ...any) {
	fmt.Printf("[%4.1fs] %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *story) run(ctx context.Context) error {
	if err := s.setUp(ctx); err != nil {
		return err
	}
	sctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.traffic = deploy.NewLoadGenerator(s.world)
	done := make(chan struct{})
	go func() {
		defer close(done)
		tctx, stop := context.WithTimeout(sctx, trafficLasts)
		defer stop()
		s.traffic.Run(tctx)
	}()
	if err := s.operate(ctx, time.Now()); err != nil {
		return err
	}
	<-done
	return s.finish(ctx)
}

// setUp starts the association's deployment and publishes the defaults.
func (s *story) setUp(ctx context.Context) error {
	centres := []string{"cluj", "brasov", outCentre}
	for i := range 8 {
		if _, err := s.world.AddNode("booking", "1", centres[i%len(centres)]); err != nil {
			return err
		}
	}
	for i := range 3 {
		if _, err := s.world.AddNode("media", "1", centres[i%len(centres)]); err != nil {
			return err
		}
	}
	if err := s.world.WaitReady(ctx); err != nil {
		return err
	}
	if err := s.waitMembers(ctx, len(s.world.Nodes)); err != nil {
		return err
	}
	s.say("11 upstreams with a daemon each run in 3 data centres")
	if err := s.world.Publish(ctx, s.world.Nodes[0], "defaults.toml", defaultsDocument); err != nil {
		return err
	}
	s.say("the operators published the fleet-wide defaults")
	return nil
}

// operate plays the operators' part at fixed times.
func (s *story) operate(ctx context.Context, start time.Time) error {
	steps := []struct {
		at  time.Duration
		run func(context.Context) error
	}{
		{versionsAt, s.moveVersions},
		{centreOutAt, s.takeOut},
		{centreBackAt, s.takeBack},
	}
	for _, step := range steps {
		select {
		case <-time.After(time.Until(start.Add(step.at))):
		case <-ctx.Done():
			return errors.New("time is up")
		}
		if err := step.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *story) takeOut(ctx context.Context) error {
	out, err := s.world.RunCommand(ctx, s.world.Nodes[0], "move", "out", outCentre,
		"--reason", "The cooling of the data centre is being repaired today.")
	s.outAt = time.Now()
	s.say("data centre %s was taken out\n%s", outCentre, out)
	return err
}

func (s *story) takeBack(ctx context.Context) error {
	out, err := s.world.RunCommand(ctx, s.world.Nodes[1], "move", "back", outCentre,
		"--reason", "The cooling works again and was tested.")
	s.backAt = time.Now()
	s.say("data centre %s was returned\n%s", outCentre, out)
	return err
}

// moveVersions starts the upstreams of a good and a bad version beside the
// old ones, after the moves that limit their traffic were published.
func (s *story) moveVersions(ctx context.Context) error {
	finish := time.Now().Add(moveLasts).UTC().Format(time.RFC3339)
	for _, m := range [][]string{
		{"version", "booking", goodVersion, "--id", goodMoveID, "--reason", "The new version confirms bookings faster than before."},
		{"version", "media", badVersion, "--id", badMoveID, "--reason", "The new version stores wall scans in a smaller format."},
	} {
		m = append(m, "--finish-by", finish, "--unproven-cap", "0.5")
		out, err := s.world.RunCommand(ctx, s.world.Nodes[0], m...)
		if err != nil {
			return err
		}
		s.say("a move of %s to version %s was published\n%s", m[1], m[2], out)
	}
	for i := range 2 {
		centre := []string{"cluj", "brasov"}[i]
		if _, err := s.world.AddNode("booking", goodVersion, centre); err != nil {
			return err
		}
		bad, err := s.world.AddNode("media", badVersion, centre)
		if err != nil {
			return err
		}
		if err := s.spoil(ctx, bad); err != nil {
			return err
		}
	}
	s.say("2 upstreams of each new version started; %.0f%% of the requests to media version %s fail", 100*brokenPortion, badVersion)
	return nil
}
