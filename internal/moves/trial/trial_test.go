package trial_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
)

// feed describes the calls of both versions in each window.
type feed struct {
	newCalls, oldCalls   int
	newErrors, oldErrors float64
	newSlower, oldSlower float64
	// oneTarget limits the new version's trouble to a target that changes every
	// so many windows.
	oneTarget bool
	change    int
	// cold is the number of windows in which the new version is in cold start;
	// after it, newSlower no longer applies if warmed is set.
	cold   int
	warmed bool
}

const (
	windows    = 240
	newTargets = 3
)

// run returns the result at the first conviction or at the end.
func (f feed) run(seed uint64, opts ...trial.Option) trial.Result {
	r := rand.New(rand.NewPCG(seed, 1))
	t := trial.New("new", windows*trial.WindowDuration, opts...)
	for w := range windows {
		for target := range newTargets {
			bad := !f.oneTarget || target == (w/f.change)%newTargets
			s := draw(r, w, "new", target, f.newCalls, f.newErrors, f.newSlower, bad && (!f.warmed || w < f.cold))
			s.Cold = w < f.cold
			t.AddSample(s)
			t.AddSample(draw(r, w, "old", target, f.oldCalls, f.oldErrors, f.oldSlower, true))
		}
		t.Step(clock.Milli(w+1) * trial.WindowDuration)
		if res := t.Result(); res.Verdict == trial.Worse {
			return res
		}
	}
	return t.Result()
}

func draw(r *rand.Rand, w int, version string, target, calls int, errors, slower float64, bad bool) *trial.Sample {
	s := &trial.Sample{Service: "s", Route: "r", Version: version, Target: fmt.Sprint(version, target), Window: int64(w)}
	for range calls {
		latency := 10 * clock.Millisecond * clock.Milli(r.ExpFloat64())
		if bad && slower > 0 {
			latency *= clock.Milli(slower)
		}
		s.Count(latency, bad && r.Float64() < errors)
	}
	return s
}

// Guards against a fault that is missed and against a conviction for troubles
// that are not the new version's own.
func TestVerdict(t *testing.T) {
	cases := map[string]struct {
		feed feed
		want trial.Verdict
	}{
		"same":                 {feed: feed{newCalls: 5, oldCalls: 50}, want: trial.NotWorse},
		"more errors":          {feed: feed{newCalls: 5, oldCalls: 50, newErrors: 0.1, oldErrors: 0.002}, want: trial.Worse},
		"slower":               {feed: feed{newCalls: 5, oldCalls: 50, newSlower: 2}, want: trial.Worse},
		"both fail":            {feed: feed{newCalls: 5, oldCalls: 50, newErrors: 0.3, oldErrors: 0.3}, want: trial.NotWorse},
		"both slow":            {feed: feed{newCalls: 5, oldCalls: 50, newSlower: 5, oldSlower: 5}, want: trial.NotWorse},
		"better":               {feed: feed{newCalls: 5, oldCalls: 50, oldErrors: 0.1, oldSlower: 2}, want: trial.NotWorse},
		"noisy neighbour":      {feed: feed{newCalls: 5, oldCalls: 50, newSlower: 4, oneTarget: true, change: windows}, want: trial.NotWorse},
		"noise that moves":     {feed: feed{newCalls: 5, oldCalls: 50, newSlower: 4, oneTarget: true, change: windows / 3}, want: trial.NotWorse},
		"fails and stays cold": {feed: feed{newCalls: 5, oldCalls: 50, newErrors: 0.3, cold: windows}, want: trial.Worse},
		"slow and stays cold":  {feed: feed{newCalls: 5, oldCalls: 50, newSlower: 3, cold: windows}, want: trial.Worse},
		"slow cold start":      {feed: feed{newCalls: 5, oldCalls: 50, newSlower: 4, cold: 18, warmed: true}, want: trial.NotWorse},
		"no old calls":         {feed: feed{newCalls: 5, newErrors: 0.5}, want: trial.Inconclusive},
		"too little traffic":   {feed: feed{oldCalls: 50}, want: trial.Inconclusive},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(20) {
				res := c.feed.run(seed)
				g.Expect(res.Verdict).To(Equal(c.want), "seed %d: %+v", seed, res.Finding)
			}
		})
	}
}

// Guards against wrong convictions above the bound that is set. With a bound
// of 0.1 and 300 runs, more than 48 of them have a probability below 0.001.
func TestFalsePositivesAreBounded(t *testing.T) {
	wrong := 0
	for seed := range uint64(300) {
		f := feed{newCalls: 2, oldCalls: 10, newErrors: 0.05, oldErrors: 0.05}
		if res := f.run(seed, trial.WithAlpha(0.1), trial.WithDropWorstTarget(false)); res.Verdict == trial.Worse {
			wrong++
		}
	}
	t.Logf("wrong=%d of=300", wrong)
	NewWithT(t).Expect(wrong).To(BeNumerically("<=", 48))
}

// Guards against a route with too little traffic that is not reported, and
// against cold and late samples that count.
func TestSamplesThatDoNotCount(t *testing.T) {
	g := NewWithT(t)
	test := trial.New("new", clock.Minute)
	r := rand.New(rand.NewPCG(1, 1))
	cold := draw(r, 0, "old", 1, 100, 1, 1, true)
	cold.Cold = true
	test.AddSample(cold)
	test.AddSample(draw(r, 0, "new", 0, 10, 0, 1, true))
	test.AddSample(draw(r, 0, "old", 0, 100, 0, 1, true))
	test.Step(10 * clock.Second)
	test.AddSample(draw(r, 0, "new", 0, 100, 1, 1, true))
	res := test.Result()
	g.Expect(res.LowTrafficRoutes).To(ConsistOf("r"))
	g.Expect(res.Routes[0].NewCalls).To(BeEquivalentTo(10))
	g.Expect(res.Routes[0].OldCalls).To(BeEquivalentTo(100))
	g.Expect(test.LateSamples).To(BeEquivalentTo(1))
}

// Guards against a faulty clock that fills the memory or blocks the windows of
// the present.
func TestWindowsAheadAreDropped(t *testing.T) {
	g := NewWithT(t)
	test, r := trial.New("new", clock.Minute), rand.New(rand.NewPCG(1, 1))
	for w := range 100 {
		test.AddSample(draw(r, 1000+w, "new", 0, 1, 0, 1, true))
	}
	test.Step(clock.Second)
	test.AddSample(draw(r, 2, "new", 0, 10, 0, 1, true))
	test.Step(10 * clock.Second)
	g.Expect(test.LateSamples).To(BeEquivalentTo(80))
	g.Expect(test.Result().Routes[0].NewCalls).To(BeEquivalentTo(10))
}

// Guards against latencies that fall into the wrong bucket.
func TestBuckets(t *testing.T) {
	g := NewWithT(t)
	for i := range trial.BucketCount {
		g.Expect(trial.BucketIndex(trial.BucketLowerBound(i) * 1.01)).To(Equal(i))
	}
	g.Expect(trial.BucketIndex(clock.Hour)).To(Equal(trial.BucketCount - 1))
}
