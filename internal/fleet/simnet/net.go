// Package simnet runs many membership cores in one process in virtual time, on
// a network that loses, delays and duplicates packets.
package simnet

import (
	"container/heap"
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// One-way latencies inside a data centre, between data centres of a region and
// between regions, the timeout of a sync request, and message overheads.
const (
	localLatency  clock.Milli = 0.3
	centreLatency clock.Milli = 1.5
	regionLatency clock.Milli = 20
	syncTimeout               = 2 * clock.Second
	// syncMessageBytes is an upper bound of the size of a sync message without
	// its facts: two TCP segments, yamux and protobuf framing, and the fact
	// about the sender.
	syncMessageBytes    = 260
	datagramHeaderBytes = 28 // IPv4 and UDP headers
)

// Network is a simulated network of nodes with its own clock. It is not safe
// for concurrent use.
type Network struct {
	// Now is the virtual time.
	Now   clock.Milli
	Nodes []*Node
	// LossRate is the fraction of packets that are lost.
	LossRate float64
	// DuplicateRate and DelayRate are the fractions of packets that arrive
	// twice, or up to 2 s late and thus out of order.
	DuplicateRate, DelayRate float64
	// Partitioned reports whether two nodes cannot reach each other.
	Partitioned func(a, b *Node) bool

	rng   *rand.Rand
	byID  map[string]*Node
	queue eventQueue
	seq   uint64
	// freeEvents holds processed events for reuse, to reduce allocations.
	freeEvents []*event
}

// New returns a network without nodes. Its clock starts at a fixed time, and
// runs with the same seed are identical.
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
	// isTimer marks a tick. generation is that of the process the event is for;
	// a restarted node ignores older events.
	isTimer    bool
	generation int
	input      member.Event
	bytes      int
	// requester is the node that sent the sync request.
	requester *Node
	callback  func()
}

// eventQueue is a heap of events ordered by time and then by insertion.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return e
}

func (n *Network) schedule(t clock.Milli, e event) {
	var p *event
	if k := len(n.freeEvents); k > 0 {
		p, n.freeEvents = n.freeEvents[k-1], n.freeEvents[:k-1]
	} else {
		p = &event{}
	}
	*p = e
	n.seq++
	p.at, p.seq = max(t, n.Now), n.seq
	heap.Push(&n.queue, p)
}

// After schedules fn to run once d has passed in virtual time.
func (n *Network) After(d clock.Milli, fn func()) { n.schedule(n.Now+d, event{callback: fn}) }

// Run advances the virtual time by d and processes the events that are due.
func (n *Network) Run(d clock.Milli) {
	end := n.Now + d
	for len(n.queue) > 0 && n.queue[0].at <= end {
		p := heap.Pop(&n.queue).(*event)
		e := *p
		*p = event{}
		n.freeEvents = append(n.freeEvents, p)
		n.Now = e.at
		n.deliver(e)
	}
	n.Now = end
}

// RunUntil runs the network until cond returns true, which it checks after every
// step. It returns the virtual time that passed, and false if the limit was
// exceeded.
func (n *Network) RunUntil(limit, step clock.Milli, cond func() bool) (clock.Milli, bool) {
	start := n.Now
	for n.Now-start <= limit {
		if cond() {
			return n.Now - start, true
		}
		n.Run(step)
	}
	return n.Now - start, false
}

// deliver passes an event to its node, unless the node is down or was restarted
// after the event was sent. Events for a paused node are delayed.
func (n *Network) deliver(e event) {
	if e.callback != nil {
		e.callback()
		return
	}
	node := e.node
	if !node.Up || e.generation != node.generation {
		if a, ok := e.input.(member.SyncRequestReceived); ok && e.requester != nil {
			n.scheduleSyncFailure(e.requester, node.ID, a.Request)
		}
		return
	}
	if n.Now < node.pausedUntil {
		n.schedule(node.pausedUntil, e)
		return
	}
	node.countBytes(e.bytes, false)
	if e.isTimer {
		if e.at != node.timerAt {
			return
		}
		node.timerAt = 0
		n.handle(node, member.Tick{}, nil)
		return
	}
	n.handle(node, e.input, e.requester)
}

func (n *Network) handle(node *Node, ev member.Event, requester *Node) {
	for _, a := range node.Core.Handle(n.Now, ev) {
		switch a := a.(type) {
		case member.SendPacket:
			n.sendPacket(node, a)
		case member.SendSyncRequest:
			n.sendSyncRequest(node, a)
		case member.SendSyncReply:
			n.sendSyncReply(node, requester, ev.(member.SyncRequestReceived), a.Reply)
		case member.FactChanged:
			node.Changes++
		case member.Joined:
			node.JoinedAt = n.Now
		}
	}
	if next := node.Core.NextTick(); node.timerAt == 0 || next < node.timerAt || node.timerAt < n.Now {
		node.timerAt = max(next, n.Now)
		n.schedule(node.timerAt, event{node: node, generation: node.generation, isTimer: true})
	}
}

// latency returns a random one-way latency between two nodes.
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

func (n *Network) sendPacket(from *Node, a member.SendPacket) {
	size := a.Packet.WireSize() + datagramHeaderBytes
	from.countBytes(size, true)
	from.Packets++
	to, ok := n.byID[a.To]
	if !ok || n.Partitioned(from, to) || n.rng.Float64() < n.LossRate {
		return
	}
	e := event{node: to, generation: to.generation, input: member.PacketReceived{From: from.ID, Packet: a.Packet}, bytes: size}
	delay := n.latency(from, to)
	if n.rng.Float64() < n.DelayRate {
		delay += clock.Milli(n.rng.Float64()) * 2 * clock.Second
	}
	n.schedule(n.Now+delay, e)
	if n.rng.Float64() < n.DuplicateRate {
		n.schedule(n.Now+delay+clock.Milli(n.rng.Float64())*clock.Second, e)
	}
}

func (n *Network) scheduleSyncFailure(requester *Node, peer string, req member.SyncRequest) {
	n.schedule(n.Now+syncTimeout, event{node: requester, generation: requester.generation, input: member.SyncFailed{Peer: peer, Request: req}})
}

func (n *Network) sendSyncRequest(from *Node, a member.SendSyncRequest) {
	size := syncMessageBytes + factsWireSize(a.Request.Facts) + 8*len(a.Request.Stamps)
	from.countBytes(size, true)
	from.SyncBytes += size
	to, ok := n.byID[a.Peer]
	if !ok || !to.Up || n.Partitioned(from, to) {
		n.scheduleSyncFailure(from, a.Peer, a.Request)
		return
	}
	n.schedule(n.Now+n.latency(from, to), event{
		node: to, generation: to.generation, requester: from, bytes: size,
		input: member.SyncRequestReceived{From: from.ID, Request: a.Request},
	})
}

func (n *Network) sendSyncReply(from, requester *Node, received member.SyncRequestReceived, r member.SyncReply) {
	size := syncMessageBytes + factsWireSize(r.Facts) + 4*len(r.BucketHashes) + 4*len(r.WantedKeys) + 10
	from.countBytes(size, true)
	from.SyncBytes += size
	if n.Partitioned(from, requester) {
		n.scheduleSyncFailure(requester, from.ID, received.Request)
		return
	}
	n.schedule(n.Now+n.latency(from, requester), event{
		node: requester, generation: requester.generation, bytes: size,
		input: member.SyncReplyReceived{Peer: from.ID, Request: received.Request, Reply: r},
	})
}

func factsWireSize(facts []member.Fact) int {
	size := 0
	for i := range facts {
		size += facts[i].WireSize()
	}
	return size
}

var _ member.SendLimiter = (*budget.Limiter)(nil)
