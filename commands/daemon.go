package commands

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/config"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/logs"
	"gitlab.com/cranberrytack/cranberrytack/internal/node/daemon"
)

const (
	// gcPercent trades memory for fewer garbage collections: the live heap is a
	// few MB, and collections at the default of 100 % take a tenth of the CPU
	// time.
	gcPercent = 400
	// memoryLimitBytes makes collections more frequent before the process exceeds
	// its budget of 256 MB.
	memoryLimitBytes = 200 << 20
)

func init() {
	Register("daemon", "Run the daemon beside an upstream", "Runs entry and guard of one upstream until SIGTERM, which starts a graceful stop.", &daemonCommand{})
}

type daemonCommand struct {
	Config string `short:"c" long:"config" required:"true" description:"settings file in TOML"`
}

// Execute implements flags.Commander.
func (c *daemonCommand) Execute([]string) error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	log, out := logs.NewAsync(os.Stdout, cfg.Output.ZerologLevel())
	defer func() { _ = out.Close() }()
	logs.CaptureStandard(log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := daemon.New(cfg, log)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
