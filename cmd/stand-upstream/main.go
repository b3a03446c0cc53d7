// Command stand-upstream runs a simulated upstream for demos and tests.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fakes/server"
)

type options struct {
	Listen        string  `long:"listen" required:"true" description:"address as IP:port"`
	Slots         int     `long:"slots" default:"6" description:"requests run at once"`
	ServiceTimeMS float64 `long:"service-ms" default:"5" description:"mean service time in milliseconds"`
	WarmupMS      float64 `long:"warmup-ms" default:"0" description:"time in milliseconds for which a cold upstream is slow"`
	Version       string  `long:"version" default:"1" description:"version reported in responses"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "stand-upstream:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	s := server.New(o.Slots,
		server.WithServiceTime(clock.Milli(o.ServiceTimeMS)),
		server.WithWarmup(clock.Milli(o.WarmupMS)),
		server.WithVersion(o.Version))
	srv := &http.Server{Addr: o.Listen, Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = srv.Shutdown(context.Background()) })
	if err := srv.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}
