// Package duty performs a task that one daemon of the fleet does at a time. A Runner takes
// part in the choice of the holder, and runs the work of the duty while this daemon is the
// holder. Another duty is another Work with a topic of its own.
package duty

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/lease"
)

const (
	// heldInterval and idleInterval are the times between decisions of the holder and of
	// other daemons.
	heldInterval = 100 * clock.Millisecond
	idleInterval = 500 * clock.Millisecond
	// callTimeout limits a call to the store, beyond the time for which a read waits.
	callTimeout = clock.Second
)

// Work is what the holder of a duty does. Its methods are called one at a time.
type Work interface {
	// Begin is called when this daemon becomes the holder.
	Begin()
	// Step does what is due. It must not block.
	Step(ctx context.Context)
}

// Runner runs one duty at one daemon.
type Runner struct {
	// Name identifies the duty in log lines.
	Name  string
	Topic string
	Store feed.Store
	Log   zerolog.Logger
	Work  Work
	// Enabled reports whether the fleet has the duty now.
	Enabled func() bool
	// Situation returns the state of this daemon that the lease depends on. The argument is
	// the latest holder in the log.
	Situation func(holder string) lease.Situation

	mu   sync.Mutex
	core *lease.Core
	// token is that of the tenure in which Begin was called, zero while not the holder.
	token   int64
	failing bool
}

// Init sets the name of this process and the times of the lease. It must be called before Serve.
func (r *Runner) Init(self string, t lease.Timing) {
	r.core = lease.New(self, t)
}

// Serve implements suture.Service.
func (r *Runner) Serve(ctx context.Context) error {
	return r.run(ctx)
}

func (r *Runner) run(ctx context.Context) error {
	for {
		if !clock.Sleep(ctx, r.tick(ctx)) {
			return ctx.Err()
		}
	}
}

// tick does what is due and returns the time until the next call.
func (r *Runner) tick(ctx context.Context) clock.Milli {
	if !r.Enabled() {
		return idleInterval
	}
	situation := r.Situation(r.holder())
	r.mu.Lock()
	step := r.core.Next(clock.Uptime(), situation)
	r.mu.Unlock()
	if step.Action != lease.ActionNone {
		r.call(ctx, step)
	}
	held := r.updateTenure()
	if held {
		r.Work.Step(ctx)
	}
	switch {
	case step.Action != lease.ActionNone:
		return clock.Millisecond
	case held:
		return heldInterval
	default:
		return idleInterval
	}
}

// call performs a call to the store and records its result.
func (r *Runner) call(ctx context.Context, s lease.Step) {
	ctx, cancel := context.WithTimeout(ctx, (s.Wait + callTimeout).Duration())
	defer cancel()
	var b feed.Batch
	var err error
	startedAt := clock.Uptime()
	switch s.Action {
	case lease.ActionLoad:
		b, err = r.Store.Newest(ctx, r.Topic)
	case lease.ActionRead:
		b, err = r.Store.Read(ctx, r.Topic, s.At, s.Wait)
	default:
		b.End, err = r.Store.Append(ctx, r.Topic, s.Item, s.At)
	}
	now := clock.Uptime()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		r.core.Failed(now, err)
	case s.Action == lease.ActionLoad:
		r.core.Loaded(startedAt, now, b)
	case s.Action == lease.ActionRead:
		r.core.Read(startedAt, now, b)
	default:
		r.core.Appended(startedAt, now, b.End)
	}
	if failing := err != nil; failing != r.failing {
		r.failing = failing
		r.Log.Info().Str("duty", r.Name).Bool("failing", failing).Stringer("call", s.Action).Err(err).Msg("duty_store")
	}
}

// updateTenure reports whether this daemon is the holder, and logs a change.
func (r *Runner) updateTenure() bool {
	r.mu.Lock()
	held, record := r.core.Held(), r.core.Record()
	previous := r.token
	r.token = 0
	if held {
		r.token = record.Token
	}
	r.mu.Unlock()
	switch {
	case held && previous != record.Token:
		r.Log.Info().Str("duty", r.Name).Int64("token", record.Token).Float64("log_complete_since", float64(record.Since)).Msg("duty_taken")
		r.Work.Begin()
	case !held && previous != 0:
		r.Log.Info().Str("duty", r.Name).Int64("token", previous).Str("holder", record.Holder).Bool("released", record.Released).Msg("duty_ended")
	}
	return held
}

// holder returns the latest holder in the log.
func (r *Runner) holder() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Record().Holder
}

// Token returns the token of this daemon's tenure, zero if it is not the holder.
func (r *Runner) Token() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.token
}

// CompleteSince returns the true time since which the log is complete.
func (r *Runner) CompleteSince() clock.Milli {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Record().Since
}

// HighestToken returns the highest token that this or another daemon has seen.
func (r *Runner) HighestToken() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.HighestToken()
}

// NoteToken records a token that another daemon has seen.
func (r *Runner) NoteToken(token int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.NoteToken(token)
}

// Propose schedules the append of an entry of the work to the log. It reports false if this
// daemon is not the holder or another append is in progress. Entry returns the entry once it
// is stored.
func (r *Runner) Propose(key string, body []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.core.Held() || r.core.Proposing() {
		return false
	}
	r.core.Propose(key, body)
	return true
}

// Entry returns an entry of the work in the log, nil if there is none.
func (r *Runner) Entry(key string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Entry(key)
}

// Permit returns a context for one call to the platform with a token, and whether it may be
// sent now. If not, the permission is requested.
func (r *Runner) Permit(ctx context.Context) (permitted context.Context, cancel context.CancelFunc, token int64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Uptime()
	p, ok := r.core.Permit(now)
	if !ok {
		r.core.RequestPermit(now)
		return nil, nil, 0, false
	}
	permitted, cancel = context.WithTimeout(ctx, (p.Until - now).Duration())
	return permitted, cancel, p.Token, true
}
