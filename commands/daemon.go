package commands

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/config"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/logs"
	"gitlab.com/cranberrytack/cranberrytack/internal/node/daemon"
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
	log, out := logs.Open(os.Stdout, cfg.Output.ZerologLevel())
	defer func() { _ = out.Close() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := daemon.New(cfg, log)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
