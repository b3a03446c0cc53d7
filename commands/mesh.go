package commands

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/logs"
	"gitlab.com/cranberrytack/cranberrytack/internal/node/mesh"
	"gitlab.com/cranberrytack/cranberrytack/platform"
)

const (
	// meshGCPercent keeps the heap small: on the users' platform memory costs
	// more than the CPU time of garbage collections.
	meshGCPercent = 50
	// meshLogLinesPerSecond bounds the rate of log lines below level warn.
	meshLogLinesPerSecond = 1000
	// meshMemoryLimitFraction is the fraction of the configured memory above which
	// garbage collections become frequent.
	meshMemoryLimitFraction = 0.7
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
	// First of all, as the signal ends a process that does not handle it.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
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
	if s.Mesh.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(meshMemoryLimitFraction * float64(s.Mesh.MemoryBytes)))
	}
	log, out := logs.NewAsync(os.Stdout, level, logs.WithRateLimit(meshLogLinesPerSecond))
	defer func() { _ = out.Close() }()
	logs.CaptureStandard(log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	adapter := platform.New(s, log)
	n, err := mesh.New(s.Mesh, adapter, log)
	if err != nil {
		return err
	}
	r := &reloader{path: path, adapter: adapter, log: log, hup: hup}
	go r.run(ctx)
	return n.Run(ctx)
}

// reloadInterval is the time between checks of the settings file, which may
// change without a signal.
const reloadInterval = 5 * time.Second

// reloader reloads the settings on SIGHUP and when the settings file changes.
type reloader struct {
	path         string
	adapter      *platform.Adapter
	log          zerolog.Logger
	hup          chan os.Signal
	lastModified time.Time
}

func (r *reloader) run(ctx context.Context) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hup:
			r.reload("signal")
		case <-t.C:
			if r.fileChanged() {
				r.reload("file changed")
			}
		}
	}
}

// fileChanged reports whether the settings file was written since the previous
// check. The first check returns false.
func (r *reloader) fileChanged() bool {
	info, err := os.Stat(r.path)
	if err != nil || info.ModTime().Equal(r.lastModified) {
		return false
	}
	first := r.lastModified.IsZero()
	r.lastModified = info.ModTime()
	return !first
}

// reload applies the settings that may change while the process runs. If the
// file is invalid, the current settings stay in force.
func (r *reloader) reload(cause string) {
	s, err := platform.LoadSettings(r.path)
	if err != nil {
		r.log.Warn().Str("cause", cause).Err(err).Msg("settings_kept")
		return
	}
	r.adapter.Reload(s)
	r.log.Info().Str("cause", cause).Msg("settings_reloaded")
}
