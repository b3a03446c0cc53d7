// Package follow keeps a daemon's configuration up to date: it reads the log,
// folds it, exchanges records with peers and publishes changes.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// Peer is another daemon.
type Peer interface {
	// ID is the member id.
	ID() string
	// Exchange sends how far this daemon is and returns how far the peer is.
	Exchange(ctx context.Context, m *wire.ConfExchange) (*wire.ConfReply, error)
}

// Peers returns the live members except this daemon.
type Peers func() []Peer

// Options are the settings of a follower.
type Options struct {
	Member string
	Clock  clock.Clock
	Logger zerolog.Logger
	Rand   *rand.Rand
	// PollInterval is the shortest time between reads of the log. It grows with
	// the fleet, so that all daemons together stay at ReadsPerSecond.
	PollInterval   time.Duration
	ReadsPerSecond float64
	// ExchangeInterval is the time between exchanges with a random peer.
	ExchangeInterval time.Duration
	PeerTimeout      time.Duration
	// SnapshotEvery is the number of records between snapshots.
	RecordsPerSnapshot int64
	// SnapshotSpread is the longest wait before a snapshot is appended.
	SnapshotMaxDelay time.Duration
	// SnapshotRefresh is the age at which a snapshot is appended again, before
	// retention drops it.
	SnapshotMaxAge time.Duration
}

// Option changes a setting.
type Option func(*Options)

// Defaults of the settings. Exchanges of about 100 bytes a second leave most
// of the control-plane budget of 4 KB/s to the membership.
const (
	defaultPollEvery       = time.Second
	defaultReadsPerSecond  = 200
	defaultExchangeEvery   = time.Second
	defaultPeerTimeout     = time.Second
	defaultSnapshotEvery   = 256
	defaultSnapshotSpread  = 30 * time.Second
	defaultSnapshotRefresh = 6 * time.Hour
	// fanout peers get a new record at once; e^-4 of the fleet is left to the
	// exchanges with a random peer.
	fanout = 4
	// recentEntries are kept for peers that are a little behind.
	recentEntries = 1024
	readLimit     = 500
)

func defaults() Options {
	return Options{
		Clock:              clock.NewReal(),
		Logger:             zerolog.Nop(),
		PollInterval:       defaultPollEvery,
		ReadsPerSecond:     defaultReadsPerSecond,
		ExchangeInterval:   defaultExchangeEvery,
		PeerTimeout:        defaultPeerTimeout,
		RecordsPerSnapshot: defaultSnapshotEvery,
		SnapshotMaxDelay:   defaultSnapshotSpread,
		SnapshotMaxAge:     defaultSnapshotRefresh,
	}
}

// Follower is the configuration of one daemon. It is safe for concurrent use.
type Follower struct {
	o     Options
	log   applog.Log
	peers Peers

	config atomic.Pointer[policy.Config]
	wake   chan struct{}
	news   chan struct{}
	// pollMu keeps reads of the log in order.
	pollMu sync.Mutex

	mu         sync.Mutex
	q          *fold.ReorderBuffer
	generation string
	ready      bool
	fault      *LogFault
	lastRead   clock.Milli
	readErr    error
	recent     []applog.Entry
	unpushed   []applog.Entry
	known      map[string]int64
	changed    chan struct{}
	snaps      snapshots
	rand       *rand.Rand

	pubMu sync.Mutex
	subs  []func(*policy.Config)
}

// New returns a follower that has not read anything yet.
func New(log applog.Log, peers Peers, opts ...Option) *Follower {
	o := defaults()
	for _, set := range opts {
		set(&o)
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if peers == nil {
		peers = func() []Peer { return nil }
	}
	f := &Follower{
		o: o, log: log, peers: peers, rand: o.Rand,
		wake: make(chan struct{}, 1), news: make(chan struct{}, 1),
		known: make(map[string]int64), changed: make(chan struct{}),
	}
	f.q = fold.NewReorderBuffer(fold.New())
	f.q.SubscribeEvery(o.RecordsPerSnapshot, f.capture)
	f.config.Store(f.q.State().Config())
	return f
}

// Serve runs the follower until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	f.start(ctx)
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){f.pollLoop, f.pushLoop, f.exchangeLoop, f.snapshotLoop} {
		wg.Go(func() { run(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

// Config returns the configuration in force.
func (f *Follower) Config() *policy.Config { return f.config.Load() }

// Subscribe calls fn for the configuration in force and for each new one.
// Calls are in order of revisions; fn must not block.
func (f *Follower) Subscribe(fn func(*policy.Config)) {
	f.pubMu.Lock()
	defer f.pubMu.Unlock()
	f.subs = append(f.subs, fn)
	fn(f.config.Load())
}

// offer hands entries to the fold and spreads those that are new.
func (f *Follower) offer(entries []applog.Entry) {
	f.mu.Lock()
	for _, e := range entries {
		if e.Record.Kind == applog.KindSnapshot {
			// The state in it would use up the bytes that daemons may exchange.
			e.Record.Body = nil
		}
		// A record that waits for a missing one was spread already. What is
		// read at start is old to the others.
		spread := f.ready && !f.q.Contains(e.Offset)
		f.note(f.q.Add(e))
		if spread {
			f.unpushed = append(f.unpushed, e)
		}
	}
	pending := len(f.unpushed) > 0
	f.mu.Unlock()
	f.publish()
	if pending {
		signal(f.news)
	}
}

// note records what the fold applied. It needs f.mu.
func (f *Follower) note(done []fold.AppliedRecord) {
	if len(done) == 0 {
		return
	}
	for _, a := range done {
		f.recent = append(f.recent, a.Entry)
		f.noteSnapshot(a.Entry)
		if o := a.Effect.Outcome; o.ID != "" {
			f.o.Logger.Info().Str("id", o.ID).Int64("offset", a.Entry.Offset).
				Str("status", a.Effect.Status.String()).Str("author", a.Entry.Record.Author).Msg("change_folded")
		}
	}
	if n := len(f.recent) - recentEntries; n > 0 {
		f.recent = append([]applog.Entry(nil), f.recent[n:]...)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// publish makes the state's configuration the one in force.
func (f *Follower) publish() {
	f.pubMu.Lock()
	defer f.pubMu.Unlock()
	f.mu.Lock()
	next := f.q.State().Config()
	f.mu.Unlock()
	old := f.config.Load()
	if next == old {
		return
	}
	if !assert.That(next.Revision >= old.Revision, assert.ConfigMonotone,
		"member %s: revision %d after %d", f.o.Member, next.Revision, old.Revision) {
		return
	}
	f.config.Store(next)
	f.o.Logger.Info().Int64("revision", next.Revision).Msg("config_in_force")
	for _, fn := range f.subs {
		fn(next)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// jitter returns d changed by up to a quarter, so that daemons that started
// together do not stay in step.
func (f *Follower) jitter(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(d) * (0.75 + 0.5*f.rand.Float64()))
}

// pause waits for d or a signal and reports false when ctx ended.
func pause(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-wake:
	}
	return true
}
