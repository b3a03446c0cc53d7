package beat_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/beat"
)

const now = 1000 * clock.Second

func ready(instance string, seq uint64) beat.Report {
	return beat.Report{Instance: instance, Version: "v1", Slots: 6, Seq: seq}
}

func born(r beat.Report, at clock.Milli) beat.Report {
	r.Born = at
	return r
}

func draining(r beat.Report) beat.Report {
	r.Draining = true
	return r
}

// Guards against heartbeats that are late, overtaken or from an instance that
// was replaced, and against an upstream that gets calls after it said that it
// leaves.
func TestKeeper(t *testing.T) {
	tests := map[string]struct {
		do     func(k *beat.Keeper)
		want   string
		usable bool
	}{
		"nothing known":        {func(*beat.Keeper) {}, "", false},
		"ready":                {func(k *beat.Keeper) { k.Beat(now, ready("a", 1)) }, "a", true},
		"draining":             {func(k *beat.Keeper) { k.Beat(now, draining(ready("a", 1))) }, "a", false},
		"deregistered":         {func(k *beat.Keeper) { k.Beat(now, ready("a", 1)); k.Leave("a", 0) }, "a", false},
		"ready after draining": {func(k *beat.Keeper) { k.Beat(now, draining(ready("a", 1))); k.Beat(now, ready("a", 2)) }, "a", false},
		"late heartbeat": {func(k *beat.Keeper) {
			k.Beat(now, draining(ready("a", 5)))
			k.Beat(now, ready("a", 4))
		}, "a", false},
		"new instance": {func(k *beat.Keeper) {
			k.Beat(now, draining(ready("a", 5)))
			k.Beat(now, ready("b", 1))
		}, "b", true},
		"heartbeat of a replaced instance": {func(k *beat.Keeper) {
			k.Beat(now, ready("a", 5))
			k.Beat(now, ready("b", 1))
			k.Beat(now, ready("a", 6))
		}, "b", true},
		"heartbeat of an instance born earlier": {func(k *beat.Keeper) {
			k.Beat(now, born(ready("b", 1), 200))
			k.Beat(now, born(ready("a", 9), 100))
		}, "b", true},
		"same id born anew": {func(k *beat.Keeper) {
			k.Beat(now, born(draining(ready("a", 9)), 100))
			k.Beat(now, born(ready("a", 1), 200))
		}, "a", true},
		"late deregistration of an earlier birth": {func(k *beat.Keeper) {
			k.Beat(now, born(ready("a", 1), 200))
			k.Leave("a", 100)
		}, "a", true},
		"heartbeat after its deregistration": {func(k *beat.Keeper) { k.Leave("a", 0); k.Beat(now, ready("a", 1)) }, "", false},
		"heartbeat with a birth after its deregistration": {func(k *beat.Keeper) {
			k.Leave("a", 100)
			k.Beat(now, born(ready("a", 1), 100))
		}, "", false},
		"heartbeat with a birth after one without": {func(k *beat.Keeper) {
			k.Leave("a", 0)
			k.Beat(now, born(ready("a", 1), 100))
		}, "", false},
		"connections fail": {func(k *beat.Keeper) { k.Beat(now, ready("a", 1)); k.Failed() }, "a", false},
		"back after failed connections": {func(k *beat.Keeper) {
			k.Beat(now, ready("a", 1))
			k.Failed()
			k.Check(now, beat.Health{Instance: "a", Healthy: true})
		}, "a", true},
		"another instance answers": {func(k *beat.Keeper) {
			k.Beat(now, ready("a", 1))
			k.Check(now, beat.Health{Instance: "b", Healthy: true})
		}, "a", false},
		"false bad health": {func(k *beat.Keeper) {
			k.Beat(now, ready("a", 1))
			k.Check(now, beat.Health{Instance: "a"})
		}, "a", true},
		"restored, not confirmed": {func(k *beat.Keeper) { k.Restore(beat.Upstream{Instance: "a"}) }, "a", false},
		"restored and confirmed": {func(k *beat.Keeper) {
			k.Restore(beat.Upstream{Instance: "a"})
			k.Check(now, beat.Health{Instance: "a", Healthy: true})
		}, "a", true},
		"restored as leaving": {func(k *beat.Keeper) {
			k.Restore(beat.Upstream{Instance: "a", Leaving: true})
			k.Check(now, beat.Health{Instance: "a", Healthy: true})
			k.Beat(now, ready("a", 3))
		}, "a", false},
		"restored as leaving without a birth": {func(k *beat.Keeper) {
			k.Restore(beat.Upstream{Instance: "a", Leaving: true})
			k.Beat(now, born(ready("a", 3), 100))
		}, "a", false},
		"restored as leaving, born anew": {func(k *beat.Keeper) {
			k.Restore(beat.Upstream{Instance: "a", Born: 50, Leaving: true})
			k.Beat(now, born(ready("a", 3), 100))
		}, "a", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			k := beat.New()
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
	k := beat.New()
	r := ready("a", 1)
	r.ColdFor = 3 * clock.Second
	k.Beat(now, r)
	g.Expect(k.Upstream().ColdUntil).To(Equal(now + 3*clock.Second))
	k.Beat(now+1500, ready("a", 2))
	g.Expect(k.Upstream().ColdUntil).To(BeZero())
	k.Check(now+2000, beat.Health{Instance: "a", Healthy: true, ColdFor: clock.Second})
	g.Expect(k.Upstream().ColdUntil).To(Equal(now + 3*clock.Second))
}
