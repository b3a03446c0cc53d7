package commands

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/logs"
	"gitlab.com/cranberrytack/cranberrytack/internal/node/mesh"
	"gitlab.com/cranberrytack/cranberrytack/platform"
)

const (
	// meshGCPercent keeps the heap small: memory costs more here than the
	// collections.
	meshGCPercent = 50
	// meshMemoryPart is the part of the memory limit from which on collections
	// are frequent.
	meshMemoryPart = 0.7
)

func init() {
	Register("mesh", "Run the daemon on the users' platform",
		"Runs entry and guard of one upstream with the settings, the store and the names of the platform.", &meshCommand{})
}

type meshCommand struct {
	Check bool   `long:"check" description:"check the settings and exit"`
	Level string `long:"level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level of log lines"`
}

// Execute implements flags.Commander.
func (c *meshCommand) Execute([]string) error {
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	s, err := platform.LoadSettings(path)
	if err != nil || c.Check {
		return err
	}
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return err
	}
	debug.SetGCPercent(meshGCPercent)
	if s.Mesh.Memory > 0 {
		debug.SetMemoryLimit(int64(meshMemoryPart * float64(s.Mesh.Memory)))
	}
	log, out := logs.Open(os.Stdout, level)
	defer func() { _ = out.Close() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n, err := mesh.New(s.Mesh, platform.New(s, log), log)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
