//go:build review

// Command rig-2 runs one case of the second review: it starts daemons of a small deployment
// as processes on loopback addresses, with stand-ins of the platform's store, the upstreams
// and the callers, and checks one rule.
//
// Its exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2

	// caseTimeout is shorter than the 120 s that a case may take.
	caseTimeout = 110 * time.Second
)

// scenario plays a case. It returns what broke the rule, nothing if it held. Trouble says
// whether the disruption takes place.
type scenario func(ctx context.Context, d *deployment, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"empty-key":      playEmptyKey,
	"escaped-slash":  playEscapedSlash,
	"pipelined-stop": playPipelinedStop,
	"slow-upload":    playSlowUpload,
	"second-move":    playSecondMove,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE PROGRAM RECORD")
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	return play(ctx, scenarios[os.Args[1]], rec)
}

// play runs a scenario in a temporary folder and ends all processes that it started.
func play(ctx context.Context, s scenario, rec *record) int {
	dir, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		rec.printf("could not run: %v", err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("trouble=%t", trouble)
	d, err := newDeployment(os.Args[2], dir, rec)
	if err != nil {
		rec.printf("could not run: %v", err)
		return exitFailed
	}
	defer d.close()
	broken, err := s(ctx, d, trouble)
	if err != nil {
		rec.printf("could not run: %v", err)
		return exitFailed
	}
	for _, b := range broken {
		rec.printf("BROKEN %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.printf("the rule held")
	return exitHeld
}
