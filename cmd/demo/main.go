// Command demo runs the deployment of Cranberrytack Mesh for Reset Crew
// Services on loopback, moves a data centre and two versions under load, and
// checks the outcome.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/deploy"

	"github.com/jessevdk/go-flags"
)

// demoTimeout limits the whole demo, including startup and checks.
const demoTimeout = 58 * time.Second

type options struct {
	Bin     string `long:"bin" default:"bin" description:"directory of the programs"`
	LogDir  string `long:"keep" description:"directory to keep the logs of all processes in"`
	Verbose bool   `long:"verbose" description:"print the log file of each process that failed"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Println("result=failed")
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	fmt.Println("result=ok")
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	deployment, err := deploy.New(deploy.Options{BinDir: o.Bin, LogDir: o.LogDir})
	if err != nil {
		return err
	}
	defer deployment.Close()
	s := &scenario{deployment: deployment, startedAt: time.Now()}
	return s.run(ctx)
}
