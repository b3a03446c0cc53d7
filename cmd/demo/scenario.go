package main

import (
	"context"
	"fmt"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/deploy"

	"github.com/pkg/errors"
)

const (
	// Offsets count from the start of the load.
	centreOutOffset    = 8 * time.Second
	versionMovesOffset = 2 * time.Second
	centreReturnOffset = 18 * time.Second
	// versionMoveDuration counts from the publication of the moves.
	versionMoveDuration = 38 * time.Second
	loadDuration        = 43 * time.Second
	// centreOutGrace is the time a removal may take to be in force everywhere.
	centreOutGrace     = 3 * time.Second
	outCentre          = "sibiu"
	goodVersion        = "2"
	badVersion         = "2-bad"
	goodMoveID         = "booking-2"
	badMoveID          = "media-2-bad"
	badVersionFailRate = 0.4
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

// scenario runs the phases of the demo and records the times and the report
// that the final checks need.
type scenario struct {
	deployment       *deploy.Deployment
	loadGen          *deploy.LoadGenerator
	startedAt        time.Time
	centreOutAt      time.Time
	centreReturnedAt time.Time
	report           string
}

func (s *scenario) logf(format string, args ...any) {
	fmt.Printf("[%4.1fs] %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (s *scenario) run(ctx context.Context) error {
	if err := s.setUp(ctx); err != nil {
		return err
	}
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.loadGen = deploy.NewLoadGenerator(s.deployment)
	done := make(chan struct{})
	go func() {
		defer close(done)
		timedCtx, stop := context.WithTimeout(loadCtx, loadDuration)
		defer stop()
		s.loadGen.Run(timedCtx)
	}()
	if err := s.runOperatorSteps(ctx, time.Now()); err != nil {
		return err
	}
	<-done
	return s.verify(ctx)
}

// setUp starts 8 booking and 3 media upstreams in three data centres, each
// with a daemon, and publishes the fleet-wide defaults.
func (s *scenario) setUp(ctx context.Context) error {
	centres := []string{"cluj", "brasov", outCentre}
	for i := range 8 {
		if _, err := s.deployment.AddNode("booking", "1", centres[i%len(centres)]); err != nil {
			return err
		}
	}
	for i := range 3 {
		if _, err := s.deployment.AddNode("media", "1", centres[i%len(centres)]); err != nil {
			return err
		}
	}
	if err := s.deployment.WaitReady(ctx); err != nil {
		return err
	}
	if err := s.waitForMembers(ctx, len(s.deployment.Nodes)); err != nil {
		return err
	}
	s.logf("11 upstreams with a daemon each run in 3 data centres")
	if err := s.deployment.Publish(ctx, s.deployment.Nodes[0], "defaults.toml", defaultsDocument); err != nil {
		return err
	}
	s.logf("the operators published the fleet-wide defaults")
	return nil
}

// runOperatorSteps runs the operators' commands at fixed times after start.
func (s *scenario) runOperatorSteps(ctx context.Context, start time.Time) error {
	steps := []struct {
		at  time.Duration
		run func(context.Context) error
	}{
		{versionMovesOffset, s.startVersionMoves},
		{centreOutOffset, s.takeCentreOut},
		{centreReturnOffset, s.returnCentre},
	}
	for _, step := range steps {
		select {
		case <-time.After(time.Until(start.Add(step.at))):
		case <-ctx.Done():
			return errors.New("the demo timed out before the operators' commands were run")
		}
		if err := step.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) takeCentreOut(ctx context.Context) error {
	out, err := s.deployment.RunCommand(ctx, s.deployment.Nodes[0], "move", "out", outCentre,
		"--reason", "The cooling of the data centre is being repaired today.")
	s.centreOutAt = time.Now()
	s.logf("data centre %s was taken out\n%s", outCentre, out)
	return err
}

func (s *scenario) returnCentre(ctx context.Context) error {
	out, err := s.deployment.RunCommand(ctx, s.deployment.Nodes[1], "move", "back", outCentre,
		"--reason", "The cooling works again and was tested.")
	s.centreReturnedAt = time.Now()
	s.logf("data centre %s was returned\n%s", outCentre, out)
	return err
}

// startVersionMoves publishes moves to a good and a bad version, which limit
// the traffic of the new versions, and then starts upstreams of both beside
// the old ones.
func (s *scenario) startVersionMoves(ctx context.Context) error {
	finish := time.Now().Add(versionMoveDuration).UTC().Format(time.RFC3339)
	for _, m := range [][]string{
		{"version", "booking", goodVersion, "--id", goodMoveID, "--reason", "The new version confirms bookings faster than before."},
		{"version", "media", badVersion, "--id", badMoveID, "--reason", "The new version stores wall scans in a smaller format."},
	} {
		m = append(m, "--finish-by", finish, "--unproven-cap", "0.5")
		out, err := s.deployment.RunCommand(ctx, s.deployment.Nodes[0], m...)
		if err != nil {
			return err
		}
		s.logf("a move of %s to version %s was published\n%s", m[1], m[2], out)
	}
	for i := range 2 {
		centre := []string{"cluj", "brasov"}[i]
		if _, err := s.deployment.AddNode("booking", goodVersion, centre); err != nil {
			return err
		}
		bad, err := s.deployment.AddNode("media", badVersion, centre)
		if err != nil {
			return err
		}
		if err := s.injectFailures(ctx, bad); err != nil {
			return err
		}
	}
	s.logf("2 upstreams of each new version started; %.0f%% of the requests to media version %s fail", 100*badVersionFailRate, badVersion)
	return nil
}
