package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	pollInterval = 300 * clock.Millisecond
	readLimit    = 500
)

// announcer announces the daemon's upstream in the platform log and learns
// the other targets from there.
type announcer struct {
	log     applog.Log
	self    call.Target
	clock   clock.Clock
	logger  zerolog.Logger
	version atomic.Uint64

	mu      sync.RWMutex
	targets map[string]call.Target
	next    int64
	done    bool
}

func newAnnouncer(l applog.Log, self call.Target, clk clock.Clock, logger zerolog.Logger) *announcer {
	return &announcer{log: l, self: self, clock: clk, logger: logger, targets: make(map[string]call.Target), next: 1}
}

// Serve implements suture.Service.
func (a *announcer) Serve(ctx context.Context) error {
	return a.run(ctx)
}

// Members implements Membership.
func (a *announcer) Members() []call.Target {
	a.mu.RLock()
	defer a.mu.RUnlock()
	out := make([]call.Target, 0, len(a.targets))
	for _, t := range a.targets {
		out = append(out, t)
	}
	return out
}

// Targets implements entry.Roster.
func (a *announcer) Targets(service string) []call.Target {
	a.mu.RLock()
	defer a.mu.RUnlock()
	var out []call.Target
	for _, t := range a.targets {
		if t.Service == service {
			out = append(out, t)
		}
	}
	return out
}

// Version implements entry.Roster.
func (a *announcer) Version() uint64 {
	return a.version.Load()
}

func (a *announcer) run(ctx context.Context) error {
	t := time.NewTicker(pollInterval.Duration())
	defer t.Stop()
	for {
		if !a.done {
			a.done = a.announce(ctx, applog.KindAnnounce)
		}
		a.poll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (a *announcer) leave(ctx context.Context) {
	a.announce(ctx, applog.KindLeave)
}

func (a *announcer) announce(ctx context.Context, kind applog.Kind) bool {
	body, err := json.Marshal(a.self)
	if err != nil {
		return false
	}
	_, err = a.log.Append(ctx, applog.Record{
		ID:   fmt.Sprintf("%s-%s-%d", kind, a.self.ID, a.self.Incarnation),
		Kind: kind,
		At:   float64(a.clock.Now()),
		Body: body,
	})
	if err != nil {
		a.logger.Warn().Err(err).Str("kind", string(kind)).Msg("announce_failed")
	}
	return err == nil
}

func (a *announcer) poll(ctx context.Context) {
	b, err := a.log.Read(ctx, a.next, readLimit)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range b.Entries {
		a.next = e.Offset + 1
		a.apply(e.Record)
	}
}

func (a *announcer) apply(r applog.Record) {
	var t call.Target
	if json.Unmarshal(r.Body, &t) != nil {
		return
	}
	old, ok := a.targets[t.ID]
	if ok && old.Incarnation > t.Incarnation {
		return
	}
	switch r.Kind {
	case applog.KindAnnounce:
		a.targets[t.ID] = t
	case applog.KindLeave:
		delete(a.targets, t.ID)
	default:
		return
	}
	a.version.Add(1)
}
