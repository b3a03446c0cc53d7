// Package trial compares an old and a new version of a service while both
// serve calls. It is deterministic and not safe for concurrent use.
//
// The evidence for a verdict is an e-value: a weighted sum of running products
// of likelihood ratios. If the opposite of the verdict is true, the e-value ever
// reaches 1/p with a probability of at most p, so it may be checked after every
// window.
package trial

import (
	"math"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// WindowDuration is the time that one sample covers.
const WindowDuration = 500 * clock.Millisecond

// Sample holds what one guard measured for one route in one window.
type Sample struct {
	Service string
	Route   string
	Version string
	Target  string
	// Window is the number of the window since the Unix epoch.
	Window int64
	Calls  int64
	Errors int64
	// Cold reports that the upstream was in cold start. The latencies of cold
	// samples are ignored for some time, because the upstreams of a new version
	// start cold.
	Cold    bool
	Latency [call.LatencyBuckets]int64
}

// WindowNumber returns the number of the window that contains now.
func WindowNumber(now clock.Milli) int64 {
	return int64(math.Floor(float64(now / WindowDuration)))
}

// Count adds one call with its latency, whether it failed or not.
func (s *Sample) Count(latency clock.Milli, failed bool) {
	s.Calls++
	if failed {
		s.Errors++
	}
	s.Latency[call.LatencyBucket(latency)]++
}

// sampleSum is the sum of several samples of one route and window.
type sampleSum struct {
	calls   int64
	errors  int64
	latency [call.LatencyBuckets]int64
}

func (c *sampleSum) add(s *Sample) {
	c.calls += s.Calls
	c.errors += s.Errors
	for i, n := range s.Latency {
		c.latency[i] += n
	}
}

// callsFor returns the number of calls that a metric covers. The latency metrics
// do not cover the calls of targets that are warming up.
func (c *sampleSum) callsFor(m Metric) int64 {
	if m == Errors {
		return c.calls
	}
	var n int64
	for _, k := range c.latency {
		n += k
	}
	return n
}

// badCallsFor returns the number of calls that are bad by a metric: the errors,
// or the calls in the buckets from threshold on.
func (c *sampleSum) badCallsFor(m Metric, threshold int) int64 {
	if m == Errors {
		return c.errors
	}
	var n int64
	for i := threshold; i < call.LatencyBuckets; i++ {
		n += c.latency[i]
	}
	return n
}
