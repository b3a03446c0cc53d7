package canary

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// turnTime is how long the same upstreams get the new version's calls. It is
// below recentTime, so that the last calls tell a bad version from a bad
// upstream.
const turnTime = 1500 * clock.Millisecond

// Subset returns the upstreams of the new version that get its calls at the
// moment: so few that each bears about the load that it will have in the end. A
// version that fails only under load shows it while its share is small.
func (m *Move) Subset(now clock.Milli, upstreams []string) []string {
	n := int(math.Ceil(m.Share() * float64(len(upstreams))))
	if n >= len(upstreams) {
		return upstreams
	}
	turn := int((now - m.order.ReceivedAt) / turnTime)
	rank := make(map[string]uint64, len(upstreams))
	for _, id := range upstreams {
		rank[id] = xxhash.Sum64String(strconv.Itoa(turn) + " " + id)
	}
	out := slices.SortedFunc(slices.Values(upstreams), func(a, b string) int { return cmp.Compare(rank[a], rank[b]) })
	return out[:n]
}
