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
	// meshGCPercent keeps the heap small: memory costs more here than the
	// collections.
	meshGCPercent = 50
	// meshLogRate bounds the log lines a second that are no warnings.
	meshLogRate = 1000
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
	if s.Mesh.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(meshMemoryPart * float64(s.Mesh.MemoryBytes)))
	}
	log, out := logs.NewAsync(os.Stdout, level, logs.WithRateLimit(meshLogRate))
	defer func() { _ = out.Close() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	adapter := platform.New(s, log)
	n, err := mesh.New(s.Mesh, adapter, log)
	if err != nil {
		return err
	}
	r := &reloader{path: path, adapter: adapter, log: log, hup: make(chan os.Signal, 1)}
	signal.Notify(r.hup, syscall.SIGHUP)
	go r.run(ctx)
	return n.Run(ctx)
}

// reloadInterval is the time between looks at the settings file, which may
// change without a signal.
const reloadInterval = 5 * time.Second

// reloader follows changes of the settings file.
type reloader struct {
	path    string
	adapter *platform.Adapter
	log     zerolog.Logger
	hup     chan os.Signal
	seen    time.Time
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
			if r.changed() {
				r.reload("file changed")
			}
		}
	}
}

// changed reports whether the file was written since the last look.
func (r *reloader) changed() bool {
	info, err := os.Stat(r.path)
	if err != nil || info.ModTime().Equal(r.seen) {
		return false
	}
	first := r.seen.IsZero()
	r.seen = info.ModTime()
	return !first
}

// reload takes over the settings that may change while the process runs.
func (r *reloader) reload(cause string) {
	s, err := platform.LoadSettings(r.path)
	if err != nil {
		r.log.Warn().Str("cause", cause).Err(err).Msg("settings_kept")
		return
	}
	r.adapter.Reload(s)
	r.log.Info().Str("cause", cause).Msg("settings_reloaded")
}
