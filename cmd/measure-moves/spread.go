package main

import (
	"fmt"
	"sort"
)

// seedValue is a value measured in the run with the given seed.
type seedValue struct {
	seed  uint64
	value float64
}

// printSpread sorts values and prints the median, the largest value and its seed.
func printSpread(key string, values []seedValue) {
	if len(values) == 0 {
		return
	}
	sort.Slice(values, func(i, j int) bool { return values[i].value < values[j].value })
	worst := values[len(values)-1]
	fmt.Printf("%s_median=%.6g\n%s_worst=%.6g\n%s_worst_seed=%d\n",
		key, values[len(values)/2].value, key, worst.value, key, worst.seed)
}
