package main

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/deploy"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/server"
	upstream "gitlab.com/cranberrytack/cranberrytack/internal/fakes/server"
)

// spoil makes an upstream fail a part of its requests.
func (s *story) spoil(ctx context.Context, n *deploy.Node) error {
	for ctx.Err() == nil {
		if deploy.SetFaults(ctx, n.UpstreamAddr, upstream.Faults{FailRate: brokenPortion}) == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Errorf("upstream %s did not start", n.Name)
}

// waitMembers waits until every daemon knows a number of members.
func (s *story) waitMembers(ctx context.Context, want int) error {
	for _, n := range s.world.Nodes {
		for !s.knows(ctx, n, want) {
			if ctx.Err() != nil {
				return errors.Errorf("daemon %s does not know %d members", n.Name, want)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (s *story) knows(ctx context.Context, n *deploy.Node, want int) bool {
	var page server.Page[server.Member]
	return s.world.GetAdmin(ctx, n, "/v1/members", &page) == nil && len(page.Items) >= want
}

// finish prints the report and checks every promise.
func (s *story) finish(ctx context.Context) error {
	report, err := s.world.RunCommand(ctx, s.world.Nodes[2], "explain", "--last", "5m")
	if err != nil {
		return err
	}
	s.report = report
	fmt.Println(report)
	var exceptions server.Page[server.Exception]
	if err := s.world.GetAdmin(ctx, s.world.Nodes[3], "/v1/exceptions", &exceptions); err != nil {
		return errors.Wrap(err, "read exceptions")
	}
	runs, err := s.world.Runs(ctx)
	if err != nil {
		return err
	}
	problems := s.checkAnswers()
	problems = append(problems, deploy.CheckRuns(s.traffic.Results(), runs)...)
	problems = append(problems, s.checkCentre(runs)...)
	problems = append(problems, s.checkMoves(exceptions.Items)...)
	problems = append(problems, s.world.StopDaemons()...)
	problems = append(problems, s.world.Violations()...)
	s.say("all daemons were stopped")
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "\n"))
	}
	return nil
}

// checkAnswers prints what callers were told and checks that each answer is
// whole and its own.
func (s *story) checkAnswers() []string {
	var problems []string
	counts := make(map[string]int)
	var took []time.Duration
	for _, c := range s.traffic.Results() {
		counts[fmt.Sprintf("%s_%d_%s_%s", strings.ReplaceAll(c.Kind, " ", "_"), c.Status, c.Outcome, c.Reason)]++
		if c.Problem != "" {
			problems = append(problems, fmt.Sprintf("%s %s: %s", c.Kind, c.Path, c.Problem))
		}
		if c.Kind == "lookup" {
			took = append(took, c.Duration)
		}
	}
	for _, k := range sortedKeys(counts) {
		fmt.Printf("calls_%s=%d\n", strings.TrimSuffix(k, "_"), counts[k])
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	if len(took) > 0 {
		fmt.Printf("lookup_p50_ms=%.2f\nlookup_p99_ms=%.2f\n", ms(took[len(took)/2]), ms(took[len(took)*99/100]))
	}
	return deploy.FirstProblems(problems)
}

// checkCentre checks that the data centre that was out got no new work.
func (s *story) checkCentre(runs map[*deploy.Node][]upstream.Run) []string {
	from := float64(s.outAt.Add(moveGrace).UnixMilli())
	to := float64(s.backAt.UnixMilli())
	late, after, last := 0, 0, 0.0
	for n, rs := range runs {
		for _, r := range rs {
			if n.Centre != outCentre {
				continue
			}
			switch {
			case r.StartedAtMS > from && r.StartedAtMS < to:
				late++
			case r.StartedAtMS > to:
				after++
			case r.StartedAtMS > float64(s.outAt.UnixMilli()):
				last = max(last, r.StartedAtMS-float64(s.outAt.UnixMilli()))
			}
		}
	}
	fmt.Printf("centre_out_last_new_work_ms=%.0f\ncentre_out_late_calls=%d\ncentre_back_calls=%d\n", last, late, after)
	var problems []string
	if late > 0 {
		problems = append(problems, fmt.Sprintf("%d calls began in %s while it was out", late, outCentre))
	}
	if after == 0 {
		problems = append(problems, outCentre+" got no calls after its return")
	}
	if !strings.Contains(s.report, "done") {
		problems = append(problems, "the report does not say that the move was done")
	}
	return problems
}

// checkMoves checks that the good version is in place and the bad one gone.
func (s *story) checkMoves(list []server.Exception) []string {
	found := map[string]string{}
	for _, e := range list {
		if e.Move != nil {
			found[e.ID] = e.Move.State
		}
	}
	fmt.Printf("good_version=%s\nbad_version=%s\n", found[goodMoveID], found[badMoveID])
	var problems []string
	if found[goodMoveID] != "done" {
		problems = append(problems, "the good version was not completed in time")
	}
	if found[badMoveID] != "taken_back" {
		problems = append(problems, "the bad version was not taken back")
	}
	return problems
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
