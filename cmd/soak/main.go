// Command soak runs a deployment of real processes under random faults and
// compares the responses that callers received with the requests that the
// upstreams ran.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/deploy"
)

type options struct {
	Bin     string  `long:"bin" default:"bin" description:"directory of the programs"`
	LogDir  string  `long:"keep" description:"directory to keep the logs of all processes in"`
	Seed    uint64  `long:"seed" default:"1" description:"seed of the faults"`
	Minutes float64 `long:"minutes" default:"5" description:"how long faults are injected"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Println("result=failed")
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
	fmt.Println("result=ok")
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	deployment, err := deploy.New(deploy.Options{BinDir: o.Bin, LogDir: o.LogDir})
	if err != nil {
		return err
	}
	defer deployment.Close()
	s := &soak{
		deployment:   deployment,
		rand:         rand.New(rand.NewPCG(o.Seed, 1)),
		duration:     time.Duration(o.Minutes * float64(time.Minute)),
		hasNodeFault: make(map[*deploy.Node]bool),
	}
	fmt.Printf("seed=%d\nminutes=%.2f\n", o.Seed, o.Minutes)
	return s.run(ctx)
}
