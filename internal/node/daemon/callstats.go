package daemon

import (
	"sync"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/guard"
)

// loadDecay is the weight of the past at each step of the load estimate; with
// two steps a second it forgets within a few seconds.
const loadDecay = 0.8

type sampleKey struct {
	window int64
	route  string
}

// counts holds what the guard's calls look like, per route and window, and
// how much work they ask for. It is safe for concurrent use.
type counts struct {
	self call.Target

	mu      sync.Mutex
	samples map[sampleKey]*trial.Sample
	// work is the time that calls kept slots busy since the last step.
	work [2]clock.Milli
	load [2]float64
	last clock.Milli
}

func newCounts(self call.Target, now clock.Milli) *counts {
	return &counts{self: self, samples: make(map[sampleKey]*trial.Sample), last: now}
}

// add takes in a finished call.
func (c *counts) add(now clock.Milli, s guard.Sample, cold bool) {
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
	c.work[kindOf(s.Request.Class)] += s.Latency
}

func kindOf(class call.Class) int {
	if class == call.Background {
		return 1
	}
	return 0
}

// take returns the samples of windows that have ended and updates the load.
func (c *counts) take(now clock.Milli) []trial.Sample {
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
	if span := now - c.last; span > 0 {
		for i := range c.load {
			c.load[i] = loadDecay*c.load[i] + (1-loadDecay)*float64(c.work[i]/span)
			c.work[i] = 0
		}
		c.last = now
	}
	return out
}

// busy returns the foreground and background load in busy slots.
func (c *counts) busy() (foreground, background float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.load[0], c.load[1]
}
