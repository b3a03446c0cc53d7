package simnet

import (
	"fmt"
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// window is the number of one-second bins over which the budget is checked.
const window = 10

// Node is one simulated daemon.
type Node struct {
	ID, Centre, Region       string
	Up                       bool
	Core                     *member.Core
	Packets, Changes         int
	SentBytes, ReceivedBytes int
	SyncBytes                int
	JoinedAt                 clock.Milli
	// MaxWindow is the most bytes sent and received in any 10 s, and
	// MaxSteady the same without the node's first 90 s, in which it fetches
	// the table.
	MaxWindowBytes, MaxSteadyWindowBytes int

	net         *Network
	limiter     *budget.Limiter
	started     clock.Milli
	gen         int
	pausedUntil clock.Milli
	wakeAt      clock.Milli
	bins        [window]int
	bin         int64
}

// Add creates a node that is not started. Nodes are numbered from 0.
func (n *Network) Add(centre, region string) *Node {
	i := len(n.Nodes)
	d := &Node{
		ID:     fmt.Sprintf("10.%d.%d.%d:7400", i>>16, i>>8&255, i&255),
		Centre: centre, Region: region, net: n,
	}
	n.Nodes = append(n.Nodes, d)
	n.byID[d.ID] = d
	return d
}

// AddFleet adds members evenly to regions of three data centres each.
func (n *Network) AddFleet(members, regions int) {
	for i := range members {
		c := i % (3 * regions)
		n.Add(fmt.Sprintf("dc%02d", c), fmt.Sprintf("region%d", c/3))
	}
}

// Start starts or restarts a node. Without seeds it is the first of its fleet.
func (d *Node) Start(seeds ...string) {
	n := d.net
	d.gen++
	d.Up, d.wakeAt, d.pausedUntil, d.JoinedAt = true, 0, 0, 0
	d.started = n.Now
	d.limiter = budget.NewLimiter(n.Now)
	i := len(d.ID)
	d.Core = member.New(member.Fact{
		ID: d.ID, Incarnation: uint64(n.Now), Service: fmt.Sprintf("service-%03d", (int(d.ID[i-6])*7+i)%220),
		Version: "v1.20.3", Centre: d.Centre, Region: d.Region, Slots: 6, Connections: 240,
	}, member.WithRand(rand.New(rand.NewPCG(n.rng.Uint64(), 3))), member.WithSendLimiter(d.limiter))
	n.handle(d, member.Start{Seeds: seeds}, nil)
}

// Crash stops the node without a word.
func (d *Node) Crash() { d.Up = false }

// Pause stops the node for a while; what arrives waits.
func (d *Node) Pause(span clock.Milli) {
	d.pausedUntil = d.net.Now + span
	n, gen := d.net, d.gen
	n.at(d.pausedUntil, event{fn: func() {
		if d.Up && d.gen == gen {
			n.handle(d, member.ProcessPaused{Duration: span}, nil)
		}
	}})
}

// Handle gives the node an event of its own process.
func (d *Node) Handle(ev member.Event) { d.net.handle(d, ev, nil) }

// StartLeaving announces that the node takes no new work.
func (d *Node) StartLeaving() { d.Handle(member.StartLeaving{}) }

// ResetCounters forgets what was counted so far.
func (d *Node) ResetCounters() {
	d.SentBytes, d.ReceivedBytes, d.Packets, d.SyncBytes, d.MaxWindowBytes, d.MaxSteadyWindowBytes, d.Changes = 0, 0, 0, 0, 0, 0, 0
	d.bins = [window]int{}
}

func (d *Node) charge(bytes int, sent bool) {
	if bytes == 0 {
		return
	}
	if sent {
		d.SentBytes += bytes
	} else {
		d.ReceivedBytes += bytes
	}
	now := d.net.Now
	d.limiter.Charge(now, bytes, 0)
	bin := int64(now / clock.Second)
	for ; d.bin < bin; d.bin++ {
		if bin-d.bin > window {
			d.bin = bin - window
		}
		d.bins[(d.bin+1)%window] = 0
	}
	d.bins[bin%window] += bytes
	total := 0
	for _, b := range d.bins {
		total += b
	}
	d.MaxWindowBytes = max(d.MaxWindowBytes, total)
	if now-d.started > 90*clock.Second {
		d.MaxSteadyWindowBytes = max(d.MaxSteadyWindowBytes, total)
	}
}

// StartConverged starts all nodes with full tables, as after a long quiet time.
func (n *Network) StartConverged() {
	facts := make([]member.Fact, 0, len(n.Nodes))
	for _, d := range n.Nodes {
		d.Start()
		facts = append(facts, d.Core.Self())
	}
	for _, d := range n.Nodes {
		d.Core.Load(n.Now, facts)
	}
}

// RunningNodes returns the nodes that run.
func (n *Network) RunningNodes() []*Node {
	var out []*Node
	for _, d := range n.Nodes {
		if d.Up {
			out = append(out, d)
		}
	}
	return out
}

// AllSatisfy reports whether all running nodes except skip satisfy ok.
func (n *Network) AllSatisfy(skip *Node, ok func(d *Node) bool) bool {
	for _, d := range n.Nodes {
		if d.Up && d != skip && !ok(d) {
			return false
		}
	}
	return true
}

// HasFact reports whether d holds a fact about a member that satisfies ok.
func (d *Node) HasFact(id string, ok func(member.Fact) bool) bool {
	f, found := d.Core.Lookup(id)
	return found && ok(f)
}
