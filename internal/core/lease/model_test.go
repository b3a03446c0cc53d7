package lease_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/lease"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/usage"
)

const (
	modelLease = 3 * clock.Second
	modelTick  = 50 * clock.Millisecond
	modelSeeds = 40
	modelStart = 1_000_000 * clock.Second
)

var modelTiming = usage.Timing{Length: 5 * clock.Second, Due: 10 * clock.Second, Tolerance: 0.05}

// modelStore is the log of the store.
type modelStore struct {
	era   int64
	items []feed.Item
	copy  int
}

func (s *modelStore) end() feed.Position { return feed.NewPosition(s.era, int64(len(s.items))) }

// do executes a call and returns its result.
func (s *modelStore) do(step lease.Step) (b feed.Batch, err error) {
	switch {
	case step.Action == lease.ActionLoad:
		return feed.Batch{Items: slices.Clone(s.items), End: s.end()}, nil
	case step.Action == lease.ActionAppend && step.At.Offset() != int64(len(s.items)):
		return b, feed.ErrPositionMismatch
	case step.Action == lease.ActionAppend:
		s.items = append(s.items, step.Item)
	case step.At.Era() < s.era:
		return b, feed.ErrRestored
	default:
		b.Items = slices.Clone(s.items[step.At.Offset():])
	}
	b.End = s.end()
	return b, nil
}

// modelCall is a call in progress. A late one is executed although its caller gave up.
type modelCall struct {
	step                  lease.Step
	startedAt, runAt, end clock.Milli
	lost, done            bool
	batch                 feed.Batch
	err                   error
}

type modelNode struct {
	id, starts int
	core       *lease.Core
	skew       clock.Milli
	pausedTill clock.Milli
	// stopsUntil is the end of a planned stop.
	stopsUntil clock.Milli
	call       *modelCall
	delayed    []*modelCall
}

// modelReport is a report on its way to the platform.
type modelReport struct {
	holder  int
	token   int64
	window  int64
	count   int64
	arrives clock.Milli
}

// model runs several daemons with one log and checks what the platform gets.
type model struct {
	g       *WithT
	rand    *rand.Rand
	lease   lease.Timing
	now     clock.Milli
	store   modelStore
	nodes   []*modelNode
	flying  []modelReport
	counts  map[int64]int64
	holders map[int64]int
	latest  int64
	history []modelReport
	tenures map[int64]bool
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{
		g: NewWithT(t), rand: rand.New(rand.NewPCG(seed, 7)), now: modelStart,
		counts: map[int64]int64{}, holders: map[int64]int{}, tenures: map[int64]bool{},
	}
	m.lease = lease.Timing{Lease: modelLease, Renew: modelLease / 2, Takeover: modelLease}
	if seed%2 == 1 {
		m.lease.Renew, m.lease.Takeover = modelTiming.Length, modelTiming.Length+modelLease/2
	}
	for i := range 3 {
		m.nodes = append(m.nodes, &modelNode{id: i, skew: clock.Milli(m.rand.IntN(40))})
		m.restart(m.nodes[i])
	}
	return m
}

func (m *model) restart(n *modelNode) {
	if n.call != nil {
		n.delayed = append(n.delayed, n.call)
	}
	n.starts++
	n.call, n.core = nil, lease.New(fmt.Sprint(n.id, "#", n.starts), m.lease)
}

func (m *model) chance(perSecond float64) bool {
	return m.rand.Float64() < perSecond*float64(modelTick/clock.Second)
}

func (m *model) step() {
	m.now += modelTick
	if m.chance(0.05) {
		m.store.copy = len(m.store.items)
	}
	if m.chance(0.03) && m.store.copy <= len(m.store.items) {
		m.store.items, m.store.era = m.store.items[:m.store.copy:m.store.copy], m.store.era+1
	}
	for _, n := range m.nodes {
		if m.chance(0.03) {
			n.pausedTill = m.now + clock.Milli(m.rand.IntN(20_000))
		}
		if m.chance(0.05) {
			n.stopsUntil = m.now + clock.Milli(m.rand.IntN(4000))
		}
		if m.chance(0.01) {
			m.restart(n)
		}
		m.runCalls(n)
		if m.now >= n.pausedTill {
			m.runNode(n)
		}
	}
	m.flying = slices.DeleteFunc(m.flying, func(r modelReport) bool {
		if r.arrives <= m.now {
			m.receive(r)
		}
		return r.arrives <= m.now
	})
}

// runCalls lets the store execute the calls of a node.
func (m *model) runCalls(n *modelNode) {
	for _, c := range append(slices.Clone(n.delayed), n.call) {
		if c != nil && !c.done && m.now >= c.runAt {
			c.done = true
			c.batch, c.err = m.store.do(c.step)
		}
	}
	n.delayed = slices.DeleteFunc(n.delayed, func(c *modelCall) bool { return c.done })
}

func (m *model) runNode(n *modelNode) {
	if c := n.call; c != nil {
		if m.now < c.end {
			return
		}
		n.call = nil
		m.finish(n, c)
	}
	m.work(n)
	s := lease.Situation{Rank: n.id, Stopping: m.now < n.stopsUntil, TrueTime: m.now + n.skew}
	if step := n.core.Next(m.now, s); step.Action != lease.ActionNone {
		c := &modelCall{step: step, startedAt: m.now, runAt: m.now + clock.Milli(m.rand.IntN(300)) + step.Wait, lost: m.rand.Float64() < 0.15}
		c.end = c.runAt + clock.Milli(m.rand.IntN(200))
		if c.lost {
			c.runAt += clock.Milli(m.rand.IntN(4000))
			c.end = m.now + clock.Second
		}
		n.call = c
	}
}

func (m *model) finish(n *modelNode, c *modelCall) {
	switch {
	case c.lost:
		n.delayed = append(n.delayed, c)
		n.core.Failed(m.now, feed.ErrOutcomeUnknown)
	case c.err != nil:
		n.core.Failed(m.now, c.err)
	case c.step.Action == lease.ActionLoad:
		n.core.Loaded(c.startedAt, m.now, c.batch)
	case c.step.Action == lease.ActionRead:
		n.core.Read(c.startedAt, m.now, c.batch)
	default:
		n.core.Appended(c.startedAt, m.now, c.batch.End)
	}
}

// work settles and sends like the reporter of usage, but each holder counts differently.
func (m *model) work(n *modelNode) {
	if !n.core.Held() {
		return
	}
	m.tenures[n.core.Record().Token] = true
	now := m.now + n.skew
	for w := modelTiming.First(now); modelTiming.Start(w+1) <= now; w++ {
		key, count := fmt.Sprint("w", w%16), [2]int64{}
		settled := json.Unmarshal(n.core.Entry(key), &count) == nil && count[0] == w
		state := usage.State{Settled: settled, Complete: n.core.Record().Since, Coverage: usage.Coverage{Guards: 1}}
		switch verdict, _ := modelTiming.Decide(now, w, state); {
		case verdict == usage.VerdictSettle && !n.core.Proposing():
			body, _ := json.Marshal([2]int64{w, m.rand.Int64N(1 << 40)})
			n.core.Propose(key, body)
		case verdict == usage.VerdictSend:
			m.send(n, w, count[1])
		}
	}
}

func (m *model) send(n *modelNode, window, count int64) {
	p, ok := n.core.Permit(m.now)
	if !ok {
		n.core.RequestPermit(m.now)
		return
	}
	arrives := m.now + clock.Milli(m.rand.Float64())*(p.Until-m.now)
	m.flying = append(m.flying, modelReport{holder: n.id, token: p.Token, window: window, count: count, arrives: arrives})
}

// receive checks a report at the platform.
func (m *model) receive(r modelReport) {
	if count, ok := m.counts[r.window]; ok {
		m.g.Expect(r.count).To(Equal(count), "two reports for window %d", r.window)
	}
	if holder, ok := m.holders[r.token]; ok {
		m.g.Expect(r.holder).To(Equal(holder), "token %d of two holders", r.token)
	}
	m.g.Expect(r.token).To(BeNumerically(">=", m.latest), "a lower token after a higher one")
	m.counts[r.window], m.holders[r.token], m.latest = r.count, r.holder, r.token
	m.history = append(m.history, r)
	m.checkAlternation(r)
}

// checkAlternation checks that holders don't act in the order A, B, A within the lease time.
func (m *model) checkAlternation(r modelReport) {
	other := false
	for i := len(m.history) - 1; i >= 0 && m.history[i].arrives > r.arrives-modelLease; i-- {
		other = other || m.history[i].holder != r.holder
		m.g.Expect(other && m.history[i].holder == r.holder).To(BeFalse(), "holders A, B, A within the lease time")
	}
}

// Guards against two different reports for one window, a lower token after a higher one and
// two holders with one token, under pauses, restarts, lost and late answers of the store, and a
// store that is restored from a copy.
func TestModel(t *testing.T) {
	reports, tenures := 0, 0
	for seed := range uint64(modelSeeds) {
		m := newModel(t, seed)
		for m.now < modelStart+2*clock.Minute && !t.Failed() {
			m.step()
		}
		reports, tenures = reports+len(m.counts), tenures+len(m.tenures)
	}
	t.Logf("%d windows reported, %d tenures", reports, tenures)
	NewWithT(t).Expect(reports).To(BeNumerically(">", modelSeeds*8))
	NewWithT(t).Expect(tenures).To(BeNumerically(">", modelSeeds*2))
}
