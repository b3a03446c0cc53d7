package member

import (
	"cmp"
	"math"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

type entry struct {
	fact Fact
	key  uint32
	// until is when a suspicion turns into a death or a tombstone expires.
	until clock.Milli
}

// Core is the membership of one daemon. It is not safe for concurrent use.
type Core struct {
	opts    Options
	self    Fact
	started bool
	members map[string]*entry
	// parts holds the same entries by bucket.
	parts [buckets][]*entry
	// local holds the live members of the own data centre, itself included,
	// in the order of their keys, which is the same everywhere.
	local    []*entry
	suspects map[string]*entry
	digest   digest
	queue    queue
	news     map[string]TopicUpdate
	probes   map[uint32]*probe
	nonce    uint32
	patience int
	relays   relays
	recent   []recent
	joining  joining
	centres  map[string]string // region by centre
	heardOf  map[string]clock.Milli
	lost     map[string]bool

	nextProbe, nextGossip, nextCompare, nextSweep clock.Milli
	// compareGap grows from firstCompare to CompareEvery after a start.
	compareGap clock.Milli
	out        []Action
	// planned is what was added to packets in this call of Handle.
	planned int
}

// New returns a core that knows only itself.
func New(self Fact, opts ...Option) *Core {
	o := defaults()
	for _, f := range opts {
		f(&o)
	}
	self.Status = Alive
	c := &Core{
		opts: o, self: self,
		members:  map[string]*entry{},
		suspects: map[string]*entry{},
		news:     map[string]TopicUpdate{},
		probes:   map[uint32]*probe{},
		centres:  map[string]string{},
		heardOf:  map[string]clock.Milli{},
		lost:     map[string]bool{},
	}
	c.nonce = o.Rand.Uint32()
	c.queue.init()
	c.store(self, 0)
	return c
}

// Self returns what this member announces of itself.
func (c *Core) Self() Fact { return c.self }

// Members returns the members that are not gone, itself included.
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

// Lookup returns the fact about a member, also when it is gone.
func (c *Core) Lookup(id string) (Fact, bool) {
	e, ok := c.members[id]
	if !ok {
		return Fact{}, false
	}
	return e.fact, true
}

// LiveCount returns the number of members that are not gone.
func (c *Core) LiveCount() int { return c.digest.count }

// RootHash returns the hash of the table, equal for equal tables.
func (c *Core) RootHash() uint64 { return c.digest.root }

// NextTick returns when the next Tick is due.
func (c *Core) NextTick() clock.Milli {
	if !c.started {
		return clock.Milli(math.Inf(1))
	}
	w := min(c.nextProbe, c.nextCompare, c.nextSweep, c.joining.next())
	if !c.idle() {
		w = min(w, c.nextGossip)
	}
	for _, p := range c.probes {
		w = min(w, p.due)
	}
	for _, e := range c.suspects {
		w = min(w, e.until)
	}
	return w
}

// Handle processes one event and returns what to do. The slice is valid until
// the next call.
func (c *Core) Handle(now clock.Milli, ev Event) []Action {
	c.out, c.planned = c.out[:0], 0
	switch e := ev.(type) {
	case Start:
		c.start(now, e.Seeds)
	case SyncWith:
		c.meet(e.Peers)
	case PacketReceived:
		c.received(now, e)
	case SyncRequestReceived:
		c.asked(now, e)
	case SyncReplyReceived:
		c.synced(now, e)
	case SyncFailed:
		c.syncFailed(now, e)
	case ProcessPaused:
		c.paused(now, e.Duration)
	case StartLeaving:
		c.announce(now, Alive, true)
	case FinishLeaving:
		c.announce(now, Left, true)
	case Publish:
		e.Update.Centre = c.self.Centre
		c.learnNews(now, e.Update)
	case UpdateSelf:
		c.self.Version, c.self.Slots, c.self.Connections = e.Version, e.Slots, e.Connections
		c.announce(now, Alive, c.self.Leaving)
	}
	if c.started {
		c.tick(now)
	}
	return c.out
}

// firstCompare lets members that start together soon find what each of them
// missed; equal tables only exchange their hash.
const firstCompare = 3 * clock.Second

func (c *Core) start(now clock.Milli, seeds []string) {
	c.started = true
	// Spreads the work of a fleet whose members start at the same time.
	c.nextProbe = now + clock.Milli(c.opts.Rand.Float64())*c.opts.ProbeInterval
	c.compareGap = min(firstCompare, c.opts.SyncInterval)
	c.nextCompare = now + clock.Milli(0.5+c.opts.Rand.Float64())*c.compareGap
	c.nextSweep = now + clock.Minute
	c.join(now, seeds)
}

func (c *Core) tick(now clock.Milli) {
	c.expireProbes(now)
	c.expireSuspects(now)
	if now >= c.nextProbe {
		c.nextProbe = max(c.nextProbe+c.opts.ProbeInterval, now)
		c.probeNext(now)
		c.probeRelay(now)
	}
	c.continueJoin(now)
	if now >= c.nextCompare {
		c.compareGap = min(2*c.compareGap, c.opts.SyncInterval)
		c.nextCompare = now + clock.Milli(0.8+0.4*c.opts.Rand.Float64())*c.compareGap
		c.compare(now)
	}
	if now >= c.nextSweep {
		c.nextSweep = now + clock.Minute
		c.sweep(now)
	}
	if !c.idle() && now >= c.nextGossip {
		c.nextGossip = now + c.opts.GossipInterval
		c.gossip(now)
	}
}

// announce raises the own sequence number and spreads the new fact.
func (c *Core) announce(now clock.Milli, s Status, leaving bool) {
	c.self.Seq++
	c.self.Status, c.self.Leaving = s, leaving
	c.store(c.self, now)
	c.spread(now, c.self)
	c.out = append(c.out, FactChanged{Fact: c.self})
}

// spread queues a fact; the next gossip round sends it.
func (c *Core) spread(now clock.Milli, f Fact) {
	c.push(now, item{id: f.ID, fact: f, imp: f.importance(), centre: c.centreOf(&f)})
}

func (c *Core) push(now clock.Milli, i item) {
	c.recent = append(c.recent, recent{item: c.queue.push(i), until: now + recentFor})
	c.relays.pending = append(c.relays.pending, i)
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
		c.out = append(c.out, SendPacket{To: to, Packet: p})
	}
}

func (c *Core) idle() bool { return c.queue.empty() && len(c.relays.far) == 0 }

func (c *Core) sweep(now clock.Milli) {
	for id, e := range c.members {
		if e.fact.Status.DeadOrLeft() && now >= e.until {
			delete(c.members, id)
			part := &c.parts[bucketOf(e.key)]
			*part = slices.DeleteFunc(*part, func(o *entry) bool { return o == e })
		}
	}
}
