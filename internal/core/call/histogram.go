package call

import (
	"math"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// LatencyBuckets is the number of buckets of a LatencyHistogram.
const LatencyBuckets = 48

const (
	// firstBucketEnd is the upper bound of bucket 0.
	firstBucketEnd = 0.25 * clock.Millisecond
	// bucketGrowth is the ratio of the bounds of a bucket, so a slowdown by 25%
	// is resolved.
	bucketGrowth = 1.25
)

// LatencyHistogram counts latencies by bucket. Bucket i holds the latencies from
// LatencyBucketStart(i) up to LatencyBucketStart(i+1); the last bucket has no upper
// bound.
type LatencyHistogram [LatencyBuckets]uint32

// LatencyBucket returns the index of the bucket that contains a latency.
func LatencyBucket(d clock.Milli) int {
	if d < firstBucketEnd {
		return 0
	}
	b := 1 + int(math.Log(float64(d/firstBucketEnd))/math.Log(bucketGrowth))
	return min(b, LatencyBuckets-1)
}

// LatencyBucketStart returns the smallest latency of a bucket, 0 for bucket 0.
func LatencyBucketStart(i int) clock.Milli {
	if i <= 0 {
		return 0
	}
	return firstBucketEnd * clock.Milli(math.Pow(bucketGrowth, float64(i-1)))
}

// Observe counts one latency.
func (h *LatencyHistogram) Observe(d clock.Milli) {
	h[LatencyBucket(d)]++
}

// Add adds the counts of other.
func (h *LatencyHistogram) Add(other *LatencyHistogram) {
	for i, n := range other {
		h[i] += n
	}
}

// Since returns the counts that were added after earlier, a state of the same histogram.
func (h *LatencyHistogram) Since(earlier *LatencyHistogram) LatencyHistogram {
	out := *h
	for i, n := range earlier {
		out[i] -= min(n, out[i])
	}
	return out
}

// CountFrom returns the number of latencies in the buckets from first on.
func (h *LatencyHistogram) CountFrom(first int) uint64 {
	var n uint64
	for _, k := range h[min(max(0, first), LatencyBuckets):] {
		n += uint64(k)
	}
	return n
}

// Median returns the median, interpolated within its bucket, zero if there are no counts.
func (h *LatencyHistogram) Median() clock.Milli {
	half := float64(h.CountFrom(0)) / 2
	var below float64
	for i, n := range h {
		if n > 0 && below+float64(n) >= half {
			width := LatencyBucketStart(i+1) - LatencyBucketStart(i)
			return LatencyBucketStart(i) + width*clock.Milli((half-below)/float64(n))
		}
		below += float64(n)
	}
	return 0
}
