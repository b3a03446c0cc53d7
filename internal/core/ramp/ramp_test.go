package ramp_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/ramp"
)

// Guards against a ramp that starts above one call, and one that never ends:
// an upstream that is slow at first and gets faster must reach its full limit.
func TestRampReachesFullLimit(t *testing.T) {
	g := NewWithT(t)
	r := ramp.New(6)
	g.Expect(r.Limit()).To(Equal(1))
	latency, calls := clock.Milli(50), 0
	for ; r.Cold() && calls < 200; calls++ {
		r.Observe(ramp.Sample{Latency: latency})
		latency = 10 + 0.95*(latency-10)
	}
	g.Expect(r.Cold()).To(BeFalse())
	g.Expect(calls).To(BeNumerically("<", 60))
}

// Guards against a limit that does not fall when calls become slow or fail.
func TestLimitFallsOnBadCalls(t *testing.T) {
	cases := map[string]ramp.Sample{"slow": {Latency: 100}, "failed": {Latency: 0.2, Failed: true}}
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := ramp.New(6)
			for r.Limit() < 4 {
				r.Observe(ramp.Sample{Latency: 10})
			}
			for range 4 {
				r.Observe(bad)
			}
			g.Expect(r.Limit()).To(BeNumerically("<", 4))
		})
	}
}

// Guards against mistaking a temporary slowdown for a restart, and the reverse.
func TestRestartDetection(t *testing.T) {
	cases := map[string]struct {
		sample ramp.Sample
		cold   bool
	}{
		"slow over old connections": {ramp.Sample{Latency: 100, BaselineLatency: 10, Epoch: 1}, false},
		"fast over new connections": {ramp.Sample{Latency: 10, BaselineLatency: 10, Epoch: 1, NewConnection: true}, false},
		"slow over new connections": {ramp.Sample{Latency: 100, BaselineLatency: 10, Epoch: 1, NewConnection: true}, true},
		"new epoch":                 {ramp.Sample{Latency: 10, BaselineLatency: 10, Epoch: 2}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := ramp.New(6)
			for r.Cold() {
				r.Observe(ramp.Sample{Latency: 10, Epoch: 1})
			}
			for range 3 {
				r.Observe(c.sample)
			}
			NewWithT(t).Expect(r.Cold()).To(Equal(c.cold))
		})
	}
}

// Guards against a limit below one or above the number of slots.
func TestLimitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		r := ramp.New(slots)
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			r.Observe(ramp.Sample{
				Latency: clock.Milli(rapid.Float64Range(0, 200).Draw(t, "latency")), BaselineLatency: 10,
				Failed: rapid.Bool().Draw(t, "failed"), NewConnection: rapid.Bool().Draw(t, "new"),
				Epoch: rapid.Uint64Range(0, 2).Draw(t, "epoch"),
			})
			if limit := r.Limit(); limit < 1 || limit > slots || (!r.Cold() && limit != slots) {
				t.Fatalf("limit %d of %d slots, cold %v", limit, slots, r.Cold())
			}
		}
	})
}
