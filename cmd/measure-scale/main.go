// Command measure-scale measures how the control traffic, CPU time and memory of
// the membership grow with the size of the fleet, and checks them against goals.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
)

func main() {
	skipReal := flag.Bool("virtual-only", false, "skip the real daemons")
	sizes := flag.String("virtual", "200,800,3200", "members of the virtual fleets")
	partitionMinutes := flag.Float64("cut-minutes", 60, "length of the region cut, a sixth of it above 1,000 members")
	flag.Parse()
	r := &report{}
	if !*skipReal {
		measureReal(r)
	}
	// The fleets are built one after the other, so that the memory of each can
	// be measured, and run concurrently.
	var runs []*fleetRun
	for s := range strings.FieldsFuncSeq(*sizes, func(c rune) bool { return c == ',' }) {
		members, err := strconv.Atoi(s)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		runs = append(runs, newFleetRun(r, members, *partitionMinutes))
	}
	var wg sync.WaitGroup
	for _, v := range runs {
		wg.Go(v.run)
	}
	wg.Wait()
	r.printFits()
	fmt.Printf("goals_failed=%d\n", r.failed)
	if r.failed > 0 {
		os.Exit(1)
	}
}
