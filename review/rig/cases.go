//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	fleetStartLimit = 15 * time.Second
	// drainTime is the bound drain_ms.
	drainTime = 2 * time.Second
)

// caseDrain lets a target report that it drains and go on serving, as targets do. With the
// disruption, one heartbeat of another writer arrives that lacks the field born.
func caseDrain(f *Fleet, c *Clients, trouble bool) []string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.Sleep(4 * time.Second)
	c.Load(ctx, 8, 0.4)
	time.Sleep(4 * time.Second)
	t := f.Machines[0].Target
	t.Drain()
	time.Sleep(4600 * time.Millisecond)
	if trouble {
		body := t.heartbeat("ready", t.LastSequence()+1)
		delete(body, "born")
		status := t.post(body)
		f.rec.Logf("another writer's heartbeat of %s without born, sequence=%v: status=%d", t.ID, body["sequence"], status)
	}
	time.Sleep(5 * time.Second)
	cancel()
	c.Wait()
	acked := t.DrainAcked()
	if acked == 0 {
		return nil
	}
	var broken []string
	for _, run := range t.Runs() {
		if run.At > acked+drainTime {
			broken = append(broken, fmt.Sprintf("DRAIN: request %s reaches target %s %.3f s after its draining was acknowledged", run.ID, t.ID, (run.At-acked).Seconds()))
		}
	}
	return broken
}

const (
	// extraShare is the share of answers after which a faulty target sends additional bytes.
	extraShare = 0.03
	// extraWindow is how long targets are faulty at a time, extraPause the time between, and
	// extraWindows how often.
	extraWindow  = 5 * time.Second
	extraPause   = 2 * time.Second
	extraWindows = 6
)

// Bytes that belong to no request. Neither has a Request-Id.
const (
	strayMisdirected = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-02d9e6b4\r\nContent-Length: 0\r\n\r\n"
	strayUnavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// caseMisdirected sends a stray 421 and returns the bookings that ran twice.
func caseMisdirected(f *Fleet, c *Clients, trouble bool) []string {
	playExtra(f, c, trouble, strayMisdirected)
	return runTwice(f)
}

// caseUnavailable sends a stray 503 and returns the promises that were broken.
func caseUnavailable(f *Fleet, c *Clients, trouble bool) []string {
	playExtra(f, c, trouble, strayUnavailable)
	return falsePromises(f, c)
}

// playExtra lets two of four targets send additional bytes after some of their complete
// answers, late, at the point where the next answer is expected.
func playExtra(f *Fleet, c *Clients, trouble bool, stray string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.Sleep(4 * time.Second)
	c.Load(ctx, 11, 0.4)
	time.Sleep(3 * time.Second)
	for range extraWindows {
		if trouble {
			f.setExtra(func() []byte {
				if rand.Float64() >= extraShare {
					return nil
				}
				return []byte(stray)
			})
		}
		time.Sleep(extraWindow)
		f.setExtra(nil)
		time.Sleep(extraPause)
	}
	cancel()
	c.Wait()
}

// setExtra makes the first two targets faulty, or sound again.
func (f *Fleet) setExtra(extra func() []byte) {
	for _, m := range f.Machines[:2] {
		m.Target.SetExtra(extra)
	}
}

// runTwice returns the bookings that targets ran more than once.
func runTwice(f *Fleet) []string {
	runs := make(map[string][]Run)
	for _, m := range f.Machines {
		for _, r := range m.Target.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	var broken []string
	for id, rs := range runs {
		if len(rs) < 2 || !strings.HasPrefix(rs[0].Path, prefixBooking) {
			continue
		}
		text := fmt.Sprintf("TWICE: booking %s runs %d times:", id, len(rs))
		for _, r := range rs {
			text += fmt.Sprintf(" at target %s at %.3f s", r.Target, r.At.Seconds())
		}
		broken = append(broken, text)
	}
	return broken
}

// falsePromises returns the bookings that were answered with a promise and have run.
func falsePromises(f *Fleet, c *Clients) []string {
	runs := make(map[string]Run)
	for _, m := range f.Machines {
		for _, r := range m.Target.Runs() {
			runs[r.ID] = r
		}
	}
	var broken []string
	for _, a := range c.Answers() {
		run, ran := runs[a.ID]
		promised := a.Status == 503 || a.Status == 429 || a.Status == 408 || a.Status == 421
		if a.Booking && promised && ran {
			broken = append(broken, fmt.Sprintf("REFUSED: booking %s (%s) is answered %d at %.3f s and ran at target %s at %.3f s", a.ID, a.Job, a.Status, a.At.Seconds(), run.Target, run.At.Seconds()))
		}
	}
	return broken
}

const (
	// rolloutTime is duration_s of a rollout, exposureShare and exposureSlack are the bounds.
	rolloutTime   = 10 * time.Second
	exposureShare = 0.1
	exposureSlack = 50
	// drainDelay is the time from the status rolled_back until the new targets drain.
	drainDelay = 5 * time.Second
)

// caseRollout brings in a bad version, which is rolled back, and then orders another version:
// with the disruption at once, without it once the targets of the bad version have gone.
func caseRollout(f *Fleet, c *Clients, trouble bool) []string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.Sleep(4 * time.Second)
	c.Load(ctx, 17, 0.3)
	time.Sleep(4 * time.Second)
	ordered := f.order("v2")
	bad := f.AddMachines(6, "v2", false)
	for _, m := range bad {
		m.Target.FailurePrefix, m.Target.FailureShare = prefixBooking, 0.5
		if err := f.StartMachine(m); err != nil {
			return nil
		}
	}
	f.awaitStatus("rolled_back", 15*time.Second)
	rolledBack := f.rec.Now()
	if trouble {
		time.Sleep(300 * time.Millisecond)
		f.startRollout("v3")
	}
	time.Sleep(drainDelay - (f.rec.Now() - rolledBack))
	for _, m := range bad {
		go m.Target.Drain()
	}
	time.Sleep(drainTime + 500*time.Millisecond)
	for _, m := range bad {
		m.Target.Deregister()
	}
	if !trouble {
		f.startRollout("v3")
	}
	time.Sleep(max(0, ordered+rolloutTime+time.Second-f.rec.Now()))
	cancel()
	c.Wait()
	all, atBad := 0, 0
	for _, m := range f.Machines {
		for _, r := range m.Target.Runs() {
			if r.At >= ordered && r.At <= ordered+rolloutTime {
				all++
				if m.Target.Version == "v2" {
					atBad++
				}
			}
		}
	}
	allowed := exposureShare*float64(all) + exposureSlack
	summary := fmt.Sprintf("the bad version got %d requests of %d between its order and its deadline, allowed %.0f", atBad, all, allowed)
	f.rec.Logf("%s", summary)
	fmt.Println(summary)
	if float64(atBad) > allowed {
		return []string{"EXPOSURE: " + summary}
	}
	return nil
}

// order orders a version and returns when.
func (f *Fleet) order(version string) time.Duration {
	at := f.rec.Now()
	f.Store.Put("rollout/"+serviceName, map[string]any{"backend": serviceName, "to_version": version, "duration_s": rolloutTime.Seconds()})
	return at
}

// startRollout orders a good version and starts its targets beside the others.
func (f *Fleet) startRollout(version string) {
	f.order(version)
	for _, m := range f.AddMachines(6, version, false) {
		if err := f.StartMachine(m); err != nil {
			f.rec.Logf("machine %s does not start: %v", m.Name, err)
		}
	}
}

// awaitStatus waits until the status of the rollout has the phase.
func (f *Fleet) awaitStatus(phase string, limit time.Duration) {
	for end := f.rec.Now() + limit; f.rec.Now() < end; time.Sleep(20 * time.Millisecond) {
		if strings.Contains(string(f.Store.Status("rollout/"+serviceName)), phase) {
			return
		}
	}
}
