package pick

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is one target of a service that entries divide among themselves.
type Node struct {
	ID string
	// Connections is the largest number of entries that may connect, zero
	// for no limit.
	MaxConnections int
}

// spare is how far a target's entries may exceed the mean.
const spare = 1.02

// Subset returns the targets that entry self connects to, size at most. Each
// pair of entry and target has a rendezvous weight, and pairs are accepted in
// the order of their weights while the entry needs targets and the target
// takes entries. All entries compute the same division from the same lists,
// the load is even, and a change of members moves few pairs.
func Subset(self string, entries []string, targets []Node, size int) []string {
	i := slices.Index(entries, self)
	if i < 0 {
		return nil
	}
	return AssignSubsets(entries, targets, size)[i]
}

// AssignSubsets returns the subsets of all entries, in their order.
func AssignSubsets(entries []string, targets []Node, size int) [][]string {
	size = affordable(len(entries), targets, size)
	limits := capacities(len(entries), targets, size)
	taken := make([][]string, len(entries))
	for _, x := range weigh(entries, targets) {
		if len(taken[x.entry]) == size || limits[x.target] == 0 {
			continue
		}
		limits[x.target]--
		taken[x.entry] = append(taken[x.entry], targets[x.target].ID)
	}
	return taken
}

type pair struct {
	weight        uint64
	entry, target int
}

func weigh(entries []string, targets []Node) []pair {
	pairs := make([]pair, 0, len(entries)*len(targets))
	hashes := make([]uint64, len(targets))
	for i := range targets {
		hashes[i] = xxhash.Sum64String(targets[i].ID)
	}
	for i, id := range entries {
		h := xxhash.Sum64String(id)
		for j := range targets {
			pairs = append(pairs, pair{weight: mix(h, hashes[j]), entry: i, target: j})
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

// mix combines two hashes to one whose bits depend on all bits of both
// (the finisher of splitmix64).
func mix(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// affordable lowers the size of the subsets to what the connections of all
// targets suffice for, so that every entry loses as much.
func affordable(entries int, targets []Node, size int) int {
	total := 0
	for i := range targets {
		if targets[i].MaxConnections == 0 {
			return size
		}
		total += targets[i].MaxConnections
	}
	return min(size, max(1, total/max(1, entries)))
}

func capacities(entries int, targets []Node, size int) []int {
	mean := float64(entries*size) / float64(max(1, len(targets)))
	limits := make([]int, len(targets))
	for i := range targets {
		limits[i] = int(math.Ceil(spare * mean))
		if c := targets[i].MaxConnections; c > 0 {
			limits[i] = min(limits[i], c)
		}
	}
	return limits
}
