package main

import (
	"context"
	"syscall"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/deploy"
	"gitlab.com/cranberrytack/cranberrytack/internal/fakes/logsrv"
	upstream "gitlab.com/cranberrytack/cranberrytack/internal/fakes/server"
)

const defaultsDocument = `document = "defaults"
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

// faultKind is a kind of fault. If perNode is true, at most one such fault is
// active on a node at a time. inject starts the fault and returns when it has
// ended; stopDaemon and killDaemon use only a part of duration, raceOperators
// ignores it.
type faultKind struct {
	name    string
	perNode bool
	inject  func(ctx context.Context, n *deploy.Node, duration time.Duration)
}

func (s *soak) faultKinds() []faultKind {
	return []faultKind{
		{"slow", true, s.upstreamFault(upstream.Faults{SlowFactor: 20})},
		{"fail_fast", true, s.upstreamFault(upstream.Faults{FailRate: 0.8})},
		{"cold", true, s.upstreamFault(upstream.Faults{Cold: true})},
		{"cut", true, s.upstreamFault(upstream.Faults{CutRate: 0.3})},
		{"pause_daemon", true, s.pauseDaemon},
		{"pause_upstream", true, s.pauseUpstream},
		{"kill_daemon", true, s.killDaemon},
		{"stop_daemon", true, s.stopDaemon},
		{"log_down", false, s.logFault(logsrv.Faults{Down: true})},
		{"log_slow", false, s.logFault(logsrv.Faults{SlowMS: 800})},
		{"log_lost_acks", false, s.logFault(logsrv.Faults{LoseAcks: -1})},
		{"operators_race", false, s.raceOperators},
	}
}

func (s *soak) upstreamFault(f upstream.Faults) func(context.Context, *deploy.Node, time.Duration) {
	return func(ctx context.Context, n *deploy.Node, duration time.Duration) {
		s.setFaults(ctx, n.UpstreamAddr, f)
		time.Sleep(duration)
		s.setFaults(ctx, n.UpstreamAddr, upstream.Faults{})
	}
}

func (s *soak) logFault(f logsrv.Faults) func(context.Context, *deploy.Node, time.Duration) {
	return func(ctx context.Context, _ *deploy.Node, duration time.Duration) {
		s.setFaults(ctx, s.deployment.LogAddr, f)
		time.Sleep(duration)
		s.setFaults(ctx, s.deployment.LogAddr, logsrv.Faults{})
	}
}

// setFaults replaces the faults of the fake service at addr. A failure is a problem
// of the run, because later checks would apply to a fault that is not in force.
func (s *soak) setFaults(ctx context.Context, addr string, faults any) {
	err := deploy.SetFaults(ctx, addr, faults)
	if err == nil || ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultErrors = append(s.faultErrors, err.Error())
}

func (s *soak) pauseDaemon(_ context.Context, n *deploy.Node, duration time.Duration) {
	_ = n.DaemonCmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = n.DaemonCmd.Process.Signal(syscall.SIGCONT)
}

func (s *soak) pauseUpstream(_ context.Context, n *deploy.Node, duration time.Duration) {
	_ = n.UpstreamCmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = n.UpstreamCmd.Process.Signal(syscall.SIGCONT)
}

func (s *soak) killDaemon(_ context.Context, n *deploy.Node, duration time.Duration) {
	from := time.Now()
	_ = n.DaemonCmd.Process.Kill()
	_ = n.DaemonCmd.Wait()
	time.Sleep(duration / 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entryOutages = append(s.entryOutages, outage{node: n, from: from, to: time.Now().Add(time.Second)})
	s.restartDaemon(n)
}

// stopDaemon stops a daemon gracefully, which must not interrupt any call, and
// restarts it.
func (s *soak) stopDaemon(_ context.Context, n *deploy.Node, duration time.Duration) {
	_ = n.DaemonCmd.Process.Signal(syscall.SIGTERM)
	err := n.DaemonCmd.Wait()
	time.Sleep(duration / 4)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.daemonErrors = append(s.daemonErrors, "planned stop of "+n.Name+": "+err.Error())
	}
	s.restartDaemon(n)
}

func (s *soak) restartDaemon(n *deploy.Node) {
	if err := s.deployment.StartDaemon(n); err != nil {
		s.daemonErrors = append(s.daemonErrors, "restart of "+n.Name+": "+err.Error())
	}
}

// raceOperators runs the commands of two operators who take the same data
// centre out at the same time, and then brings it back into service.
func (s *soak) raceOperators(ctx context.Context, n *deploy.Node, _ time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, 12*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = s.deployment.RunCommand(ctx, s.deployment.Nodes[0], "move", "out", n.Centre, "--reason", "The first operator repairs the power supply.")
	}()
	_, _ = s.deployment.RunCommand(ctx, s.deployment.Nodes[1], "move", "out", n.Centre, "--reason", "The second operator repairs the cooling system.")
	<-done
	_, _ = s.deployment.RunCommand(ctx, s.deployment.Nodes[2], "move", "back", n.Centre, "--reason", "The repair was finished and was checked.")
}
