// Package follow keeps a daemon's configuration up to date: it reads the change
// log, applies the records, exchanges them with peers and publishes changes.
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

// Peer is a connection to another daemon.
type Peer interface {
	// ID returns the member id of the daemon.
	ID() string
	// Exchange sends the offset up to which this daemon has applied the log, with
	// new records, and returns the offset and records of the peer.
	Exchange(ctx context.Context, m *wire.ConfExchange) (*wire.ConfReply, error)
}

// Peers returns the live members except this daemon. It must be safe for
// concurrent use.
type Peers func() []Peer

// Options are the settings of a follower.
type Options struct {
	// Member is the member id of this daemon.
	Member string
	Clock  clock.Clock
	Logger zerolog.Logger
	Rand   *rand.Rand
	// PollInterval is the minimum time between reads of the log. The actual one
	// grows with the fleet, so that all daemons together do not exceed
	// ReadsPerSecond.
	PollInterval   time.Duration
	ReadsPerSecond float64
	// ExchangeInterval is the time between exchanges with a random peer.
	ExchangeInterval time.Duration
	// PeerTimeout limits one exchange.
	PeerTimeout time.Duration
	// RecordsPerSnapshot is the number of records between snapshots.
	RecordsPerSnapshot int64
	// SnapshotMaxDelay is the maximum random delay before a daemon appends a
	// snapshot.
	SnapshotMaxDelay time.Duration
	// SnapshotMaxAge is the age of the last snapshot at which a new one is
	// appended, before the log's retention drops the old one.
	SnapshotMaxAge time.Duration
}

// Option modifies the options of New.
type Option func(*Options)

// Defaults of the options. The exchanges use about 100 bytes a second and leave
// most of the control-plane budget of 4 KB/s to the membership protocol.
const (
	defaultPollInterval       = time.Second
	defaultReadsPerSecond     = 200
	defaultExchangeInterval   = time.Second
	defaultPeerTimeout        = time.Second
	defaultRecordsPerSnapshot = 256
	defaultSnapshotMaxDelay   = 30 * time.Second
	defaultSnapshotMaxAge     = 6 * time.Hour
	// pushFanout is the number of random peers to which a new record is pushed.
	// The pushes miss a fraction of e^-4 of the fleet, which receives the record
	// through the periodic exchanges.
	pushFanout = 4
	// maxRecentEntries is how many applied records are kept for peers that lack
	// them. A peer that is further behind receives the whole state.
	maxRecentEntries  = 1024
	maxRecordsPerRead = 500
)

func defaultOptions() Options {
	return Options{
		Clock:              clock.NewReal(),
		Logger:             zerolog.Nop(),
		PollInterval:       defaultPollInterval,
		ReadsPerSecond:     defaultReadsPerSecond,
		ExchangeInterval:   defaultExchangeInterval,
		PeerTimeout:        defaultPeerTimeout,
		RecordsPerSnapshot: defaultRecordsPerSnapshot,
		SnapshotMaxDelay:   defaultSnapshotMaxDelay,
		SnapshotMaxAge:     defaultSnapshotMaxAge,
	}
}

// Follower maintains the configuration of one daemon. It is safe for concurrent
// use.
type Follower struct {
	options Options
	log     applog.Log
	peers   Peers

	// config is the configuration in force.
	config atomic.Pointer[policy.Config]
	// pollSignal triggers a read of the log, pushSignal a push of new records.
	pollSignal chan struct{}
	pushSignal chan struct{}
	// pollMu serialises reads of the log.
	pollMu sync.Mutex

	// mu guards the fields up to the next blank line.
	mu     sync.Mutex
	buffer *fold.ReorderBuffer
	// generation identifies the log; it is empty until a log or a peer was read.
	generation string
	ready      bool
	fault      *LogFault
	lastReadAt clock.Milli
	readErr    error
	// recent holds the last applied records, unpushed those to send to peers.
	recent          []applog.Entry
	unpushed        []applog.Entry
	memberRevisions map[string]int64
	// appliedSignal is closed and replaced when records are applied.
	appliedSignal chan struct{}
	snapshots     snapshotState
	rand          *rand.Rand

	// configMu serialises updates of config and calls of the subscribers.
	configMu    sync.Mutex
	subscribers []func(*policy.Config)
}

// New returns a follower with an empty configuration. It reads nothing until
// Serve is called. With nil peers it follows the log alone.
func New(log applog.Log, peers Peers, opts ...Option) *Follower {
	o := defaultOptions()
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
		options: o, log: log, peers: peers, rand: o.Rand,
		pollSignal: make(chan struct{}, 1), pushSignal: make(chan struct{}, 1),
		memberRevisions: make(map[string]int64), appliedSignal: make(chan struct{}),
	}
	f.buffer = fold.NewReorderBuffer(fold.New())
	f.buffer.NotifyEvery(o.RecordsPerSnapshot, f.captureSnapshot)
	f.config.Store(f.buffer.State().Config())
	return f
}

// Serve runs the follower until ctx ends, and returns the error of ctx.
func (f *Follower) Serve(ctx context.Context) error {
	f.loadInitialState(ctx)
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){f.pollLoop, f.pushLoop, f.exchangeLoop, f.snapshotLoop} {
		wg.Go(func() { run(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

// Config returns the configuration in force, which callers must not modify.
func (f *Follower) Config() *policy.Config { return f.config.Load() }

// Subscribe calls fn with the configuration in force and with each new one, in
// the order of their revisions. fn must not block.
func (f *Follower) Subscribe(fn func(*policy.Config)) {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	f.subscribers = append(f.subscribers, fn)
	fn(f.config.Load())
}

// ingest applies entries and queues the new ones for the push to peers.
func (f *Follower) ingest(entries []applog.Entry) {
	f.mu.Lock()
	for _, e := range entries {
		if e.Record.Kind == applog.KindSnapshot {
			// Peers don't need the state in a snapshot record, and it would use up
			// the control-plane budget.
			e.Record.Body = nil
		}
		// A buffered record was queued for the push when it arrived. Records read
		// before the follower is ready are old, so the peers have them.
		isNew := f.ready && !f.buffer.Contains(e.Offset)
		f.recordApplied(f.buffer.Add(e))
		if isNew {
			f.unpushed = append(f.unpushed, e)
		}
	}
	pending := len(f.unpushed) > 0
	f.mu.Unlock()
	f.activateConfig()
	if pending {
		signal(f.pushSignal)
	}
}

// recordApplied keeps applied records for peers, logs the outcomes of changes and
// wakes the callers that wait for them. The caller holds f.mu.
func (f *Follower) recordApplied(applied []fold.AppliedRecord) {
	if len(applied) == 0 {
		return
	}
	for _, a := range applied {
		f.recent = append(f.recent, a.Entry)
		f.observeSnapshot(a.Entry)
		if o := a.Result.Outcome; o.ID != "" {
			f.options.Logger.Info().Str("id", o.ID).Int64("offset", a.Entry.Offset).
				Str("status", a.Result.Status.String()).Str("author", a.Entry.Record.Author).Msg("change_folded")
		}
	}
	if n := len(f.recent) - maxRecentEntries; n > 0 {
		f.recent = append([]applog.Entry(nil), f.recent[n:]...)
	}
	close(f.appliedSignal)
	f.appliedSignal = make(chan struct{})
}

// activateConfig puts the configuration of the state into force and calls the
// subscribers if it is new.
func (f *Follower) activateConfig() {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	f.mu.Lock()
	next := f.buffer.State().Config()
	f.mu.Unlock()
	old := f.config.Load()
	if next == old {
		return
	}
	if !assert.That(next.Revision >= old.Revision, assert.ConfigMonotone,
		"member %s: revision %d after %d", f.options.Member, next.Revision, old.Revision) {
		return
	}
	f.config.Store(next)
	f.options.Logger.Info().Int64("revision", next.Revision).Msg("config_in_force")
	for _, fn := range f.subscribers {
		fn(next)
	}
}

// signal sends to c unless a signal is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// jitter returns d changed at random by up to 25 %, so that daemons that started
// at the same time do not stay synchronised.
func (f *Follower) jitter(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(d) * (0.75 + 0.5*f.rand.Float64()))
}

// sleepOrSignal waits for d or a receive from wake, which may be nil. It returns
// false if ctx ended.
func sleepOrSignal(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
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
