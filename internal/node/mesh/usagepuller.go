package mesh

import (
	"context"
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/usage"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	// usageQueryTimeout limits one query, usageRetryDelay is the time between queries to
	// guards whose counts are missing.
	usageQueryTimeout = 900 * clock.Millisecond
	usageRetryDelay   = clock.Second
	// earlyQuery is the part of a window after which guards are first asked, so that a guard
	// that ends loses less.
	earlyQuery = 0.6
	// maxLoggedGuards limits the guards that a log line names.
	maxLoggedGuards = 5
)

// usagePuller collects the counts of all guards at the holder.
type usagePuller struct {
	settings *UsageSettings
	pool     controller
	counter  *usageCounter
	// linkedIDs returns the daemons with an open link that have not stopped.
	linkedIDs func() []string
	// lastRound is when all guards were last asked, lastRetry when any were, both in true time.
	lastRound clock.Milli
	lastRetry clock.Milli

	mu        sync.Mutex
	collector *usage.Collector
	inFlight  map[string]bool
	// clocks has the difference of each daemon's clock to this one's, from quick answers.
	clocks map[string]clock.Milli
}

// begin makes the next step ask all guards.
func (p *usagePuller) begin() {
	p.lastRound, p.lastRetry = 0, 0
}

// reset drops all counts, and when members were linked.
func (p *usagePuller) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.collector = usage.NewCollector(p.settings.Timing.Length)
}

// step asks guards for the windows from first on if that is due.
func (p *usagePuller) step(ctx context.Context, now clock.Milli, first int64) {
	linked := p.linkedIDs()
	p.mu.Lock()
	p.collector.Linked(now, linked)
	p.collector.Expire(first)
	maps.DeleteFunc(p.clocks, func(m string, _ clock.Milli) bool { return !slices.Contains(linked, m) })
	p.mu.Unlock()
	if p.lastRound < p.roundAt(now) {
		p.lastRound, p.lastRetry = now, now
		p.ask(ctx, first, linked)
		return
	}
	last := int64(now/p.settings.Timing.Length) - 1
	if now-p.lastRetry < usageRetryDelay || now < p.settings.Timing.CollectAt(last)+usageRetryDelay/2 {
		return
	}
	p.lastRetry = now
	p.ask(ctx, first, slices.DeleteFunc(p.coverage(last).Members, func(m string) bool { return !slices.Contains(linked, m) }))
}

// roundAt returns when all guards were last due to be asked.
func (p *usagePuller) roundAt(now clock.Milli) clock.Milli {
	t := p.settings.Timing
	current := int64(now / t.Length)
	early := t.Start(current) + earlyQuery*t.Length
	switch {
	case now >= early:
		return early
	case now >= t.CollectAt(current-1):
		return t.CollectAt(current - 1)
	default:
		return early - t.Length
	}
}

// ask sends a query to each member without one in flight.
func (p *usagePuller) ask(ctx context.Context, first int64, members []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	median, ok := p.medianClock(len(members))
	if ok {
		p.counter.correct(median)
	}
	for _, m := range members {
		if m == p.counter.self {
			p.addLocked(p.counter.counts(first))
			continue
		}
		if p.inFlight[m] {
			continue
		}
		q := &wire.UsageQuery{Member: p.counter.self, Token: p.counter.highestToken(), First: first}
		if difference, known := p.clocks[m]; known && ok {
			q.Corrects, q.Correction = true, float64(median-difference)
		}
		if payload, err := proto.Marshal(q); err == nil {
			p.inFlight[m] = true
			go (&usageQuery{puller: p, member: m, payload: payload}).run(ctx)
		}
	}
}

// medianClock returns the difference of the median of the daemons' clocks to this one's, and
// whether most clocks of that many daemons are known. The caller holds the lock.
func (p *usagePuller) medianClock(members int) (clock.Milli, bool) {
	differences := make([]clock.Milli, 1, 1+len(p.clocks))
	for _, d := range p.clocks {
		differences = append(differences, d)
	}
	slices.Sort(differences)
	return differences[len(differences)/2], 2*len(differences) > members
}

// collect records the counts of a guard.
func (p *usagePuller) collect(c *wire.UsageCounts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addLocked(c)
}

func (p *usagePuller) addLocked(c *wire.UsageCounts) {
	a := usage.Answer{
		Member: c.GetMember(), Incarnation: c.GetIncarnation(), Since: clock.Milli(c.GetSince()), Until: clock.Milli(c.GetUntil()),
		Succeeds: c.GetSucceeds(), Final: c.GetFinal(),
	}
	for _, w := range c.GetWindows() {
		counts := make(usage.Counts, len(w.GetWorkspaces()))
		for i, workspace := range w.GetWorkspaces()[:min(len(w.GetWorkspaces()), len(w.GetCounts()))] {
			counts[workspace] = w.GetCounts()[i]
		}
		a.Windows = append(a.Windows, usage.Window{Index: w.GetWindow(), Counts: counts})
	}
	p.collector.Add(a)
}

func (p *usagePuller) coverage(window int64) usage.Coverage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.collector.Coverage(window)
}

func (p *usagePuller) total(window int64) usage.Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.collector.Total(window)
}

// usageQuery asks one guard for its counts.
type usageQuery struct {
	puller  *usagePuller
	member  string
	payload []byte
}

func (q *usageQuery) run(ctx context.Context) {
	p := q.puller
	ctx, cancel := context.WithTimeout(ctx, usageQueryTimeout.Duration())
	defer cancel()
	sentAt := p.counter.boot.Now()
	reply, err := p.pool.Control(ctx, q.member, controlUsage, q.payload)
	receivedAt := p.counter.boot.Now()
	var c wire.UsageCounts
	if err == nil {
		err = proto.Unmarshal(reply, &c)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, q.member)
	if err != nil {
		return
	}
	if receivedAt-sentAt < maxClockError {
		p.clocks[q.member] = clock.Milli(c.GetClock()) - (sentAt+receivedAt)/2
	}
	p.counter.noteToken(c.GetToken())
	p.addLocked(&c)
}
