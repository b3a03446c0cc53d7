package mesh

import (
	"context"
	"encoding/json"
	"maps"
	"strconv"
	"sync"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/meter"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/usage"
	"gitlab.com/cranberrytack/cranberrytack/internal/node/duty"
)

const (
	// settledKeys is the number of windows whose settled counts the log retains.
	settledKeys = 16
	// minReportDelay and maxReportDelay limit the time between attempts to send a report.
	minReportDelay = 250 * clock.Millisecond
	maxReportDelay = 1500 * clock.Millisecond
)

// settledUsage has the counts of a window in the log of the duty. They never change.
type settledUsage struct {
	Window int64        `json:"window"`
	Counts usage.Counts `json:"counts"`
}

// usageReporter is the work of the holder of the duty to report usage: it collects the counts
// of all guards, settles them in the log and reports what is settled. It implements duty.Work.
type usageReporter struct {
	name     string
	settings *UsageSettings
	log      zerolog.Logger
	meter    *meter.Meter
	platform Platform
	runner   *duty.Runner
	counter  *usageCounter
	puller   *usagePuller
	// first is the first window of this tenure, which began at beganAt.
	first   int64
	beganAt clock.Milli
	// earliest is the first window of the system, zero if it is not known.
	earliest int64
	// done has the windows that need no more work.
	done map[int64]bool
	// stored has the windows that were seen to be settled.
	stored map[int64]bool
	// steppedAt is the true time of the last step.
	steppedAt clock.Milli

	mu sync.Mutex
	// sending is set while a report is sent. accepted has the windows whose report was accepted.
	sending  bool
	accepted map[int64]bool
	nextAt   clock.Milli
	delay    clock.Milli
}

// Begin implements duty.Work.
func (u *usageReporter) Begin() {
	u.first, u.beganAt = max(u.earliest, u.settings.Timing.First(u.counter.trueTime())), clock.Uptime()
	u.done, u.stored = make(map[int64]bool), make(map[int64]bool)
	u.puller.begin()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.accepted, u.nextAt, u.delay = make(map[int64]bool), 0, 0
}

// Step implements duty.Work.
func (u *usageReporter) Step(ctx context.Context) {
	now := u.counter.trueTime()
	t := u.settings.Timing
	if now < u.steppedAt-t.Length {
		// The clock was ahead, so what was recorded at instants to come is void.
		u.earliest = 0
		u.puller.reset()
		u.Begin()
	}
	u.steppedAt = now
	u.puller.step(ctx, now, max(u.first, t.First(now)-1))
	u.expire(t.First(now) - settledKeys)
	for w := max(u.first, t.First(now)-settledKeys/2); t.Start(w+1) <= now; w++ {
		if !u.done[w] {
			u.decide(ctx, now, w)
		}
	}
}

// expire removes what is recorded of windows before first.
func (u *usageReporter) expire(first int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, windows := range []map[int64]bool{u.done, u.stored, u.accepted} {
		maps.DeleteFunc(windows, func(w int64, _ bool) bool { return w < first })
	}
}

// decide does what is due about one window.
func (u *usageReporter) decide(ctx context.Context, now clock.Milli, window int64) {
	settled, ok := u.settled(window)
	state := usage.State{Settled: ok, Accepted: u.isAccepted(window), Complete: u.runner.CompleteSince()}
	if !ok {
		state.Collecting = clock.Uptime()-u.beganAt < usageQueryTimeout
		state.Coverage = u.puller.coverage(window)
	} else if !u.stored[window] {
		u.stored[window] = true
		u.meter.CountWindow("settled")
		u.log.Info().Int64("window", window).Int("workspaces", len(settled.Counts)).Msg("usage_settled")
	}
	verdict, reason := u.settings.Timing.Decide(now, window, state)
	switch verdict {
	case usage.VerdictSettle:
		u.settle(window, state.Coverage)
	case usage.VerdictSend:
		u.send(ctx, settled)
	case usage.VerdictMiss:
		u.done[window] = true
		u.meter.CountWindow("missed_" + reason.String())
		u.log.Warn().Int64("window", window).Str("reason", reason.String()).Float64("missing", state.Coverage.Missing).
			Strs("guards", state.Coverage.Members[:min(len(state.Coverage.Members), maxLoggedGuards)]).Msg("usage_missed")
	case usage.VerdictDone:
		u.done[window] = true
	case usage.VerdictWait:
	}
}

// settled returns the counts of a window in the log, and whether it has them.
func (u *usageReporter) settled(window int64) (usage.Window, bool) {
	var s settledUsage
	if err := json.Unmarshal(u.runner.Entry(settledKey(window)), &s); err != nil || s.Window != window {
		return usage.Window{}, false
	}
	return usage.Window{Index: window, Counts: s.Counts}, true
}

func settledKey(window int64) string {
	return "settled/" + strconv.FormatInt(window%settledKeys, 10)
}

// settle proposes the counts of a window for the log. It does so again with later counts
// until the log has some.
func (u *usageReporter) settle(window int64, c usage.Coverage) {
	body, err := json.Marshal(settledUsage{Window: window, Counts: u.puller.total(window)})
	if err != nil {
		u.log.Error().Err(err).Msg("usage_not_encoded")
		return
	}
	if u.runner.Propose(settledKey(window), body) {
		u.log.Info().Int64("window", window).Int("guards", c.Guards).Float64("missing", c.Missing).Msg("usage_settling")
	}
}

func (u *usageReporter) isAccepted(window int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.accepted[window]
}

// send sends a report, unless another one is being sent, the last one failed recently or this
// daemon may not send now.
func (u *usageReporter) send(ctx context.Context, w usage.Window) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sending || clock.Uptime() < u.nextAt {
		return
	}
	permitted, cancel, token, ok := u.runner.Permit(ctx)
	if !ok {
		return
	}
	u.sending = true
	r := UsageReport{Holder: u.name, Token: token, Window: w}
	go (&usageCall{reporter: u, report: r, cancel: cancel}).run(permitted)
}

// recordResult records the result of a report.
func (u *usageReporter) recordResult(r *UsageReport, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sending = false
	if err == nil {
		u.accepted[r.Window.Index] = true
		u.delay = 0
		u.nextAt = clock.Uptime() + u.settings.MinInterval
		u.meter.CountWindow("reported")
		u.log.Info().Int64("window", r.Window.Index).Int64("token", r.Token).Int("workspaces", len(r.Window.Counts)).Msg("usage_reported")
		return
	}
	u.delay = min(maxReportDelay, max(minReportDelay, 2*u.delay, u.settings.MinInterval))
	u.nextAt = clock.Uptime() + u.delay
	u.meter.CountWindow("failed")
	u.log.Warn().Int64("window", r.Window.Index).Int64("token", r.Token).Err(err).Msg("usage_not_reported")
}

// usageCall sends one report.
type usageCall struct {
	reporter *usageReporter
	report   UsageReport
	cancel   context.CancelFunc
}

func (c *usageCall) run(ctx context.Context) {
	defer c.cancel()
	c.reporter.recordResult(&c.report, c.reporter.platform.ReportUsage(ctx, c.report))
}
