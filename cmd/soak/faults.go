package main

import (
	"context"
	"syscall"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/deploy"
	"gitlab.com/cranberrytack/cranberrytack/internal/fakes/logsrv"
	upstream "gitlab.com/cranberrytack/cranberrytack/internal/fakes/server"
)

const defaults = `document = "defaults"
timeout_ms = 1500

[[route]]
name = "bookings"
service = "booking"
prefix = "/bookings"
repeatable = false

[[route]]
name = "scans"
service = "media"
prefix = "/scans"
class = "transfer"
timeout_ms = 5000
repeatable = false

[[route]]
name = "wear"
service = "media"
prefix = "/wear"
class = "background"
`

// kind is a kind of fault. Node says that it needs a node for itself.
type kind struct {
	name string
	node bool
	run  func(ctx context.Context, n *deploy.Node, length time.Duration)
}

func (s *soak) kinds() []kind {
	return []kind{
		{"slow", true, s.upstream(upstream.Faults{SlowFactor: 20})},
		{"fail_fast", true, s.upstream(upstream.Faults{FailRate: 0.8})},
		{"cold", true, s.upstream(upstream.Faults{Cold: true})},
		{"cut", true, s.upstream(upstream.Faults{CutRate: 0.3})},
		{"pause_daemon", true, s.pauseDaemon},
		{"pause_upstream", true, s.pauseUpstream},
		{"kill_daemon", true, s.killDaemon},
		{"stop_daemon", true, s.stopDaemon},
		{"log_down", false, s.log(logsrv.Faults{Down: true})},
		{"log_slow", false, s.log(logsrv.Faults{SlowMS: 800})},
		{"log_lost_acks", false, s.log(logsrv.Faults{LoseAcks: -1})},
		{"operators_race", false, s.race},
	}
}

func (s *soak) upstream(f upstream.Faults) func(context.Context, *deploy.Node, time.Duration) {
	return func(ctx context.Context, n *deploy.Node, length time.Duration) {
		_ = deploy.SetFaults(ctx, n.UpstreamAddr, f)
		time.Sleep(length)
		_ = deploy.SetFaults(ctx, n.UpstreamAddr, upstream.Faults{})
	}
}

func (s *soak) log(f logsrv.Faults) func(context.Context, *deploy.Node, time.Duration) {
	return func(ctx context.Context, _ *deploy.Node, length time.Duration) {
		_ = deploy.SetFaults(ctx, s.world.LogAddr, f)
		time.Sleep(length)
		_ = deploy.SetFaults(ctx, s.world.LogAddr, logsrv.Faults{})
	}
}

func (s *soak) pauseDaemon(_ context.Context, n *deploy.Node, length time.Duration) {
	_ = n.DaemonCmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	_ = n.DaemonCmd.Process.Signal(syscall.SIGCONT)
}

func (s *soak) pauseUpstream(_ context.Context, n *deploy.Node, length time.Duration) {
	_ = n.UpstreamCmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	_ = n.UpstreamCmd.Process.Signal(syscall.SIGCONT)
}

func (s *soak) killDaemon(_ context.Context, n *deploy.Node, length time.Duration) {
	from := time.Now()
	_ = n.DaemonCmd.Process.Kill()
	_ = n.DaemonCmd.Wait()
	time.Sleep(length / 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hurt = append(s.hurt, span{node: n, from: from, to: time.Now().Add(time.Second)})
	s.restart(n)
}

// stopDaemon stops a daemon gracefully, which must not cut any call.
func (s *soak) stopDaemon(_ context.Context, n *deploy.Node, length time.Duration) {
	_ = n.DaemonCmd.Process.Signal(syscall.SIGTERM)
	err := n.DaemonCmd.Wait()
	time.Sleep(length / 4)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.stopped = append(s.stopped, "planned stop of "+n.Name+": "+err.Error())
	}
	s.restart(n)
}

func (s *soak) restart(n *deploy.Node) {
	if err := s.world.StartDaemon(n); err != nil {
		s.stopped = append(s.stopped, "restart of "+n.Name+": "+err.Error())
	}
}

// race lets two operators change the same data centre at the same time.
func (s *soak) race(ctx context.Context, n *deploy.Node, _ time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, 12*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = s.world.RunCommand(ctx, s.world.Nodes[0], "move", "out", n.Centre, "--reason", "The first operator repairs the power supply.")
	}()
	_, _ = s.world.RunCommand(ctx, s.world.Nodes[1], "move", "out", n.Centre, "--reason", "The second operator repairs the cooling system.")
	<-done
	_, _ = s.world.RunCommand(ctx, s.world.Nodes[2], "move", "back", n.Centre, "--reason", "The repair was finished and was checked.")
}
