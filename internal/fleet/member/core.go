package member

import (
	"cmp"
	"math"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// memberEntry is one row of the membership table.
type memberEntry struct {
	fact Fact
	key  uint32
	// expiresAt is the time at which a suspect is declared dead or a tombstone
	// is removed. It has no meaning for an alive member.
	expiresAt clock.Milli
}

// Core is the membership state machine of one daemon. Its input is events and
// its output is actions. It is not safe for concurrent use.
type Core struct {
	opts    Options
	self    Fact
	started bool
	members map[string]*memberEntry
	// buckets holds the entries of members by hash bucket, tombstones included.
	buckets [bucketCount][]*memberEntry
	// localMembers holds the live members of this data centre, including this
	// one, sorted by key. The order is the same on every member, so it serves
	// as the ring for probing.
	localMembers  []*memberEntry
	suspects      map[string]*memberEntry
	digest        digest
	queue         queue
	latestUpdates map[string]TopicUpdate
	probes        map[uint32]*probe
	nonce         uint32
	// localHealthScore is 0 while this process runs normally. It rises with signs
	// that the process is short of CPU time; timeouts are multiplied by 1 + score.
	localHealthScore int
	relays           relays
	recentUpdates    []recentUpdate
	joining          joinState
	// regionByCentre, lastContact and unreachable are keyed by data centre.
	regionByCentre map[string]string
	lastContact    map[string]clock.Milli
	unreachable    map[string]bool

	nextProbe, nextGossip, nextSync, nextTombstoneSweep clock.Milli
	// syncInterval is the current mean time between anti-entropy runs. It grows
	// from initialSyncInterval to Options.SyncInterval after the start.
	syncInterval clock.Milli
	actions      []Action
	// plannedBytes is the size of what the current Handle call has scheduled
	// for sending; SendLimiter has not been charged for it yet.
	plannedBytes int
}

// New returns a core whose table contains only this member. It sends nothing
// before a Start event.
func New(self Fact, opts ...Option) *Core {
	o := defaultOptions()
	for _, f := range opts {
		f(&o)
	}
	self.Status = Alive
	c := &Core{
		opts: o, self: self,
		members:        map[string]*memberEntry{},
		suspects:       map[string]*memberEntry{},
		latestUpdates:  map[string]TopicUpdate{},
		probes:         map[uint32]*probe{},
		regionByCentre: map[string]string{},
		lastContact:    map[string]clock.Milli{},
		unreachable:    map[string]bool{},
	}
	c.nonce = o.Rand.Uint32()
	c.queue.init()
	c.store(self, 0)
	return c
}

// Self returns the latest fact that this member announced about itself.
func (c *Core) Self() Fact { return c.self }

// Members returns the live members (alive or suspect), including this one,
// sorted by ID.
func (c *Core) Members() []Fact {
	out := make([]Fact, 0, c.digest.count)
	for _, e := range c.members {
		if !e.fact.Status.DeadOrLeft() {
			out = append(out, e.fact)
		}
	}
	slices.SortFunc(out, func(a, b Fact) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Lookup returns the latest fact about a member, including a dead or departed
// one whose tombstone has not expired.
func (c *Core) Lookup(id string) (Fact, bool) {
	e, ok := c.members[id]
	if !ok {
		return Fact{}, false
	}
	return e.fact, true
}

// LiveCount returns the number of live members (alive or suspect), including
// this one.
func (c *Core) LiveCount() int { return c.digest.count }

// RootHash returns the hash over all live members. Equal tables have equal
// hashes.
func (c *Core) RootHash() uint64 { return c.digest.root }

// NextTick returns the time at which the next Tick is due, or +Inf before
// Start.
func (c *Core) NextTick() clock.Milli {
	if !c.started {
		return clock.Milli(math.Inf(1))
	}
	next := min(c.nextProbe, c.nextSync, c.nextTombstoneSweep, c.joining.nextDue())
	if !c.gossipIdle() {
		next = min(next, c.nextGossip)
	}
	for _, p := range c.probes {
		next = min(next, p.deadline)
	}
	for _, e := range c.suspects {
		next = min(next, e.expiresAt)
	}
	return next
}

// Handle processes one event and returns the resulting actions. The slice is
// valid until the next call.
func (c *Core) Handle(now clock.Milli, ev Event) []Action {
	c.actions, c.plannedBytes = c.actions[:0], 0
	switch e := ev.(type) {
	case Start:
		c.start(now, e.Seeds)
	case SyncWith:
		c.syncWith(e.Peers)
	case PacketReceived:
		c.handlePacket(now, e)
	case SyncRequestReceived:
		c.handleSyncRequest(now, e)
	case SyncReplyReceived:
		c.handleSyncReply(now, e)
	case SyncFailed:
		c.handleSyncFailure(now, e)
	case ProcessPaused:
		c.handlePause(now, e.Duration)
	case StartLeaving:
		c.announce(now, Alive, true)
	case FinishLeaving:
		c.announce(now, Left, true)
	case Publish:
		e.Update.Centre = c.self.Centre
		c.applyTopicUpdate(now, e.Update)
	case UpdateSelf:
		c.self.Version, c.self.Slots, c.self.Connections = e.Version, e.Slots, e.Connections
		c.announce(now, Alive, c.self.Leaving)
	}
	if c.started {
		c.tick(now)
	}
	return c.actions
}

// initialSyncInterval is short, so that members that start together quickly
// exchange the facts each of them missed. Members with equal tables exchange
// only the root hash.
const initialSyncInterval = 3 * clock.Second

func (c *Core) start(now clock.Milli, seeds []string) {
	c.started = true
	// Random phases spread the work of a fleet whose members start at the same
	// time.
	c.nextProbe = now + clock.Milli(c.opts.Rand.Float64())*c.opts.ProbeInterval
	c.syncInterval = min(initialSyncInterval, c.opts.SyncInterval)
	c.nextSync = now + clock.Milli(0.5+c.opts.Rand.Float64())*c.syncInterval
	c.nextTombstoneSweep = now + clock.Minute
	c.startJoin(now, seeds)
}

func (c *Core) tick(now clock.Milli) {
	c.expireProbes(now)
	c.expireSuspects(now)
	if now >= c.nextProbe {
		c.nextProbe = max(c.nextProbe+c.opts.ProbeInterval, now)
		c.probeLocalMember(now)
		c.probeRemoteRelay(now)
	}
	c.continueJoin(now)
	if now >= c.nextSync {
		c.syncInterval = min(2*c.syncInterval, c.opts.SyncInterval)
		c.nextSync = now + clock.Milli(0.8+0.4*c.opts.Rand.Float64())*c.syncInterval
		c.startAntiEntropy(now)
	}
	if now >= c.nextTombstoneSweep {
		c.nextTombstoneSweep = now + clock.Minute
		c.removeExpiredTombstones(now)
	}
	if !c.gossipIdle() && now >= c.nextGossip {
		c.nextGossip = now + c.opts.GossipInterval
		c.sendGossip(now)
	}
}

// announce increments this member's sequence number and queues the new fact for
// gossip.
func (c *Core) announce(now clock.Milli, s Status, leaving bool) {
	c.self.Seq++
	c.self.Status, c.self.Leaving = s, leaving
	c.store(c.self, now)
	c.enqueueFact(now, c.self)
	c.actions = append(c.actions, FactChanged{Fact: c.self})
}

// enqueueFact queues a fact for the next gossip round.
func (c *Core) enqueueFact(now clock.Milli, f Fact) {
	c.enqueue(now, queuedUpdate{id: f.ID, fact: f, priority: f.priority(), originCentre: c.centreOf(&f)})
}

// enqueue queues an update for gossip in this data centre, for probe packets and
// for relaying.
func (c *Core) enqueue(now clock.Milli, u queuedUpdate) {
	c.recentUpdates = append(c.recentUpdates, recentUpdate{update: c.queue.push(u), expiresAt: now + recentUpdateTTL})
	c.relays.pending = append(c.relays.pending, u)
}

func (c *Core) centreOf(f *Fact) string {
	if f.Centre != "" {
		return f.Centre
	}
	if e, ok := c.members[f.ID]; ok {
		return e.fact.Centre
	}
	return ""
}

func (c *Core) send(to string, p Packet) {
	if to != c.self.ID {
		c.actions = append(c.actions, SendPacket{To: to, Packet: p})
	}
}

func (c *Core) gossipIdle() bool { return c.queue.empty() && len(c.relays.remoteQueues) == 0 }

func (c *Core) removeExpiredTombstones(now clock.Milli) {
	for id, e := range c.members {
		if e.fact.Status.DeadOrLeft() && now >= e.expiresAt {
			delete(c.members, id)
			bucket := &c.buckets[bucketIndex(e.key)]
			*bucket = slices.DeleteFunc(*bucket, func(o *memberEntry) bool { return o == e })
		}
	}
}
