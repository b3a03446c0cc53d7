//go:build review

// Command rig plays one case of the review against the project's daemons.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a script.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// runCase plays a case with or without the disruption and returns what broke the rule.
type runCase func(f *Fleet, c *Clients, trouble bool) []string

// scenario is a case and the number of machines that it starts with.
type scenario struct {
	play     runCase
	machines int
}

var cases = map[string]scenario{
	"misdirected": {play: caseMisdirected, machines: 4},
	"unavailable": {play: caseUnavailable, machines: 4},
	"drain":       {play: caseDrain, machines: 4},
	"rollout":     {play: caseRollout, machines: 6},
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitCannotRun
	}
	sc, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitCannotRun
	}
	rec, err := NewRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.Close()
	fleet, err := NewFleet(rec, "target/cranberrytack", sc.machines)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer fleet.Close()
	if err := fleet.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	if err := fleet.AwaitReady(fleetStartLimit); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.Logf("trouble=%v", trouble)
	broken := sc.play(fleet, NewClients(fleet), trouble)
	for _, b := range broken {
		rec.Logf("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.Logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
