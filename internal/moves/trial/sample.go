// Package trial compares an old and a new version of a service while both
// serve calls. It is deterministic and not safe for concurrent use.
package trial

import (
	"math"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// WindowDuration is the time that one sample covers.
const WindowDuration = 500 * clock.Millisecond

// BucketCount is the number of latency buckets of a sample. Bucket i holds the
// latencies from BucketFloor(i) up to BucketFloor(i+1), the last all above.
const BucketCount = 48

const (
	// firstBucket is the upper end of bucket 0.
	firstBucket = 0.25 * clock.Millisecond
	// bucketGrowth resolves a slowdown of a quarter.
	bucketGrowth = 1.25
)

// Sample is what one guard counted in one window for one route.
type Sample struct {
	Service string
	Route   string
	Version string
	Target  string
	// Window is the window's number since the Unix epoch.
	Window int64
	Calls  int64
	Errors int64
	// Cold says that the upstream was in cold start. For some time, latencies of
	// such samples are not compared, as a new version's upstreams start cold.
	Cold    bool
	Latency [BucketCount]int64
}

// WindowNumber returns the number of the window that holds now.
func WindowNumber(now clock.Milli) int64 {
	return int64(math.Floor(float64(now / WindowDuration)))
}

// BucketIndex returns the bucket of a latency.
func BucketIndex(d clock.Milli) int {
	if d < firstBucket {
		return 0
	}
	b := 1 + int(math.Log(float64(d/firstBucket))/math.Log(bucketGrowth))
	return min(b, BucketCount-1)
}

// BucketLowerBound returns the least latency of a bucket.
func BucketLowerBound(i int) clock.Milli {
	if i <= 0 {
		return 0
	}
	return firstBucket * clock.Milli(math.Pow(bucketGrowth, float64(i-1)))
}

// Count adds one call to the sample.
func (s *Sample) Count(latency clock.Milli, failed bool) {
	s.Calls++
	if failed {
		s.Errors++
	}
	s.Latency[BucketIndex(latency)]++
}

// cell sums samples of one route and window.
type cell struct {
	calls   int64
	errors  int64
	latency [BucketCount]int64
}

func (c *cell) add(s *Sample) {
	c.calls += s.Calls
	c.errors += s.Errors
	for i, n := range s.Latency {
		c.latency[i] += n
	}
}

// of returns how many calls a metric is about: latencies are not known of all.
func (c *cell) of(m Metric) int64 {
	if m == Errors {
		return c.calls
	}
	var n int64
	for _, k := range c.latency {
		n += k
	}
	return n
}

// bad returns how many calls count as bad for a metric.
func (c *cell) bad(m Metric, threshold int) int64 {
	if m == Errors {
		return c.errors
	}
	var n int64
	for i := threshold; i < BucketCount; i++ {
		n += c.latency[i]
	}
	return n
}
