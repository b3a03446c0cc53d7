// Package rank selects members of a fleet for a duty by rendezvous hashing, so that
// daemons agree without a vote and a change of the membership affects few duties.
package rank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Top returns the n members with the highest hashes of duty and member, highest first.
func Top(duty string, members []string, n int) []string {
	type scored struct {
		member string
		score  uint64
	}
	all := make([]scored, 0, len(members))
	for _, m := range members {
		all = append(all, scored{member: m, score: xxhash.Sum64String(duty + "\x00" + m)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member, b.member))
	})
	out := make([]string, 0, n)
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.member)
	}
	return out
}
