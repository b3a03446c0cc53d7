//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns how the rule was broken, or an empty text.
var cases = map[string]func(*rig) string{
	"beat": beatCase,
	"stop": stopCase,
	"move": moveCase,
}

const host = "desk.example"

// config returns a configuration with one route to a service.
func config(version int, service, prefix, routeType string, timeoutMs, aimMs int, services ...string) map[string]any {
	clusters := make([]any, 0, len(services))
	for _, s := range services {
		clusters = append(clusters, map[string]any{
			"name": s, "health_path": "/healthz", "max_connections": 240, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 5.9,
		})
	}
	return map[string]any{
		"version":  version,
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"clusters": clusters,
		"listeners": []any{map[string]any{"hostname": host, "route_rules": []any{map[string]any{
			"name": "r-1", "route_type": routeType, "aim_ms": aimMs, "priority": 1, "match": map[string]string{"path_prefix": prefix},
			"action": map[string]any{"backend": service, "timeout_ms": timeoutMs, "retry_attempts": 2},
		}}}},
	}
}

// startAll starts all daemons and a target beside each, and waits until the daemons are ready.
func (r *rig) startAll(work time.Duration) []*target {
	var targets []*target
	for _, m := range r.machines {
		m.start()
	}
	for _, m := range r.machines {
		t := newTarget(m, m.service, work)
		targets = append(targets, t)
		go t.beatLoop(r.ctx)
	}
	for _, m := range r.machines {
		m.awaitReady(15 * time.Second)
	}
	return targets
}

// beatCase: a target deregisters while the store is down, and all daemons are killed before it is
// back. A heartbeat that was sent before arrives seconds late.
func beatCase(r *rig) string {
	const drainBound = 2 * time.Second
	const stableWindow = 3 * time.Second
	for _, zone := range []string{"cluj", "brasov", "sibiu"} {
		r.addMachine(zone, "booking-desk")
	}
	r.store.put("keyed.op", "config", config(3, "booking-desk", "/lookup/", "idempotent", 1500, 600, "booking-desk"))
	targets := r.startAll(100 * time.Millisecond)
	time.Sleep(5 * time.Second)
	r.sendMany(r.machines, 50*time.Millisecond, time.Second, http.MethodGet, host, "/lookup/1", 1500*time.Millisecond)
	leaving := targets[0]
	leaving.silence()
	time.Sleep(beatInterval)
	late := leaving.beatBody()
	if r.trouble {
		r.store.setDown("*", true)
		r.record("store_down")
	}
	downAt := time.Now()
	leaving.mu.Lock()
	leaving.gone = true
	leaving.mu.Unlock()
	for !leaving.tell("deregister", []byte(fmt.Sprintf("{\"born\":%d}", leaving.born))) {
		time.Sleep(100 * time.Millisecond)
	}
	ackAt := time.Now()
	r.record("leaving_acknowledged", "target", leaving.instance)
	if r.trouble {
		time.Sleep(200 * time.Millisecond)
		for _, m := range r.machines {
			m.kill()
		}
		time.Sleep(300 * time.Millisecond)
		for _, m := range r.machines {
			m.start()
		}
		time.Sleep(time.Second)
		leaving.tell("heartbeat", late)
		time.Sleep(time.Until(downAt.Add(4500 * time.Millisecond)))
		r.store.setDown("*", false)
		r.record("store_up")
		for _, m := range r.machines {
			m.awaitReady(10 * time.Second)
		}
	}
	time.Sleep(stableWindow + 200*time.Millisecond)
	inTouch := time.Now()
	r.record("in_touch")
	r.sendMany(r.machines[1:], 10*time.Millisecond, 3*time.Second, http.MethodGet, host, "/lookup/2", 1500*time.Millisecond)
	from := inTouch
	if ackAt.Add(drainBound).After(from) {
		from = ackAt.Add(drainBound)
	}
	if n := leaving.arrivalsAfter(from); len(n) > 0 {
		return fmt.Sprintf("%d requests reached %s after its leaving was acknowledged, the first one %s after", len(n), leaving.instance, n[0].at.Sub(ackAt).Round(time.Millisecond))
	}
	return ""
}

// stopCase: a daemon gets SIGTERM while callers pipeline idempotent requests on connections with
// small windows.
func stopCase(r *rig) string {
	const callers = 12
	r.addMachine("cluj", "booking-desk")
	r.addMachine("brasov", "booking-desk")
	r.store.put("keyed.op", "config", config(3, "booking-desk", "/lookup/", "idempotent", 1500, 600, "booking-desk"))
	targets := r.startAll(30 * time.Millisecond)
	for _, t := range targets {
		t.bodyBytes = pipelineBodyBytes
	}
	time.Sleep(4 * time.Second)
	stopping := r.machines[0]
	results := make(chan pipelineResult)
	for range callers {
		go func() { results <- (&pipeline{machine: stopping}).run(8 * time.Second) }()
	}
	time.Sleep(time.Second)
	if r.trouble {
		r.record("sigterm", "machine", stopping.name)
		_ = stopping.cmd.Process.Signal(syscall.SIGTERM)
	}
	var truncated []string
	answered := 0
	for range callers {
		res := <-results
		answered += res.answered
		truncated = append(truncated, res.truncated...)
	}
	r.record("pipelines_ended", "answered", fmt.Sprint(answered), "truncated", fmt.Sprint(truncated))
	ran := 0
	for _, id := range truncated {
		for _, t := range targets {
			if t.hasRun(id) {
				ran++
			}
		}
	}
	if ran > 0 {
		return fmt.Sprintf("%d requests ran at their target, and their connections ended in the middle of the answer; %d others were answered", ran, answered)
	}
	return ""
}

// moveCase: the partition of keyed.peers is down while a roll-out of a bad version starts.
func moveCase(r *rig) string {
	const (
		service      = "booking-desk"
		outage       = 4500 * time.Millisecond
		stableWindow = 3 * time.Second
		duration     = 16 * time.Second
		share, slack = 0.1, 50
	)
	for _, zone := range []string{"cluj", "brasov", "sibiu"} {
		r.addMachine(zone, service)
	}
	callers := []*machine{r.addMachine("cluj", "route-archive"), r.addMachine("brasov", "route-archive")}
	r.store.put("keyed.op", "config", config(3, service, "/lookup/", "idempotent", 1500, 600, service, "route-archive"))
	targets := r.startAll(100 * time.Millisecond)
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	wg.Go(func() {
		r.sendMany(callers, 20*time.Millisecond, 2*time.Second+duration, http.MethodGet, host, "/lookup/1", 1500*time.Millisecond)
	})
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.store.setDown("keyed.peers", true)
		time.AfterFunc(outage, func() {
			r.store.setDown("keyed.peers", false)
			r.record("partition_up")
		})
		r.record("partition_down", "topic", "keyed.peers")
	}
	orderedAt := time.Now()
	r.store.put("keyed.op", "rollout/"+service, map[string]any{"backend": service, "to_version": "v2", "duration_s": duration.Seconds()})
	r.record("ordered", "version", "v2")
	time.Sleep(300 * time.Millisecond)
	var bad []*target
	for _, zone := range []string{"cluj", "brasov", "sibiu"} {
		m := r.addMachine(zone, service)
		m.bootstrap = false
		m.start()
		t := newTarget(m, service, 100*time.Millisecond)
		t.version, t.failShare = "v2", 0.5
		go t.beatLoop(r.ctx)
		bad = append(bad, t)
	}
	phase := ""
	for time.Since(orderedAt) < duration && phase != "succeeded" && phase != "rolled_back" {
		time.Sleep(50 * time.Millisecond)
		phase = r.phase(service)
	}
	r.record("move_ended", "phase", phase, "after", time.Since(orderedAt).String())
	if phase == "succeeded" {
		// The old targets stop at once, and then their daemons.
		for _, t := range targets[:3] {
			_ = t.server.Close()
			t.silence()
			_ = t.machine.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	wg.Wait()
	inTouch := orderedAt.Add(outage + stableWindow)
	all, toBad := 0, 0
	for _, t := range targets[:3] {
		all += len(t.arrivalsAfter(orderedAt))
	}
	for _, t := range bad {
		all += len(t.arrivalsAfter(orderedAt))
		toBad += len(t.arrivalsAfter(inTouch))
	}
	allowed := share*float64(all) + slack
	r.record("counted", "all", fmt.Sprint(all), "bad_in_touch", fmt.Sprint(toBad), "allowed", fmt.Sprint(allowed))
	if float64(toBad) > allowed {
		return fmt.Sprintf("the bad version got %d requests of %d from machines in touch; allowed %.0f; the move ended as %s", toBad, all, allowed, phase)
	}
	return ""
}

// phase returns the phase of a roll-out in the store.
func (r *rig) phase(service string) string {
	var status struct {
		Phase string `json:"phase"`
	}
	_ = json.Unmarshal(r.store.value("keyed.status", "rollout/"+service), &status)
	return status.Phase
}
