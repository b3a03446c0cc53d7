package mesh

import (
	"context"
	"encoding/binary"
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/crash"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/health"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	// breakCollectTime is how long the connections of a crashed upstream take to break.
	breakCollectTime = 20 * clock.Millisecond
	// crashCheckInterval and crashChecks say how often the daemon checks whether an upstream
	// whose connections broke has ended.
	crashCheckInterval = 40 * clock.Millisecond
	crashChecks        = 2
	// crashCheckTimeout limits one of these checks.
	crashCheckTimeout = 100 * clock.Millisecond
	// crashReportTimeout limits one report to a peer.
	crashReportTimeout = clock.Second
)

// crashLog records which requests were running when upstreams crashed, and shares that with
// peers. It implements entry.Quarantine.
type crashLog struct {
	self     string
	clock    clock.Clock
	log      zerolog.Logger
	upstream *upstream
	// checkHealth runs a health check of the upstream.
	checkHealth func(ctx context.Context)
	// peers returns the ids of the linked peers.
	peers func() []string
	pool  *link.Pool

	mu    sync.Mutex
	table *crash.Table
	// inquiry collects the broken calls, nil if there are none.
	inquiry *crashInquiry
}

func newCrashLog(n *Node) *crashLog {
	return &crashLog{
		self: n.self.ID, clock: n.clock, log: n.log, upstream: n.upstream, checkHealth: n.health.refresh,
		peers: n.table.LinkedIDs, pool: n.pool, table: crash.New(),
	}
}

// Admit implements entry.Quarantine.
func (c *crashLog) Admit(p crash.Fingerprint) clock.Milli {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Admit(c.clock.Now(), p)
}

// Strikes implements entry.Quarantine.
func (c *crashLog) Strikes(p crash.Fingerprint) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Strikes(p)
}

// isHeld reports whether the guard must refuse a request.
func (c *crashLog) isHeld(p crash.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.HoldTime(c.clock.Now(), p) > 0
}

// held returns the number of requests that are held back.
func (c *crashLog) held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Held(c.clock.Now())
}

// hash returns the hash of the table.
func (c *crashLog) hash() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Hash()
}

// handleBreak is called with a call whose connection broke. It waits until it is known
// whether the upstream has crashed, and reports whether the request is suspected of that.
func (c *crashLog) handleBreak(r *call.Request) bool {
	p := crash.Fingerprint(r.Fingerprint)
	c.mu.Lock()
	q := c.inquiry
	if q == nil {
		q = &crashInquiry{log: c, before: c.upstream.state(), done: make(chan struct{})}
		c.inquiry = q
		go q.run()
	}
	q.running = append(q.running, p)
	q.labels = append(q.labels, r.ClientRequestID)
	c.mu.Unlock()
	<-q.done
	return c.Strikes(p) >= crash.SuspectStrikes
}

// recordCrash charges a crash to the calls that were running.
func (c *crashLog) recordCrash(q *crashInquiry, running []crash.Fingerprint) {
	c.mu.Lock()
	changed := c.table.RecordCrash(c.clock.Now(), crashID(c.self, q.before), running)
	c.mu.Unlock()
	c.log.Warn().Str("upstream", q.before.Instance).Strs("labels", q.labels).Int("charged", len(changed)).Msg("upstream_crashed")
	c.logRecords(changed)
	c.report(changed)
}

// crashID identifies the end of one start of an upstream.
func crashID(self string, s health.UpstreamState) uint64 {
	started := binary.BigEndian.AppendUint64(nil, math.Float64bits(float64(s.StartedAt)))
	return xxhash.Sum64String(self + " " + s.Instance + " " + string(started))
}

// recordAnswer records that the upstream answered a request.
func (c *crashLog) recordAnswer(p crash.Fingerprint) {
	c.mu.Lock()
	record, spread := c.table.RecordAnswer(c.clock.Now(), p)
	c.mu.Unlock()
	if spread {
		c.logRecords([]crash.Record{record})
		c.report([]crash.Record{record})
	}
}

// logRecords logs records that changed here.
func (c *crashLog) logRecords(records []crash.Record) {
	now := c.clock.Now()
	for i := range records {
		r := &records[i]
		c.mu.Lock()
		hold := c.table.HoldTime(now, r.Fingerprint)
		c.mu.Unlock()
		c.log.Warn().Uint64("fingerprint", uint64(r.Fingerprint)).Int("strikes", len(r.Strikes)).Float64("hold_ms", float64(hold)).Msg("request_charged")
	}
}

// report sends records to all linked peers. Others get them with their next
// synchronisation.
func (c *crashLog) report(records []crash.Record) {
	if len(records) == 0 {
		return
	}
	payload, err := proto.Marshal(&wire.CrashReport{Records: c.encodeRecords(records)})
	if err != nil {
		c.log.Error().Err(err).Msg("crash_report_not_encoded")
		return
	}
	for _, id := range c.peers() {
		if id != c.self {
			go (&crashReport{pool: c.pool, id: id, payload: payload}).run()
		}
	}
}

// crashReport is one report to one peer.
type crashReport struct {
	pool    *link.Pool
	id      string
	payload []byte
}

func (r *crashReport) run() {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout.Duration())
	defer cancel()
	// A peer that is not reached gets the records with its next synchronisation.
	_, _ = r.pool.Control(ctx, r.id, controlCrashes, r.payload)
}

// handleReport merges the report of a peer.
func (c *crashLog) handleReport(_ context.Context, _ link.Peer, payload []byte) ([]byte, error) {
	report := new(wire.CrashReport)
	if err := proto.Unmarshal(payload, report); err != nil {
		return nil, err
	}
	c.merge(report.GetRecords())
	return nil, nil
}

// merge adds the records of a peer.
func (c *crashLog) merge(in []*wire.CrashRecord) {
	if len(in) == 0 {
		return
	}
	now := c.clock.Now()
	records := make([]crash.Record, 0, len(in))
	for _, w := range in {
		records = append(records, decodeCrash(now, w))
	}
	c.mu.Lock()
	changed := c.table.Merge(now, records...)
	c.mu.Unlock()
	if changed {
		c.log.Info().Int("records", len(records)).Msg("crashes_from_peer")
	}
}

// encode returns all records for a peer.
func (c *crashLog) encode() []*wire.CrashRecord {
	c.mu.Lock()
	records := c.table.Records(c.clock.Now())
	c.mu.Unlock()
	return c.encodeRecords(records)
}

func (c *crashLog) encodeRecords(records []crash.Record) []*wire.CrashRecord {
	now := c.clock.Now()
	out := make([]*wire.CrashRecord, 0, len(records))
	for i := range records {
		r := &records[i]
		w := &wire.CrashRecord{Fingerprint: uint64(r.Fingerprint), Answered: r.AnsweredAt > 0, AnsweredAgeMs: float64(now - r.AnsweredAt)}
		for _, s := range r.Strikes {
			w.Strikes = append(w.Strikes, &wire.CrashStrike{Id: s.ID, AgeMs: float64(now - s.At)})
		}
		out = append(out, w)
	}
	return out
}

func decodeCrash(now clock.Milli, w *wire.CrashRecord) crash.Record {
	r := crash.Record{Fingerprint: crash.Fingerprint(w.GetFingerprint())}
	if w.GetAnswered() {
		r.AnsweredAt = now - max(0, clock.Milli(w.GetAnsweredAgeMs()))
	}
	for _, s := range w.GetStrikes() {
		r.Strikes = append(r.Strikes, crash.Strike{ID: s.GetId(), At: now - max(0, clock.Milli(s.GetAgeMs()))})
	}
	return r
}

// crashInquiry finds out whether the upstream crashed after calls lost their connections.
type crashInquiry struct {
	log *crashLog
	// before is the state of the upstream when the first connection broke.
	before health.UpstreamState
	// running and labels are the calls that lost their connections.
	running []crash.Fingerprint
	labels  []string
	// done is closed when the result is recorded.
	done chan struct{}
}

func (q *crashInquiry) run() {
	c := q.log
	defer close(q.done)
	clock.Sleep(context.Background(), breakCollectTime)
	crashed := q.hasCrashed()
	c.mu.Lock()
	c.inquiry = nil
	running := slices.Compact(slices.Sorted(slices.Values(q.running)))
	c.mu.Unlock()
	if crashed {
		c.recordCrash(q, running)
	}
}

// hasCrashed reports whether the upstream has ended. One that leaves ends as planned.
func (q *crashInquiry) hasCrashed() bool {
	for i := range crashChecks {
		if i > 0 {
			clock.Sleep(context.Background(), crashCheckInterval)
		}
		q.check()
		now := q.log.upstream.state()
		if q.before.Leaving || now.Leaving {
			return false
		}
		if now.Down || now.Instance != q.before.Instance || now.StartedAt != q.before.StartedAt {
			return true
		}
	}
	return false
}

// check runs a health check of the upstream.
func (q *crashInquiry) check() {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout.Duration())
	defer cancel()
	q.log.checkHealth(ctx)
}
