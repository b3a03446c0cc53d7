package health_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/health"
)

const now = 1000 * clock.Second

func heartbeat(instance string, seq uint64) health.Heartbeat {
	return health.Heartbeat{Instance: instance, Version: "v1", Slots: 6, Seq: seq}
}

func withStart(h health.Heartbeat, at clock.Milli) health.Heartbeat {
	h.StartedAt = at
	return h
}

func withDraining(h health.Heartbeat) health.Heartbeat {
	h.Draining = true
	return h
}

// Guards against stale heartbeats that are applied: ones that arrive late or come
// from a retired instance. Also guards against calls to an upstream that is down,
// drains or has deregistered.
func TestTracker(t *testing.T) {
	tests := map[string]struct {
		do     func(tr *health.Tracker)
		want   string
		usable bool
	}{
		"no heartbeat": {func(*health.Tracker) {}, "", false},
		"ready":        {func(tr *health.Tracker) { tr.HandleHeartbeat(now, heartbeat("a", 1)) }, "a", true},
		"draining":     {func(tr *health.Tracker) { tr.HandleHeartbeat(now, withDraining(heartbeat("a", 1))) }, "a", false},
		"deregistered": {func(tr *health.Tracker) { tr.HandleHeartbeat(now, heartbeat("a", 1)); tr.HandleDeregister("a", 0) }, "a", false},
		"ready after draining": {func(tr *health.Tracker) {
			tr.HandleHeartbeat(now, withDraining(heartbeat("a", 1)))
			tr.HandleHeartbeat(now, heartbeat("a", 2))
		}, "a", false},
		"late heartbeat": {func(tr *health.Tracker) {
			tr.HandleHeartbeat(now, withDraining(heartbeat("a", 5)))
			tr.HandleHeartbeat(now, heartbeat("a", 4))
		}, "a", false},
		"new instance": {func(tr *health.Tracker) {
			tr.HandleHeartbeat(now, withDraining(heartbeat("a", 5)))
			tr.HandleHeartbeat(now, heartbeat("b", 1))
		}, "b", true},
		"heartbeat of a replaced instance": {func(tr *health.Tracker) {
			tr.HandleHeartbeat(now, heartbeat("a", 5))
			tr.HandleHeartbeat(now, heartbeat("b", 1))
			tr.HandleHeartbeat(now, heartbeat("a", 6))
		}, "b", true},
		"heartbeat of an instance started earlier": {func(tr *health.Tracker) {
			tr.HandleHeartbeat(now, withStart(heartbeat("b", 1), 200))
			tr.HandleHeartbeat(now, withStart(heartbeat("a", 9), 100))
		}, "b", true},
		"same id started again": {func(tr *health.Tracker) {
			tr.HandleHeartbeat(now, withStart(withDraining(heartbeat("a", 9)), 100))
			tr.HandleHeartbeat(now, withStart(heartbeat("a", 1), 200))
		}, "a", true},
		"no start time while draining": {func(tr *health.Tracker) {
			tr.HandleHeartbeat(now, withStart(withDraining(heartbeat("a", 9)), 100))
			tr.HandleHeartbeat(now, heartbeat("a", 10))
		}, "a", false},
		"another instance without start time": {func(tr *health.Tracker) {
			tr.HandleHeartbeat(now, withStart(heartbeat("a", 9), 100))
			tr.HandleHeartbeat(now, heartbeat("b", 1))
		}, "a", true},
		"draining without start time": {func(tr *health.Tracker) {
			tr.HandleHeartbeat(now, withStart(heartbeat("a", 9), 100))
			tr.HandleHeartbeat(now, withDraining(heartbeat("a", 10)))
		}, "a", true},
		"late deregistration of an earlier start": {func(tr *health.Tracker) {
			tr.HandleHeartbeat(now, withStart(heartbeat("a", 1), 200))
			tr.HandleDeregister("a", 100)
		}, "a", true},
		"heartbeat after its deregistration": {func(tr *health.Tracker) { tr.HandleDeregister("a", 0); tr.HandleHeartbeat(now, heartbeat("a", 1)) }, "", false},
		"heartbeat with start time after its deregistration": {func(tr *health.Tracker) {
			tr.HandleDeregister("a", 100)
			tr.HandleHeartbeat(now, withStart(heartbeat("a", 1), 100))
		}, "", false},
		"heartbeat with start time after its deregistration without one": {func(tr *health.Tracker) {
			tr.HandleDeregister("a", 0)
			tr.HandleHeartbeat(now, withStart(heartbeat("a", 1), 100))
		}, "", false},
		"failed connection": {func(tr *health.Tracker) { tr.HandleHeartbeat(now, heartbeat("a", 1)); tr.HandleConnectFailure() }, "a", false},
		"healthy check after a failed connection": {func(tr *health.Tracker) {
			tr.HandleHeartbeat(now, heartbeat("a", 1))
			tr.HandleConnectFailure()
			tr.HandleCheckResult(now, health.CheckResult{Instance: "a", Healthy: true})
		}, "a", true},
		"check answered by another instance": {func(tr *health.Tracker) {
			tr.HandleHeartbeat(now, heartbeat("a", 1))
			tr.HandleCheckResult(now, health.CheckResult{Instance: "b", Healthy: true})
		}, "a", false},
		"unhealthy check alone": {func(tr *health.Tracker) {
			tr.HandleHeartbeat(now, heartbeat("a", 1))
			tr.HandleCheckResult(now, health.CheckResult{Instance: "a"})
		}, "a", true},
		"restored, not confirmed": {func(tr *health.Tracker) { tr.Restore(health.UpstreamState{Instance: "a"}) }, "a", false},
		"restored and confirmed": {func(tr *health.Tracker) {
			tr.Restore(health.UpstreamState{Instance: "a"})
			tr.HandleCheckResult(now, health.CheckResult{Instance: "a", Healthy: true})
		}, "a", true},
		"restored as leaving": {func(tr *health.Tracker) {
			tr.Restore(health.UpstreamState{Instance: "a", Leaving: true})
			tr.HandleCheckResult(now, health.CheckResult{Instance: "a", Healthy: true})
			tr.HandleHeartbeat(now, heartbeat("a", 3))
		}, "a", false},
		"restored as leaving without start time": {func(tr *health.Tracker) {
			tr.Restore(health.UpstreamState{Instance: "a", Leaving: true})
			tr.HandleHeartbeat(now, withStart(heartbeat("a", 3), 100))
		}, "a", false},
		"restored as leaving, started again": {func(tr *health.Tracker) {
			tr.Restore(health.UpstreamState{Instance: "a", StartedAt: 50, Leaving: true})
			tr.HandleHeartbeat(now, withStart(heartbeat("a", 3), 100))
		}, "a", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tr := health.New()
			tt.do(tr)
			u := tr.UpstreamState()
			g.Expect(u.Instance).To(Equal(tt.want))
			g.Expect(u.Usable()).To(Equal(tt.usable))
		})
	}
}

// Guards against a cold upstream that is recorded as warm, and the reverse.
func TestCold(t *testing.T) {
	g := NewWithT(t)
	tr := health.New()
	h := heartbeat("a", 1)
	h.ColdRemaining = 3 * clock.Second
	tr.HandleHeartbeat(now, h)
	g.Expect(tr.UpstreamState().ColdUntil).To(Equal(now + 3*clock.Second))
	tr.HandleHeartbeat(now+1500, heartbeat("a", 2))
	g.Expect(tr.UpstreamState().ColdUntil).To(BeZero())
	tr.HandleCheckResult(now+2000, health.CheckResult{Instance: "a", Healthy: true, ColdRemaining: clock.Second})
	g.Expect(tr.UpstreamState().ColdUntil).To(Equal(now + 3*clock.Second))
}

// Guards against calls to an instance of which only a late heartbeat is known: it may have left
// before. One that works must become usable although its health check fails.
func TestConfirmed(t *testing.T) {
	const now, later = 10_000, 14_000
	check := func(instance string, healthy bool) health.CheckResult {
		return health.CheckResult{Instance: instance, Healthy: healthy}
	}
	tests := map[string]struct {
		do   func(tr *health.Tracker)
		want bool
	}{
		"one heartbeat": {func(*health.Tracker) {}, false},
		"unhealthy":     {func(tr *health.Tracker) { tr.HandleCheckResult(now, check("a", false)) }, false},
		"healthy":       {func(tr *health.Tracker) { tr.HandleCheckResult(now, check("a", true)) }, true},
		"healthy, then unhealthy": {func(tr *health.Tracker) {
			tr.HandleCheckResult(now, check("a", true))
			tr.HandleCheckResult(later, check("a", false))
		}, true},
		"another one is healthy": {func(tr *health.Tracker) { tr.HandleCheckResult(now, check("b", true)) }, false},
		"no id in the response":  {func(tr *health.Tracker) { tr.HandleCheckResult(now, check("", true)) }, false},
		"heartbeats go on":       {func(tr *health.Tracker) { tr.HandleHeartbeat(later, heartbeat("a", 3)) }, true},
		"heartbeats close by":    {func(tr *health.Tracker) { tr.HandleHeartbeat(later-1, heartbeat("a", 3)) }, false},
		"an older heartbeat":     {func(tr *health.Tracker) { tr.HandleHeartbeat(later, heartbeat("a", 1)) }, false},
		"replaced after a success": {func(tr *health.Tracker) {
			tr.HandleCheckResult(now, check("a", true))
			tr.HandleHeartbeat(later, heartbeat("b", 1))
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tr := health.New()
			tr.HandleHeartbeat(now, heartbeat("a", 2))
			tt.do(tr)
			NewWithT(t).Expect(tr.UpstreamState().Confirmed).To(Equal(tt.want))
		})
	}
}
