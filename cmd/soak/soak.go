package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/deploy"
	"gitlab.com/cranberrytack/cranberrytack/internal/fakes/logsrv"
	upstream "gitlab.com/cranberrytack/cranberrytack/internal/fakes/server"
)

const (
	minFaultInterval = 300 * time.Millisecond
	maxFaultInterval = 1500 * time.Millisecond
	// recoveryTime is how long calls continue after all faults were removed.
	recoveryTime   = 8 * time.Second
	startupTimeout = 20 * time.Second
)

// soak injects faults under load and checks the results of the calls.
type soak struct {
	deployment *deploy.Deployment
	rand       *rand.Rand
	duration   time.Duration
	startedAt  time.Time

	mu sync.Mutex
	// hasNodeFault is true for the nodes with an active fault of a perNode kind.
	hasNodeFault map[*deploy.Node]bool
	entryOutages []outage
	faultCounts  map[string]int
	daemonErrors []string
	faultErrors  []string
	wg           sync.WaitGroup
}

// outage is a period in which connections to a node's entry may break.
type outage struct {
	node     *deploy.Node
	from, to time.Time
}

func (s *soak) run(ctx context.Context) error {
	s.faultCounts = make(map[string]int)
	if err := s.setUp(ctx); err != nil {
		return err
	}
	s.startedAt = time.Now()
	loadGen := deploy.NewLoadGenerator(s.deployment)
	loadCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		loadGen.Run(loadCtx)
	}()
	s.injectFaults(ctx)
	s.wg.Wait()
	s.clearFaults(ctx)
	time.Sleep(recoveryTime)
	stop()
	<-done
	return s.checkResults(ctx, loadGen.Results())
}

func (s *soak) setUp(ctx context.Context) error {
	centres := []string{"cluj", "brasov", "sibiu"}
	for i := range 9 {
		service := "booking"
		if i >= 6 {
			service = "media"
		}
		if _, err := s.deployment.AddNode(service, "1", centres[i%len(centres)]); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	if err := s.deployment.WaitReady(ctx); err != nil {
		return err
	}
	return s.deployment.Publish(ctx, s.deployment.Nodes[0], "defaults.toml", defaultsDocument)
}

// injectFaults starts random faults at random intervals until the configured
// duration is over.
func (s *soak) injectFaults(ctx context.Context) {
	kinds := s.faultKinds()
	for time.Since(s.startedAt) < s.duration && ctx.Err() == nil {
		time.Sleep(minFaultInterval + time.Duration(s.rand.Int64N(int64(maxFaultInterval-minFaultInterval))))
		// With a probability of 1/3, a second fault starts at the same time.
		for range 1 + s.rand.IntN(3)/2 {
			k := kinds[s.rand.IntN(len(kinds))]
			n := s.deployment.Nodes[s.rand.IntN(len(s.deployment.Nodes))]
			duration := 200*time.Millisecond + time.Duration(s.rand.Int64N(int64(3*time.Second)))
			s.startFault(ctx, k, n, duration)
		}
	}
}

func (s *soak) startFault(ctx context.Context, k faultKind, n *deploy.Node, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k.perNode && s.hasNodeFault[n] {
		return
	}
	if k.perNode {
		s.hasNodeFault[n] = true
	}
	s.faultCounts[k.name]++
	fmt.Printf("at=%.1fs fault=%s node=%s ms=%d\n", time.Since(s.startedAt).Seconds(), k.name, n.Name, duration.Milliseconds())
	s.wg.Go(func() {
		k.inject(ctx, n, duration)
		s.mu.Lock()
		defer s.mu.Unlock()
		if k.perNode {
			s.hasNodeFault[n] = false
		}
	})
}

// clearFaults removes the faults of the log and the upstreams, and brings all
// data centres back into service.
func (s *soak) clearFaults(ctx context.Context) {
	s.setFaults(ctx, s.deployment.LogAddr, logsrv.Faults{})
	for _, n := range s.deployment.Nodes {
		s.setFaults(ctx, n.UpstreamAddr, upstream.Faults{})
	}
	for _, c := range []string{"cluj", "brasov", "sibiu"} {
		_, _ = s.deployment.RunCommand(ctx, s.deployment.Nodes[0], "move", "back", c, "--reason", "The soak run ends and all centres return.")
	}
}

// checkResults prints the number of calls by outcome and of faults by kind, and
// returns an error that lists every failed check.
func (s *soak) checkResults(ctx context.Context, results []deploy.RequestResult) error {
	runs, err := s.deployment.Runs(ctx)
	if err != nil {
		return err
	}
	problems := deploy.CheckRuns(results, runs)
	problems = append(problems, s.checkConnections(results)...)
	problems = append(problems, s.checkRecovery(results)...)
	problems = append(problems, s.daemonErrors...)
	problems = append(problems, s.faultErrors...)
	problems = append(problems, s.deployment.StopDaemons()...)
	problems = append(problems, s.deployment.Violations()...)
	counts := make(map[string]int)
	for _, c := range results {
		counts["calls_"+c.Outcome]++
	}
	for name, n := range s.faultCounts {
		counts["faults_"+name] = n
	}
	keys := make([]string, 0, len(counts))
	for k := range counts {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		fmt.Printf("%s=%d\n", k, counts[k])
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "\n"))
	}
	return nil
}

// checkConnections checks that no caller received the response to another
// request, and that connections to an entry broke only around the time its
// daemon was killed.
func (s *soak) checkConnections(results []deploy.RequestResult) []string {
	var problems []string
	for _, c := range results {
		switch {
		case c.Problem == "" || strings.Contains(c.Problem, "connection refused"):
		case strings.Contains(c.Problem, "another request"):
			problems = append(problems, fmt.Sprintf("%s %s: %s", c.Kind, c.Path, c.Problem))
		case !s.isExplained(c):
			problems = append(problems, fmt.Sprintf("%s %s at %s after %.1fs: %s", c.Kind, c.Path, c.EntryNode.Name, c.StartedAt.Sub(s.startedAt).Seconds(), c.Problem))
		}
	}
	return deploy.FirstProblems(problems)
}

func (s *soak) isExplained(c deploy.RequestResult) bool {
	// The fault "cut" truncates responses of an upstream to callers of all entries.
	if strings.Contains(c.Problem, "response truncated") && s.faultCounts["cut"] > 0 {
		return true
	}
	// A call that got no response has no duration. It may have failed up to 10 s
	// after its start, which is the client's timeout.
	for _, o := range s.entryOutages {
		if o.node == c.EntryNode && c.StartedAt.Before(o.to) && c.StartedAt.Add(c.Duration).After(o.from.Add(-10*time.Second)) {
			return true
		}
	}
	return false
}

// checkRecovery checks that at least 99% of the calls of the last 3 s, after all
// faults have ended, were answered with status 200.
func (s *soak) checkRecovery(results []deploy.RequestResult) []string {
	cutoff := results[len(results)-1].StartedAt.Add(-3 * time.Second)
	total, answered := 0, 0
	for _, c := range results {
		if c.StartedAt.After(cutoff) {
			total++
			if c.Status == 200 {
				answered++
			}
		}
	}
	fmt.Printf("healed_calls=%d\nhealed_answered=%d\n", total, answered)
	// Up to 1 call in 100 may fail on a connection that is being closed.
	if answered*100 < total*99 {
		return []string{fmt.Sprintf("only %d of %d calls were answered after the faults ended", answered, total)}
	}
	return nil
}
