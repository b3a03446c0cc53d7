package simnet

import (
	"fmt"
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// windowBins is the number of one-second bins over which sent and received
// bytes are summed.
const windowBins = 10

// Node is one simulated daemon. Its counters accumulate until ResetCounters.
type Node struct {
	ID, Centre, Region string
	// Up is true for a running process, also while it is paused.
	Up   bool
	Core *member.Core
	// Packets counts sent datagrams, Changes the facts that changed in the table.
	Packets, Changes         int
	SentBytes, ReceivedBytes int
	// SyncBytes is the part of SentBytes that sync messages account for.
	SyncBytes int
	// JoinedAt is when the whole table was fetched, or 0 before that.
	JoinedAt clock.Milli
	// MaxWindowBytes is the largest sum of bytes sent and received in any 10 s.
	// MaxSteadyWindowBytes excludes the node's first 90 s, in which it fetches
	// the table.
	MaxWindowBytes, MaxSteadyWindowBytes int

	network     *Network
	limiter     *budget.Limiter
	startedAt   clock.Milli
	generation  int
	pausedUntil clock.Milli
	// timerAt is the time of the scheduled tick, or 0 if there is none.
	timerAt  clock.Milli
	byteBins [windowBins]int
	// lastBin is the number of the newest bin, in seconds since the epoch.
	lastBin int64
}

// Add adds a node that is not started. The addresses of nodes are derived from
// their index.
func (n *Network) Add(centre, region string) *Node {
	i := len(n.Nodes)
	node := &Node{
		ID:     fmt.Sprintf("10.%d.%d.%d:7400", i>>16, i>>8&255, i&255),
		Centre: centre, Region: region, network: n,
	}
	n.Nodes = append(n.Nodes, node)
	n.byID[node.ID] = node
	return node
}

// AddFleet adds nodes that are not started, distributed evenly over regions of
// three data centres each.
func (n *Network) AddFleet(members, regions int) {
	for i := range members {
		c := i % (3 * regions)
		n.Add(fmt.Sprintf("dc%02d", c), fmt.Sprintf("region%d", c/3))
	}
}

// Start starts or restarts a node as a new incarnation. Without seeds, the node
// is the first of its fleet.
func (node *Node) Start(seeds ...string) {
	n := node.network
	node.generation++
	node.Up, node.timerAt, node.pausedUntil, node.JoinedAt = true, 0, 0, 0
	node.startedAt = n.Now
	node.limiter = budget.NewLimiter(n.Now)
	i := len(node.ID)
	node.Core = member.New(member.Fact{
		ID: node.ID, Incarnation: uint64(n.Now), Service: fmt.Sprintf("service-%03d", (int(node.ID[i-6])*7+i)%220),
		Version: "v1.20.3", Centre: node.Centre, Region: node.Region, Slots: 6, Connections: 240,
	}, member.WithRand(rand.New(rand.NewPCG(n.rng.Uint64(), 3))), member.WithSendLimiter(node.limiter))
	n.handle(node, member.Start{Seeds: seeds}, nil)
}

// Crash stops the node without announcing it.
func (node *Node) Crash() { node.Up = false }

// Pause suspends the node for a while. Events that arrive meanwhile are
// delivered at the end of the pause.
func (node *Node) Pause(duration clock.Milli) {
	node.pausedUntil = node.network.Now + duration
	n, generation := node.network, node.generation
	n.schedule(node.pausedUntil, event{callback: func() {
		if node.Up && node.generation == generation {
			n.handle(node, member.ProcessPaused{Duration: duration}, nil)
		}
	}})
}

// Handle passes an event to the core of the node and performs the resulting
// actions.
func (node *Node) Handle(ev member.Event) { node.network.handle(node, ev, nil) }

// StartLeaving announces that the node accepts no new work.
func (node *Node) StartLeaving() { node.Handle(member.StartLeaving{}) }

// ResetCounters sets all counters of the node to zero.
func (node *Node) ResetCounters() {
	node.SentBytes, node.ReceivedBytes, node.Packets, node.SyncBytes, node.MaxWindowBytes, node.MaxSteadyWindowBytes, node.Changes = 0, 0, 0, 0, 0, 0, 0
	node.byteBins = [windowBins]int{}
}

// countBytes counts sent or received bytes and charges the send limiter.
func (node *Node) countBytes(bytes int, sent bool) {
	if bytes == 0 {
		return
	}
	if sent {
		node.SentBytes += bytes
	} else {
		node.ReceivedBytes += bytes
	}
	now := node.network.Now
	node.limiter.Charge(now, bytes, 0)
	bin := int64(now / clock.Second)
	for ; node.lastBin < bin; node.lastBin++ {
		if bin-node.lastBin > windowBins {
			node.lastBin = bin - windowBins
		}
		node.byteBins[(node.lastBin+1)%windowBins] = 0
	}
	node.byteBins[bin%windowBins] += bytes
	total := 0
	for _, b := range node.byteBins {
		total += b
	}
	node.MaxWindowBytes = max(node.MaxWindowBytes, total)
	if now-node.startedAt > 90*clock.Second {
		node.MaxSteadyWindowBytes = max(node.MaxSteadyWindowBytes, total)
	}
}

// StartConverged starts all nodes with full tables, as in a fleet that has been
// running for a long time.
func (n *Network) StartConverged() {
	facts := make([]member.Fact, 0, len(n.Nodes))
	for _, node := range n.Nodes {
		node.Start()
		facts = append(facts, node.Core.Self())
	}
	for _, node := range n.Nodes {
		node.Core.LoadFacts(n.Now, facts)
	}
}

// RunningNodes returns the nodes that have been started and have not crashed.
func (n *Network) RunningNodes() []*Node {
	var out []*Node
	for _, node := range n.Nodes {
		if node.Up {
			out = append(out, node)
		}
	}
	return out
}

// AllSatisfy reports whether cond returns true for all running nodes except skip,
// which may be nil.
func (n *Network) AllSatisfy(skip *Node, cond func(node *Node) bool) bool {
	for _, node := range n.Nodes {
		if node.Up && node != skip && !cond(node) {
			return false
		}
	}
	return true
}

// HasFact reports whether the table of the node has a fact about a member for
// which cond returns true.
func (node *Node) HasFact(id string, cond func(member.Fact) bool) bool {
	f, found := node.Core.Lookup(id)
	return found && cond(f)
}
