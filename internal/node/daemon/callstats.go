package daemon

import (
	"sync"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/guard"
)

// guardLoadDecay is the weight of the previous estimate at each update of the
// load. At two updates per second, the estimate follows a change within a few
// seconds.
const guardLoadDecay = 0.8

type sampleKey struct {
	window int64
	route  string
}

// callStats collects samples of the guard's calls by route and window, and
// estimates the load of the upstream. It is safe for concurrent use.
type callStats struct {
	self call.Target

	mu      sync.Mutex
	samples map[sampleKey]*trial.Sample
	// busyTime is the slot time that calls used since the last update,
	// foreground and background.
	busyTime [2]clock.Milli
	// load is the estimated number of busy slots, foreground and background.
	load      [2]float64
	updatedAt clock.Milli
}

func newCallStats(self call.Target, now clock.Milli) *callStats {
	return &callStats{self: self, samples: make(map[sampleKey]*trial.Sample), updatedAt: now}
}

// recordCall adds a finished call. cold reports whether the upstream is in cold
// start.
func (c *callStats) recordCall(now clock.Milli, s guard.Sample, cold bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := sampleKey{window: trial.WindowNumber(now), route: s.Request.Route}
	t := c.samples[k]
	if t == nil {
		t = &trial.Sample{
			Service: c.self.Service, Route: k.route, Version: c.self.Version,
			Target: c.self.ID, Window: k.window, Cold: cold,
		}
		c.samples[k] = t
	}
	t.Cold = t.Cold || cold
	t.Count(s.Latency, s.Failed)
	c.busyTime[classIndex(s.Request.Class)] += s.Latency
}

// classIndex returns the index of a class in busyTime and load.
func classIndex(class call.Class) int {
	if class == call.Background {
		return 1
	}
	return 0
}

// drainSamples removes and returns the samples of ended windows, and updates
// the load.
func (c *callStats) drainSamples(now clock.Milli) []trial.Sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := trial.WindowNumber(now)
	var out []trial.Sample
	for k, s := range c.samples {
		if k.window < current {
			out = append(out, *s)
			delete(c.samples, k)
		}
	}
	if elapsed := now - c.updatedAt; elapsed > 0 {
		for i := range c.load {
			c.load[i] = guardLoadDecay*c.load[i] + (1-guardLoadDecay)*float64(c.busyTime[i]/elapsed)
			c.busyTime[i] = 0
		}
		c.updatedAt = now
	}
	return out
}

// busySlots returns the estimated foreground and background load, in busy
// slots.
func (c *callStats) busySlots() (foreground, background float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.load[0], c.load[1]
}
