package mesh

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/usage"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	// maxClockError is the difference to the true time from which a daemon corrects its clock.
	maxClockError = 100 * clock.Millisecond
	// extraWindows is the number of windows that guards keep beyond those that may be settled.
	extraWindows = 3
	// handOverTimeout limits the last message of a guard that stops.
	handOverTimeout = 300 * clock.Millisecond
)

// usageCounter counts the requests of workspaces at this daemon's guard.
type usageCounter struct {
	self     string
	clock    clock.Clock
	boot     *clock.Boot
	pool     controller
	identity *wire.UsageCounts
	// noteToken records a fencing token, highestToken returns the highest known one.
	noteToken    func(int64)
	highestToken func() int64
	// collect receives the counts of a guard that stops.
	collect func(*wire.UsageCounts)

	mu      sync.Mutex
	counter *usage.Counter
	// correction is added to the clock to get the true time.
	correction clock.Milli
	since      clock.Milli
	// holder is the daemon that last asked for the counts.
	holder string
}

// newUsageCounter returns the counter of a node. With a predecessor, an earlier process at the
// same address, requests before the start of this one may be missing from its counts.
func newUsageCounter(n *Node, hasPredecessor bool) *usageCounter {
	t := n.settings.Usage.Timing
	c := &usageCounter{
		self: n.self.ID, clock: n.clock, boot: clock.NewBoot(), pool: n.pool,
		identity: &wire.UsageCounts{Member: n.self.ID, Incarnation: n.self.Incarnation, Succeeds: hasPredecessor},
		counter:  usage.NewCounter(t.Length, int64(t.Due/t.Length)+extraWindows),
		collect:  func(*wire.UsageCounts) {},
	}
	c.since = c.boot.Now()
	return c
}

// trueTime returns the best estimate of the true time.
func (c *usageCounter) trueTime() clock.Milli {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.trueTimeLocked()
}

func (c *usageCounter) trueTimeLocked() clock.Milli {
	return c.boot.Now() + c.correction
}

// correct sets what to add to the clock to get the true time, if it differs too much from
// before. What was counted before may then be in the wrong windows.
func (c *usageCounter) correct(correction clock.Milli) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := correction - c.correction; d > maxClockError || d < -maxClockError {
		c.correction = correction
		c.since = c.trueTimeLocked()
		c.counter.DropAfter(c.since)
		c.identity.Succeeds = true
	}
}

// recordDispatch counts a request that the upstream is about to get.
func (c *usageCounter) recordDispatch(_ clock.Milli, r *call.Request) {
	if r.Workspace != "" {
		c.add(0, r.Workspace, 1)
	}
}

// recordNotRun takes back a request that the upstream did not begin.
func (c *usageCounter) recordNotRun(dispatchedAt clock.Milli, r *call.Request) {
	if r.Workspace != "" {
		c.add(c.clock.Now()-dispatchedAt, r.Workspace, -1)
	}
}

func (c *usageCounter) add(ago clock.Milli, workspace string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counter.Add(c.trueTimeLocked()-ago, workspace, n)
}

// counts returns the counts from a window on.
func (c *usageCounter) counts(first int64) *wire.UsageCounts {
	token := c.highestToken()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &wire.UsageCounts{
		Member: c.identity.GetMember(), Incarnation: c.identity.GetIncarnation(), Succeeds: c.identity.GetSucceeds(),
		Since: float64(c.since), Until: float64(c.trueTimeLocked()), Clock: float64(c.boot.Now()), Token: token,
	}
	for _, w := range c.counter.From(first) {
		m := &wire.UsageWindow{Window: w.Index}
		for workspace, n := range w.Counts {
			m.Workspaces = append(m.Workspaces, workspace)
			m.Counts = append(m.Counts, n)
		}
		out.Windows = append(out.Windows, m)
	}
	return out
}

// handleQuery answers the holder, or receives the last counts of a guard that stops.
func (c *usageCounter) handleQuery(_ context.Context, _ link.Peer, payload []byte) ([]byte, error) {
	var q wire.UsageQuery
	if err := proto.Unmarshal(payload, &q); err != nil {
		return nil, errors.Wrap(err, "decode usage query")
	}
	c.noteToken(q.GetToken())
	if q.GetHandover() != nil {
		c.collect(q.GetHandover())
		return nil, nil
	}
	if q.GetCorrects() {
		c.correct(clock.Milli(q.GetCorrection()))
	}
	c.mu.Lock()
	c.holder = q.GetMember()
	c.mu.Unlock()
	return proto.Marshal(c.counts(q.GetFirst()))
}

// handOver sends the last counts to the holder before a planned stop. The guard must have
// begun its last request.
func (c *usageCounter) handOver(ctx context.Context) {
	c.mu.Lock()
	holder := c.holder
	c.mu.Unlock()
	if holder == "" || holder == c.self {
		return
	}
	counts := c.counts(0)
	counts.Final = true
	payload, err := proto.Marshal(&wire.UsageQuery{Member: c.self, Handover: counts})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout.Duration())
	defer cancel()
	// Without it, the counts since the last query are missing.
	_, _ = c.pool.Control(ctx, holder, controlUsage, payload)
}
