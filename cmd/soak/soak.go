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
	leastPause = 300 * time.Millisecond
	mostPause  = 1500 * time.Millisecond
	healTime   = 8 * time.Second
	readyTime  = 20 * time.Second
)

// soak injects faults and remembers which failures of calls they explain.
type soak struct {
	world *deploy.Deployment
	rand  *rand.Rand
	span  time.Duration
	began time.Time

	mu      sync.Mutex
	busy    map[*deploy.Node]bool
	hurt    []span
	faults  map[string]int
	stopped []string
	wg      sync.WaitGroup
}

// span is a time in which connections of a node's entry may break.
type span struct {
	node     *deploy.Node
	from, to time.Time
}

func (s *soak) run(ctx context.Context) error {
	s.faults = make(map[string]int)
	if err := s.setUp(ctx); err != nil {
		return err
	}
	s.began = time.Now()
	traffic := deploy.NewLoadGenerator(s.world)
	tctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		traffic.Run(tctx)
	}()
	s.inject(ctx)
	s.wg.Wait()
	s.heal(ctx)
	time.Sleep(healTime)
	stop()
	<-done
	return s.judge(ctx, traffic.Results())
}

func (s *soak) setUp(ctx context.Context) error {
	centres := []string{"cluj", "brasov", "sibiu"}
	for i := range 9 {
		service := "booking"
		if i >= 6 {
			service = "media"
		}
		if _, err := s.world.AddNode(service, "1", centres[i%len(centres)]); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	if err := s.world.WaitReady(ctx); err != nil {
		return err
	}
	return s.world.Publish(ctx, s.world.Nodes[0], "defaults.toml", defaults)
}

// inject draws faults until the time is up.
func (s *soak) inject(ctx context.Context) {
	kinds := s.kinds()
	for time.Since(s.began) < s.span && ctx.Err() == nil {
		time.Sleep(leastPause + time.Duration(s.rand.Int64N(int64(mostPause-leastPause))))
		// Twice as often as not, a second fault comes at the same time.
		for range 1 + s.rand.IntN(3)/2 {
			k := kinds[s.rand.IntN(len(kinds))]
			n := s.world.Nodes[s.rand.IntN(len(s.world.Nodes))]
			length := 200*time.Millisecond + time.Duration(s.rand.Int64N(int64(3*time.Second)))
			s.start(ctx, k, n, length)
		}
	}
}

func (s *soak) start(ctx context.Context, k kind, n *deploy.Node, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k.node && s.busy[n] {
		return
	}
	if k.node {
		s.busy[n] = true
	}
	s.faults[k.name]++
	fmt.Printf("at=%.1fs fault=%s node=%s ms=%d\n", time.Since(s.began).Seconds(), k.name, n.Name, length.Milliseconds())
	s.wg.Go(func() {
		k.run(ctx, n, length)
		s.mu.Lock()
		defer s.mu.Unlock()
		if k.node {
			s.busy[n] = false
		}
	})
}

// heal ends all faults that last.
func (s *soak) heal(ctx context.Context) {
	_ = deploy.SetFaults(ctx, s.world.LogAddr, logsrv.Faults{})
	for _, n := range s.world.Nodes {
		_ = deploy.SetFaults(ctx, n.UpstreamAddr, upstream.Faults{})
	}
	for _, c := range []string{"cluj", "brasov", "sibiu"} {
		_, _ = s.world.RunCommand(ctx, s.world.Nodes[0], "move", "back", c, "--reason", "The soak run ends and all centres return.")
	}
}

// judge checks the history and prints a summary.
func (s *soak) judge(ctx context.Context, told []deploy.RequestResult) error {
	runs, err := s.world.Runs(ctx)
	if err != nil {
		return err
	}
	problems := deploy.CheckRuns(told, runs)
	problems = append(problems, s.checkBroken(told)...)
	problems = append(problems, s.checkHealed(told)...)
	problems = append(problems, s.stopped...)
	problems = append(problems, s.world.StopDaemons()...)
	problems = append(problems, s.world.Violations()...)
	counts := make(map[string]int)
	for _, c := range told {
		counts["calls_"+c.Outcome]++
	}
	for name, n := range s.faults {
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

// checkBroken checks that no answer was crossed, and that connections to an
// entry broke only while that entry was killed.
func (s *soak) checkBroken(told []deploy.RequestResult) []string {
	var problems []string
	for _, c := range told {
		switch {
		case c.Problem == "" || strings.Contains(c.Problem, "connection refused"):
		case strings.Contains(c.Problem, "another request"):
			problems = append(problems, fmt.Sprintf("%s %s: %s", c.Kind, c.Path, c.Problem))
		case !s.explained(c):
			problems = append(problems, fmt.Sprintf("%s %s at %s after %.1fs: %s", c.Kind, c.Path, c.EntryNode.Name, c.StartedAt.Sub(s.began).Seconds(), c.Problem))
		}
	}
	return deploy.FirstProblems(problems)
}

func (s *soak) explained(c deploy.RequestResult) bool {
	// An upstream that breaks its answers off does so for callers of all entries.
	if strings.Contains(c.Problem, "cut short") && s.faults["cut"] > 0 {
		return true
	}
	for _, h := range s.hurt {
		if h.node == c.EntryNode && c.StartedAt.Before(h.to) && c.StartedAt.Add(c.Duration).After(h.from.Add(-10*time.Second)) {
			return true
		}
	}
	return false
}

// checkHealed checks that calls are answered again once the faults are over.
func (s *soak) checkHealed(told []deploy.RequestResult) []string {
	last := told[len(told)-1].StartedAt.Add(-3 * time.Second)
	all, answered := 0, 0
	for _, c := range told {
		if c.StartedAt.After(last) {
			all++
			if c.Status == 200 {
				answered++
			}
		}
	}
	fmt.Printf("healed_calls=%d\nhealed_answered=%d\n", all, answered)
	// 1 call in 100 may meet a connection that is being closed.
	if answered*100 < all*99 {
		return []string{fmt.Sprintf("only %d of %d calls were answered after the faults ended", answered, all)}
	}
	return nil
}
