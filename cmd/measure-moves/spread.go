package main

import (
	"fmt"
	"sort"
)

// seeded is a figure of one seed.
type seeded struct {
	seed  uint64
	value float64
}

// spread prints the median, the worst value and its seed.
func spread(key string, values []seeded) {
	if len(values) == 0 {
		return
	}
	sort.Slice(values, func(i, j int) bool { return values[i].value < values[j].value })
	worst := values[len(values)-1]
	fmt.Printf("%s_median=%.6g\n%s_worst=%.6g\n%s_worst_seed=%d\n",
		key, values[len(values)/2].value, key, worst.value, key, worst.seed)
}
