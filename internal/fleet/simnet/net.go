// Package simnet runs many membership cores in one process in virtual time,
// with in-memory links that lose, delay and duplicate packets.
package simnet

import (
	"container/heap"
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// One-way latencies and the time after which an unanswered sync fails.
const (
	localLatency  clock.Milli = 0.3
	centreLatency clock.Milli = 1.5
	regionLatency clock.Milli = 20
	syncTimeout               = 2 * clock.Second
	// streamBytes is an upper bound of what one sync message costs beside its
	// facts: two TCP segments, yamux and protobuf framing, and the own fact.
	streamBytes  = 260
	datagramHead = 28
)

// Network is the simulated network. It is not safe for concurrent use.
type Network struct {
	Now      clock.Milli
	Nodes    []*Node
	LossRate float64
	// Duplicate and Delayed are the shares of packets that arrive twice or
	// late, out of order.
	DuplicateRate, DelayRate float64
	// Partitioned says whether two nodes cannot reach each other.
	Partitioned func(a, b *Node) bool

	rng   *rand.Rand
	byID  map[string]*Node
	queue schedule
	seq   uint64
	// spare holds used events, so that long runs allocate little.
	spare []*event
}

// New returns an empty network at a fixed time.
func New(seed uint64) *Network {
	return &Network{
		Now: 1.7e12, rng: rand.New(rand.NewPCG(seed, 7)), byID: map[string]*Node{},
		Partitioned: func(*Node, *Node) bool { return false },
	}
}

type event struct {
	at   clock.Milli
	seq  uint64
	node *Node
	// wake marks a timer; gen tells the process that an event was meant for.
	wake  bool
	gen   int
	ev    member.Event
	bytes int
	asker *Node
	fn    func()
}

type schedule []*event

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].seq < s[j].seq
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(*event)) }
func (s *schedule) Pop() any {
	old := *s
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	return e
}

func (n *Network) at(t clock.Milli, e event) {
	var p *event
	if k := len(n.spare); k > 0 {
		p, n.spare = n.spare[k-1], n.spare[:k-1]
	} else {
		p = &event{}
	}
	*p = e
	n.seq++
	p.at, p.seq = max(t, n.Now), n.seq
	heap.Push(&n.queue, p)
}

// After runs fn when d has passed.
func (n *Network) After(d clock.Milli, fn func()) { n.at(n.Now+d, event{fn: fn}) }

// Run lets d pass.
func (n *Network) Run(d clock.Milli) {
	end := n.Now + d
	for len(n.queue) > 0 && n.queue[0].at <= end {
		p := heap.Pop(&n.queue).(*event)
		e := *p
		*p = event{}
		n.spare = append(n.spare, p)
		n.Now = e.at
		n.deliver(e)
	}
	n.Now = end
}

// RunUntil runs until ok holds and returns the time that passed, or false after
// the limit.
func (n *Network) RunUntil(limit, step clock.Milli, ok func() bool) (clock.Milli, bool) {
	start := n.Now
	for n.Now-start <= limit {
		if ok() {
			return n.Now - start, true
		}
		n.Run(step)
	}
	return n.Now - start, false
}

func (n *Network) deliver(e event) {
	if e.fn != nil {
		e.fn()
		return
	}
	d := e.node
	if !d.Up || e.gen != d.gen {
		if a, ok := e.ev.(member.SyncRequestReceived); ok && e.asker != nil {
			n.fail(e.asker, d.ID, a.Request)
		}
		return
	}
	if n.Now < d.pausedUntil {
		n.at(d.pausedUntil, e)
		return
	}
	d.charge(e.bytes, false)
	if e.wake {
		if e.at != d.wakeAt {
			return
		}
		d.wakeAt = 0
		n.handle(d, member.Tick{}, nil)
		return
	}
	n.handle(d, e.ev, e.asker)
}

func (n *Network) handle(d *Node, ev member.Event, asker *Node) {
	for _, a := range d.Core.Handle(n.Now, ev) {
		switch a := a.(type) {
		case member.SendPacket:
			n.send(d, a)
		case member.SendSyncRequest:
			n.ask(d, a)
		case member.SendSyncReply:
			n.answer(d, asker, ev.(member.SyncRequestReceived), a.Reply)
		case member.FactChanged:
			d.Changes++
		case member.Joined:
			d.JoinedAt = n.Now
		}
	}
	if w := d.Core.NextTick(); d.wakeAt == 0 || w < d.wakeAt || d.wakeAt < n.Now {
		d.wakeAt = max(w, n.Now)
		n.at(d.wakeAt, event{node: d, gen: d.gen, wake: true})
	}
}

func (n *Network) latency(a, b *Node) clock.Milli {
	l := localLatency
	switch {
	case a.Region != b.Region:
		l = regionLatency
	case a.Centre != b.Centre:
		l = centreLatency
	}
	return l * clock.Milli(1+0.2*n.rng.Float64())
}

func (n *Network) send(from *Node, a member.SendPacket) {
	size := a.Packet.WireSize() + datagramHead
	from.charge(size, true)
	from.Packets++
	to, ok := n.byID[a.To]
	if !ok || n.Partitioned(from, to) || n.rng.Float64() < n.LossRate {
		return
	}
	e := event{node: to, gen: to.gen, ev: member.PacketReceived{From: from.ID, Packet: a.Packet}, bytes: size}
	delay := n.latency(from, to)
	if n.rng.Float64() < n.DelayRate {
		delay += clock.Milli(n.rng.Float64()) * 2 * clock.Second
	}
	n.at(n.Now+delay, e)
	if n.rng.Float64() < n.DuplicateRate {
		n.at(n.Now+delay+clock.Milli(n.rng.Float64())*clock.Second, e)
	}
}

func (n *Network) fail(asker *Node, peer string, req member.SyncRequest) {
	n.at(n.Now+syncTimeout, event{node: asker, gen: asker.gen, ev: member.SyncFailed{Peer: peer, Request: req}})
}

func (n *Network) ask(from *Node, a member.SendSyncRequest) {
	size := streamBytes + factsSize(a.Request.Facts) + 8*len(a.Request.Stamps)
	from.charge(size, true)
	from.SyncBytes += size
	to, ok := n.byID[a.Peer]
	if !ok || !to.Up || n.Partitioned(from, to) {
		n.fail(from, a.Peer, a.Request)
		return
	}
	n.at(n.Now+n.latency(from, to), event{
		node: to, gen: to.gen, asker: from, bytes: size,
		ev: member.SyncRequestReceived{From: from.ID, Request: a.Request},
	})
}

func (n *Network) answer(from, asker *Node, a member.SyncRequestReceived, r member.SyncReply) {
	size := streamBytes + factsSize(r.Facts) + 4*len(r.Buckets) + 4*len(r.Want) + 10
	from.charge(size, true)
	from.SyncBytes += size
	if n.Partitioned(from, asker) {
		n.fail(asker, from.ID, a.Request)
		return
	}
	n.at(n.Now+n.latency(from, asker), event{
		node: asker, gen: asker.gen, bytes: size,
		ev: member.SyncReplyReceived{Peer: from.ID, Request: a.Request, Reply: r},
	})
}

func factsSize(facts []member.Fact) int {
	size := 0
	for i := range facts {
		size += facts[i].WireSize()
	}
	return size
}

var _ member.SendLimiter = (*budget.Limiter)(nil)
