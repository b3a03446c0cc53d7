// Command measure-policy simulates the load-balancing decisions of the daemon,
// baseline policies and an ideal central queue in virtual time, and prints the
// results and goals as key=value lines.
package main

import (
	"flag"
	"fmt"
	"runtime"
	"strings"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/lbsim"
)

func main() {
	seeds := flag.Int("seeds", 5, "number of seeds per scenario and policy")
	scenario := flag.String("scenario", "", "run only scenarios whose name contains this")
	policy := flag.String("policy", "", "run only policies whose name contains this")
	jobs := flag.Int("jobs", max(1, runtime.NumCPU()/2), "number of runs at a time")
	flag.Parse()
	var scenarios []lbsim.Scenario
	for _, s := range lbsim.Scenarios() {
		if strings.Contains(s.Name, *scenario) {
			scenarios = append(scenarios, s)
		}
	}
	rows := lbsim.Measure(scenarios, *policy, *seeds, *jobs)
	for _, r := range rows {
		fmt.Println(r)
	}
	failed := 0
	for _, g := range lbsim.Goals(rows) {
		fmt.Println(g)
		if !g.Pass {
			failed++
		}
	}
	fmt.Printf("goals_failed=%d\n", failed)
}
