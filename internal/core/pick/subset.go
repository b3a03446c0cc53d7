package pick

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SubsetTarget is a target of a service whose targets are divided among the entries.
type SubsetTarget struct {
	ID string
	// MaxConnections is the largest number of entries that may connect, zero
	// for no limit.
	MaxConnections int
}

// maxEntriesToMeanRatio is the largest allowed ratio of a target's number of entries to the
// mean.
const maxEntriesToMeanRatio = 1.02

// Subset returns the IDs of the targets that entry self connects to, at most size,
// or nil if self is not in entries. Each pair of entry and target has a rendezvous
// weight, and pairs are accepted by descending weight while the entry has fewer than
// size targets and the target is below its limit of entries. All entries compute the
// same assignment from the same lists, the load is even, and a change of members
// changes few pairs.
func Subset(self string, entries []string, targets []SubsetTarget, size int) []string {
	i := slices.Index(entries, self)
	if i < 0 {
		return nil
	}
	return AssignSubsets(entries, targets, size)[i]
}

// AssignSubsets returns the target IDs of each entry, in the order of entries.
func AssignSubsets(entries []string, targets []SubsetTarget, size int) [][]string {
	size = limitSubsetSize(len(entries), targets, size)
	limits := entryLimits(len(entries), targets, size)
	subsets := make([][]string, len(entries))
	for _, p := range rankPairs(entries, targets) {
		if len(subsets[p.entry]) == size || limits[p.target] == 0 {
			continue
		}
		limits[p.target]--
		subsets[p.entry] = append(subsets[p.entry], targets[p.target].ID)
	}
	return subsets
}

type pair struct {
	weight        uint64
	entry, target int
}

// rankPairs returns all pairs by descending weight.
func rankPairs(entries []string, targets []SubsetTarget) []pair {
	pairs := make([]pair, 0, len(entries)*len(targets))
	hashes := make([]uint64, len(targets))
	for i := range targets {
		hashes[i] = xxhash.Sum64String(targets[i].ID)
	}
	for i, id := range entries {
		h := xxhash.Sum64String(id)
		for j := range targets {
			pairs = append(pairs, pair{weight: combineHashes(h, hashes[j]), entry: i, target: j})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(entries[a.entry], entries[b.entry]),
			cmp.Compare(targets[a.target].ID, targets[b.target].ID))
	})
	return pairs
}

// combineHashes returns a hash whose bits depend on all bits of both arguments (the
// finisher of splitmix64).
func combineHashes(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// limitSubsetSize reduces the size of the subsets to the number of connections
// available per entry, so that all entries are affected equally.
func limitSubsetSize(entries int, targets []SubsetTarget, size int) int {
	total := 0
	for i := range targets {
		if targets[i].MaxConnections == 0 {
			return size
		}
		total += targets[i].MaxConnections
	}
	return min(size, max(1, total/max(1, entries)))
}

// entryLimits returns the maximum number of entries for each target.
func entryLimits(entries int, targets []SubsetTarget, size int) []int {
	mean := float64(entries*size) / float64(max(1, len(targets)))
	limits := make([]int, len(targets))
	for i := range targets {
		limits[i] = int(math.Ceil(maxEntriesToMeanRatio * mean))
		if c := targets[i].MaxConnections; c > 0 {
			limits[i] = min(limits[i], c)
		}
	}
	return limits
}
