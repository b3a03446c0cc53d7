package trial_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
)

// workload describes the calls of both versions in each window.
type workload struct {
	newCalls, oldCalls       int
	newErrors, oldErrors     float64
	newSlowdown, oldSlowdown float64
	// oneTarget limits the faults of the new version to one target, which
	// changes every affectedPeriod windows.
	oneTarget      bool
	affectedPeriod int
	// coldWindows is the number of windows in which the new version is in cold
	// start. If recovers is set, newErrors and newSlowdown end with it.
	coldWindows int
	recovers    bool
}

const (
	windowCount    = 240
	newTargetCount = 3
)

// run returns the result when the version is found worse, or else at the end.
func (l workload) run(seed uint64, opts ...trial.Option) trial.Result {
	r := rand.New(rand.NewPCG(seed, 1))
	t := trial.New("new", windowCount*trial.WindowDuration, opts...)
	for w := range windowCount {
		for target := range newTargetCount {
			affected := !l.oneTarget || target == (w/l.affectedPeriod)%newTargetCount
			s := makeSample(r, w, "new", target, l.newCalls, l.newErrors, l.newSlowdown, affected && (!l.recovers || w < l.coldWindows))
			s.Cold = w < l.coldWindows
			t.AddSample(s)
			t.AddSample(makeSample(r, w, "old", target, l.oldCalls, l.oldErrors, l.oldSlowdown, true))
		}
		t.Step(clock.Milli(w+1) * trial.WindowDuration)
		if res := t.Result(); res.Verdict == trial.Worse {
			return res
		}
	}
	return t.Result()
}

func makeSample(r *rand.Rand, w int, version string, target, calls int, errors, slowdown float64, affected bool) *trial.Sample {
	s := &trial.Sample{Service: "s", Route: "r", Version: version, Target: fmt.Sprint(version, target), Window: int64(w)}
	for range calls {
		latency := 10 * clock.Millisecond * clock.Milli(r.ExpFloat64())
		if affected && slowdown > 0 {
			latency *= clock.Milli(slowdown)
		}
		s.Count(latency, affected && r.Float64() < errors)
	}
	return s
}

// Guards against a missed fault and against a verdict caused by problems that
// the new version is not responsible for.
func TestVerdict(t *testing.T) {
	cases := map[string]struct {
		load workload
		want trial.Verdict
	}{
		"same":                 {load: workload{newCalls: 5, oldCalls: 50}, want: trial.NotWorse},
		"more errors":          {load: workload{newCalls: 5, oldCalls: 50, newErrors: 0.1, oldErrors: 0.002}, want: trial.Worse},
		"slower":               {load: workload{newCalls: 5, oldCalls: 50, newSlowdown: 2}, want: trial.Worse},
		"both fail":            {load: workload{newCalls: 5, oldCalls: 50, newErrors: 0.3, oldErrors: 0.3}, want: trial.NotWorse},
		"both slow":            {load: workload{newCalls: 5, oldCalls: 50, newSlowdown: 5, oldSlowdown: 5}, want: trial.NotWorse},
		"better":               {load: workload{newCalls: 5, oldCalls: 50, oldErrors: 0.1, oldSlowdown: 2}, want: trial.NotWorse},
		"noisy neighbour":      {load: workload{newCalls: 5, oldCalls: 50, newSlowdown: 4, oneTarget: true, affectedPeriod: windowCount}, want: trial.NotWorse},
		"moving noise":         {load: workload{newCalls: 5, oldCalls: 50, newSlowdown: 4, oneTarget: true, affectedPeriod: windowCount / 3}, want: trial.NotWorse},
		"fails and stays cold": {load: workload{newCalls: 5, oldCalls: 50, newErrors: 0.3, coldWindows: windowCount}, want: trial.Worse},
		"slow and stays cold":  {load: workload{newCalls: 5, oldCalls: 50, newSlowdown: 3, coldWindows: windowCount}, want: trial.Worse},
		"slow cold start":      {load: workload{newCalls: 5, oldCalls: 50, newSlowdown: 4, coldWindows: 18, recovers: true}, want: trial.NotWorse},
		"no old calls":         {load: workload{newCalls: 5, newErrors: 0.5}, want: trial.Inconclusive},
		"too little traffic":   {load: workload{oldCalls: 50}, want: trial.Inconclusive},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(20) {
				res := c.load.run(seed)
				g.Expect(res.Verdict).To(Equal(c.want), "seed %d: %+v", seed, res.Finding)
			}
		})
	}
}

// Guards against more false positives than the configured bound allows. With a
// bound of 0.1 and 300 runs, the probability of more than 48 is below 0.001.
func TestFalsePositivesAreBounded(t *testing.T) {
	falsePositives := 0
	for seed := range uint64(300) {
		load := workload{newCalls: 2, oldCalls: 10, newErrors: 0.05, oldErrors: 0.05}
		if res := load.run(seed, trial.WithAlpha(0.1), trial.WithDropWorstTarget(false)); res.Verdict == trial.Worse {
			falsePositives++
		}
	}
	t.Logf("false positives: %d of 300", falsePositives)
	NewWithT(t).Expect(falsePositives).To(BeNumerically("<=", 48))
}

// Guards against a route with too little traffic that is not reported, and
// against counting cold or late samples.
func TestSamplesThatDoNotCount(t *testing.T) {
	g := NewWithT(t)
	test := trial.New("new", clock.Minute)
	r := rand.New(rand.NewPCG(1, 1))
	cold := makeSample(r, 0, "old", 1, 100, 1, 1, true)
	cold.Cold = true
	test.AddSample(cold)
	test.AddSample(makeSample(r, 0, "new", 0, 10, 0, 1, true))
	test.AddSample(makeSample(r, 0, "old", 0, 100, 0, 1, true))
	test.Step(10 * clock.Second)
	test.AddSample(makeSample(r, 0, "new", 0, 100, 1, 1, true))
	res := test.Result()
	g.Expect(res.LowTrafficRoutes).To(ConsistOf("r"))
	g.Expect(res.Routes[0].NewCalls).To(BeEquivalentTo(10))
	g.Expect(res.Routes[0].OldCalls).To(BeEquivalentTo(100))
	g.Expect(test.LateSamples).To(BeEquivalentTo(1))
}

// Guards against samples of a faulty clock that exhaust memory or displace the
// current windows.
func TestWindowsAheadAreDropped(t *testing.T) {
	g := NewWithT(t)
	test, r := trial.New("new", clock.Minute), rand.New(rand.NewPCG(1, 1))
	for w := range 100 {
		test.AddSample(makeSample(r, 1000+w, "new", 0, 1, 0, 1, true))
	}
	test.Step(clock.Second)
	test.AddSample(makeSample(r, 2, "new", 0, 10, 0, 1, true))
	test.Step(10 * clock.Second)
	g.Expect(test.LateSamples).To(BeEquivalentTo(80))
	g.Expect(test.Result().Routes[0].NewCalls).To(BeEquivalentTo(10))
}

// Guards against assigning a latency to the wrong bucket.
func TestBuckets(t *testing.T) {
	g := NewWithT(t)
	for i := range call.LatencyBuckets {
		g.Expect(call.LatencyBucket(call.LatencyBucketStart(i) * 1.01)).To(Equal(i))
	}
	g.Expect(call.LatencyBucket(clock.Hour)).To(Equal(call.LatencyBuckets - 1))
}
