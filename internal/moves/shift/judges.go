package shift

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// JudgeCount is the number of daemons that compare the versions of one service.
// The judges work independently; there are several so that some remain if
// others fail.
const JudgeCount = 3

// SelectJudges returns the members that judge a service: those with the highest
// hashes of service and member (rendezvous hashing), so a change of the
// membership affects few services.
func SelectJudges(service string, members []string) []string {
	type scored struct {
		member string
		score  uint64
	}
	all := make([]scored, 0, len(members))
	for _, m := range members {
		all = append(all, scored{member: m, score: xxhash.Sum64String(service + "\x00" + m)})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].member < all[j].member
	})
	n := min(JudgeCount, len(all))
	out := make([]string, 0, n)
	for _, s := range all[:n] {
		out = append(out, s.member)
	}
	return out
}
