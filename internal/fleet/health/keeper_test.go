package health_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/health"
)

const now = 1000 * clock.Second

func ready(instance string, seq uint64) health.Heartbeat {
	return health.Heartbeat{Instance: instance, Version: "v1", Slots: 6, Seq: seq}
}

func born(r health.Heartbeat, at clock.Milli) health.Heartbeat {
	r.StartedAt = at
	return r
}

func draining(r health.Heartbeat) health.Heartbeat {
	r.Draining = true
	return r
}

// Guards against heartbeats that are late, overtaken or from an instance that
// was replaced, and against an upstream that gets calls after it said that it
// leaves.
func TestKeeper(t *testing.T) {
	tests := map[string]struct {
		do     func(k *health.Tracker)
		want   string
		usable bool
	}{
		"nothing known": {func(*health.Tracker) {}, "", false},
		"ready":         {func(k *health.Tracker) { k.HandleHeartbeat(now, ready("a", 1)) }, "a", true},
		"draining":      {func(k *health.Tracker) { k.HandleHeartbeat(now, draining(ready("a", 1))) }, "a", false},
		"deregistered":  {func(k *health.Tracker) { k.HandleHeartbeat(now, ready("a", 1)); k.HandleDeregister("a", 0) }, "a", false},
		"ready after draining": {func(k *health.Tracker) {
			k.HandleHeartbeat(now, draining(ready("a", 1)))
			k.HandleHeartbeat(now, ready("a", 2))
		}, "a", false},
		"late heartbeat": {func(k *health.Tracker) {
			k.HandleHeartbeat(now, draining(ready("a", 5)))
			k.HandleHeartbeat(now, ready("a", 4))
		}, "a", false},
		"new instance": {func(k *health.Tracker) {
			k.HandleHeartbeat(now, draining(ready("a", 5)))
			k.HandleHeartbeat(now, ready("b", 1))
		}, "b", true},
		"heartbeat of a replaced instance": {func(k *health.Tracker) {
			k.HandleHeartbeat(now, ready("a", 5))
			k.HandleHeartbeat(now, ready("b", 1))
			k.HandleHeartbeat(now, ready("a", 6))
		}, "b", true},
		"heartbeat of an instance born earlier": {func(k *health.Tracker) {
			k.HandleHeartbeat(now, born(ready("b", 1), 200))
			k.HandleHeartbeat(now, born(ready("a", 9), 100))
		}, "b", true},
		"same id born anew": {func(k *health.Tracker) {
			k.HandleHeartbeat(now, born(draining(ready("a", 9)), 100))
			k.HandleHeartbeat(now, born(ready("a", 1), 200))
		}, "a", true},
		"late deregistration of an earlier birth": {func(k *health.Tracker) {
			k.HandleHeartbeat(now, born(ready("a", 1), 200))
			k.HandleDeregister("a", 100)
		}, "a", true},
		"heartbeat after its deregistration": {func(k *health.Tracker) { k.HandleDeregister("a", 0); k.HandleHeartbeat(now, ready("a", 1)) }, "", false},
		"heartbeat with a birth after its deregistration": {func(k *health.Tracker) {
			k.HandleDeregister("a", 100)
			k.HandleHeartbeat(now, born(ready("a", 1), 100))
		}, "", false},
		"heartbeat with a birth after one without": {func(k *health.Tracker) {
			k.HandleDeregister("a", 0)
			k.HandleHeartbeat(now, born(ready("a", 1), 100))
		}, "", false},
		"connections fail": {func(k *health.Tracker) { k.HandleHeartbeat(now, ready("a", 1)); k.HandleConnectFailure() }, "a", false},
		"back after failed connections": {func(k *health.Tracker) {
			k.HandleHeartbeat(now, ready("a", 1))
			k.HandleConnectFailure()
			k.HandleCheckResult(now, health.CheckResult{Instance: "a", Healthy: true})
		}, "a", true},
		"another instance answers": {func(k *health.Tracker) {
			k.HandleHeartbeat(now, ready("a", 1))
			k.HandleCheckResult(now, health.CheckResult{Instance: "b", Healthy: true})
		}, "a", false},
		"false bad health": {func(k *health.Tracker) {
			k.HandleHeartbeat(now, ready("a", 1))
			k.HandleCheckResult(now, health.CheckResult{Instance: "a"})
		}, "a", true},
		"restored, not confirmed": {func(k *health.Tracker) { k.Restore(health.Upstream{Instance: "a"}) }, "a", false},
		"restored and confirmed": {func(k *health.Tracker) {
			k.Restore(health.Upstream{Instance: "a"})
			k.HandleCheckResult(now, health.CheckResult{Instance: "a", Healthy: true})
		}, "a", true},
		"restored as leaving": {func(k *health.Tracker) {
			k.Restore(health.Upstream{Instance: "a", Leaving: true})
			k.HandleCheckResult(now, health.CheckResult{Instance: "a", Healthy: true})
			k.HandleHeartbeat(now, ready("a", 3))
		}, "a", false},
		"restored as leaving without a birth": {func(k *health.Tracker) {
			k.Restore(health.Upstream{Instance: "a", Leaving: true})
			k.HandleHeartbeat(now, born(ready("a", 3), 100))
		}, "a", false},
		"restored as leaving, born anew": {func(k *health.Tracker) {
			k.Restore(health.Upstream{Instance: "a", StartedAt: 50, Leaving: true})
			k.HandleHeartbeat(now, born(ready("a", 3), 100))
		}, "a", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			k := health.New()
			tt.do(k)
			u := k.Upstream()
			g.Expect(u.Instance).To(Equal(tt.want))
			g.Expect(u.Usable()).To(Equal(tt.usable))
		})
	}
}

// Guards against a cold upstream that is taken for warm, and the reverse.
func TestCold(t *testing.T) {
	g := NewWithT(t)
	k := health.New()
	r := ready("a", 1)
	r.ColdRemaining = 3 * clock.Second
	k.HandleHeartbeat(now, r)
	g.Expect(k.Upstream().ColdUntil).To(Equal(now + 3*clock.Second))
	k.HandleHeartbeat(now+1500, ready("a", 2))
	g.Expect(k.Upstream().ColdUntil).To(BeZero())
	k.HandleCheckResult(now+2000, health.CheckResult{Instance: "a", Healthy: true, ColdRemaining: clock.Second})
	g.Expect(k.Upstream().ColdUntil).To(Equal(now + 3*clock.Second))
}
