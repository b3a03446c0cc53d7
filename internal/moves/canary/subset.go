package canary

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// rotationInterval is how long the new version's calls go to the same upstreams. It
// is shorter than recentWindow, so that the recent calls cover several upstreams
// and tell a bad version from a bad upstream.
const rotationInterval = 1500 * clock.Millisecond

// Subset returns the upstreams of the new version that receive its calls at now. It
// selects so few that each gets about the load it will have after the move, so that
// a version that fails only under load is detected while its share is small.
func (m *Move) Subset(now clock.Milli, upstreams []string) []string {
	n := int(math.Ceil(m.Share() * float64(len(upstreams))))
	if n >= len(upstreams) {
		return upstreams
	}
	rotation := int((now - m.order.ReceivedAt) / rotationInterval)
	hashes := make(map[string]uint64, len(upstreams))
	for _, id := range upstreams {
		hashes[id] = xxhash.Sum64String(strconv.Itoa(rotation) + " " + id)
	}
	out := slices.SortedFunc(slices.Values(upstreams), func(a, b string) int { return cmp.Compare(hashes[a], hashes[b]) })
	return out[:n]
}
