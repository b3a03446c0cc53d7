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

// injectFailures makes upstream n fail the fraction badVersionFailRate of its
// requests. It retries until the upstream accepts the setting.
func (s *scenario) injectFailures(ctx context.Context, n *deploy.Node) error {
	for ctx.Err() == nil {
		if deploy.SetFaults(ctx, n.UpstreamAddr, upstream.Faults{FailRate: badVersionFailRate}) == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Errorf("upstream %s did not start", n.Name)
}

// waitForMembers waits until every daemon lists at least want members.
func (s *scenario) waitForMembers(ctx context.Context, want int) error {
	for _, n := range s.deployment.Nodes {
		for !s.listsMembers(ctx, n, want) {
			if ctx.Err() != nil {
				return errors.Errorf("daemon %s does not list %d members", n.Name, want)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (s *scenario) listsMembers(ctx context.Context, n *deploy.Node, want int) bool {
	var page server.Page[server.Member]
	return s.deployment.GetAdmin(ctx, n, "/v1/members", &page) == nil && len(page.Items) >= want
}

// verify prints the output of the explain command, stops all daemons and
// returns an error that lists every failed check.
func (s *scenario) verify(ctx context.Context) error {
	report, err := s.deployment.RunCommand(ctx, s.deployment.Nodes[2], "explain", "--last", "5m")
	if err != nil {
		return err
	}
	s.report = report
	fmt.Println(report)
	var exceptions server.Page[server.Exception]
	if err := s.deployment.GetAdmin(ctx, s.deployment.Nodes[3], "/v1/exceptions", &exceptions); err != nil {
		return errors.Wrap(err, "read exceptions")
	}
	runs, err := s.deployment.Runs(ctx)
	if err != nil {
		return err
	}
	problems := s.checkResponses()
	problems = append(problems, deploy.CheckRuns(s.loadGen.Results(), runs)...)
	problems = append(problems, s.checkCentreOut(runs)...)
	problems = append(problems, s.checkVersionMoves(exceptions.Items)...)
	problems = append(problems, s.deployment.StopDaemons()...)
	problems = append(problems, s.deployment.Violations()...)
	s.logf("all daemons were stopped")
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "\n"))
	}
	return nil
}

// checkResponses prints the number of calls by outcome and the latency of
// lookups, and returns a problem for each response that is incomplete or
// belongs to another request.
func (s *scenario) checkResponses() []string {
	var problems []string
	counts := make(map[string]int)
	var lookupDurations []time.Duration
	for _, c := range s.loadGen.Results() {
		counts[fmt.Sprintf("%s_%d_%s_%s", strings.ReplaceAll(c.Kind, " ", "_"), c.Status, c.Outcome, c.Reason)]++
		if c.Problem != "" {
			problems = append(problems, fmt.Sprintf("%s %s: %s", c.Kind, c.Path, c.Problem))
		}
		if c.Kind == "lookup" {
			lookupDurations = append(lookupDurations, c.Duration)
		}
	}
	for _, k := range sortedKeys(counts) {
		fmt.Printf("calls_%s=%d\n", strings.TrimSuffix(k, "_"), counts[k])
	}
	sort.Slice(lookupDurations, func(i, j int) bool { return lookupDurations[i] < lookupDurations[j] })
	if len(lookupDurations) > 0 {
		fmt.Printf("lookup_p50_ms=%.2f\nlookup_p99_ms=%.2f\n", milliseconds(lookupDurations[len(lookupDurations)/2]), milliseconds(lookupDurations[len(lookupDurations)*99/100]))
	}
	return deploy.FirstProblems(problems)
}

// checkCentreOut checks that the removed data centre started no calls from
// centreOutGrace after its removal until its return, that it received calls
// again afterwards, and that the report lists the move as done.
func (s *scenario) checkCentreOut(runs map[*deploy.Node][]upstream.Run) []string {
	outFromMS := float64(s.centreOutAt.Add(centreOutGrace).UnixMilli())
	returnedMS := float64(s.centreReturnedAt.UnixMilli())
	callsWhileOut, callsAfterReturn, lastNewWorkMS := 0, 0, 0.0
	for n, rs := range runs {
		for _, r := range rs {
			if n.Centre != outCentre {
				continue
			}
			switch {
			case r.StartedAtMS > outFromMS && r.StartedAtMS < returnedMS:
				callsWhileOut++
			case r.StartedAtMS > returnedMS:
				callsAfterReturn++
			case r.StartedAtMS > float64(s.centreOutAt.UnixMilli()):
				lastNewWorkMS = max(lastNewWorkMS, r.StartedAtMS-float64(s.centreOutAt.UnixMilli()))
			}
		}
	}
	fmt.Printf("centre_out_last_new_work_ms=%.0f\ncentre_out_late_calls=%d\ncentre_back_calls=%d\n", lastNewWorkMS, callsWhileOut, callsAfterReturn)
	var problems []string
	if callsWhileOut > 0 {
		problems = append(problems, fmt.Sprintf("%d calls started in %s while it was out", callsWhileOut, outCentre))
	}
	if callsAfterReturn == 0 {
		problems = append(problems, outCentre+" received no calls after its return")
	}
	if !strings.Contains(s.report, "done") {
		problems = append(problems, "the explain report does not list the move as done")
	}
	return problems
}

// checkVersionMoves checks that the move to the good version is done and the
// move to the bad version was taken back.
func (s *scenario) checkVersionMoves(exceptions []server.Exception) []string {
	stateByID := map[string]string{}
	for _, e := range exceptions {
		if e.Move != nil {
			stateByID[e.ID] = e.Move.State
		}
	}
	fmt.Printf("good_version=%s\nbad_version=%s\n", stateByID[goodMoveID], stateByID[badMoveID])
	var problems []string
	if stateByID[goodMoveID] != "done" {
		problems = append(problems, "the move to the good version was not completed in time")
	}
	if stateByID[badMoveID] != "taken_back" {
		problems = append(problems, "the move to the bad version was not taken back")
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

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
