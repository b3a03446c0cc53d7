// Command measure-scale measures how the control traffic, CPU and memory of
// the membership grow with the fleet, and checks them against their goals.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	skipReal := flag.Bool("virtual-only", false, "skip the real daemons")
	large := flag.Int("large", 3200, "members of the largest virtual fleet")
	cutMinutes := flag.Float64("cut-minutes", 60, "length of the region cut")
	flag.Parse()
	r := &report{}
	if !*skipReal {
		measureReal(r)
	}
	for _, members := range []int{800, *large} {
		measureVirtual(r, members, *cutMinutes)
	}
	r.fits()
	fmt.Printf("goals_failed=%d\n", r.failed)
	if r.failed > 0 {
		os.Exit(1)
	}
}
