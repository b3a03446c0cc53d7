package member

import (
	"cmp"
	"maps"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// remoteTransmitLimit is how many times one relay sends an update to each other
// data centre or region. With 3 relays it is sent 6 times, so at 10% packet
// loss one update in a million is lost.
const remoteTransmitLimit = 2

// relays holds the members that connect data centres and regions. Members with
// the same table elect the same relays.
type relays struct {
	stale    bool
	byCentre map[string][]*memberEntry
	byRegion map[string][]*memberEntry
	// centreRank and regionRank are this member's index among the relays of its
	// data centre and of its region, or -1.
	centreRank, regionRank int
	// remoteQueues holds the updates to be relayed, by destination.
	remoteQueues map[string]*queue
	// pending holds new updates whose destinations are not determined yet.
	pending []queuedUpdate
	// gossipRound counts gossip rounds. Each round sends to the next relay of a
	// destination.
	gossipRound int
}

func rendezvousWeight(key uint32, salt uint64) uint64 {
	h := (uint64(key) + salt) * 0x9E3779B97F4A7C15
	h ^= h >> 31
	return h * 0xBF58476D1CE4E5B9
}

// refreshRelays elects the relays by rendezvous hashing: the members with the
// highest weights. It does nothing if no member changed since the last call.
func (c *Core) refreshRelays() {
	r := &c.relays
	if !r.stale && r.byCentre != nil {
		return
	}
	r.stale = false
	r.byCentre, r.byRegion = map[string][]*memberEntry{}, map[string][]*memberEntry{}
	for _, e := range c.members {
		if e.fact.Status != Alive || e.fact.Leaving {
			continue
		}
		r.byCentre[e.fact.Centre] = c.insertRanked(r.byCentre[e.fact.Centre], e, 1)
		r.byRegion[e.fact.Region] = c.insertRanked(r.byRegion[e.fact.Region], e, 2)
	}
	self := c.members[c.self.ID]
	r.centreRank = slices.Index(r.byCentre[c.self.Centre], self)
	r.regionRank = slices.Index(r.byRegion[c.self.Region], self)
	if r.remoteQueues == nil {
		r.remoteQueues = map[string]*queue{}
	}
}

// IsRelay reports whether this member is a relay of its data centre or region.
func (c *Core) IsRelay() bool { return c.relays.centreRank >= 0 || c.relays.regionRank >= 0 }

// insertRanked inserts e into top, which is sorted by descending weight, and cuts
// it to RelayCount entries. Data centres and regions use different salts, so
// that their elections differ.
func (c *Core) insertRanked(top []*memberEntry, e *memberEntry, salt uint64) []*memberEntry {
	if len(top) == c.opts.RelayCount && rendezvousWeight(top[len(top)-1].key, salt) > rendezvousWeight(e.key, salt) {
		return top
	}
	i, _ := slices.BinarySearchFunc(top, e, func(a, b *memberEntry) int {
		if d := cmp.Compare(rendezvousWeight(b.key, salt), rendezvousWeight(a.key, salt)); d != 0 {
			return d
		}
		return cmp.Compare(a.fact.ID, b.fact.ID)
	})
	top = slices.Insert(top, i, e)
	return top[:min(len(top), c.opts.RelayCount)]
}

// destinations returns where this member relays an update, given the data
// centre of its origin. Updates of its own data centre go to the other data
// centres of the region, updates of its own region to the other regions, and
// updates of other regions to the data centres of its own.
func (c *Core) destinations(centre string) []string {
	region, known := c.regionByCentre[centre]
	if !known {
		return nil
	}
	var out []string
	toCentres := c.relays.centreRank >= 0 && centre == c.self.Centre ||
		c.relays.regionRank >= 0 && region != c.self.Region
	if toCentres {
		for _, o := range sortedKeys(c.relays.byCentre) {
			if o != c.self.Centre && c.regionByCentre[o] == c.self.Region {
				out = append(out, "centre/"+o)
			}
		}
	}
	if c.relays.regionRank >= 0 && region == c.self.Region {
		for _, o := range sortedKeys(c.relays.byRegion) {
			if o != c.self.Region {
				out = append(out, "region/"+o)
			}
		}
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// routePending moves new updates to the queues of the destinations they are
// relayed to.
func (c *Core) routePending() {
	c.refreshRelays()
	for _, u := range c.relays.pending {
		for _, d := range c.destinations(u.originCentre) {
			q := c.relays.remoteQueues[d]
			if q == nil {
				q = &queue{}
				q.init()
				c.relays.remoteQueues[d] = q
			}
			q.push(u)
		}
	}
	c.relays.pending = c.relays.pending[:0]
}

// destinationRelays returns the relays at a destination and the rank of this
// member among the relays that send there.
func (c *Core) destinationRelays(destination string) ([]*memberEntry, int) {
	const prefixLen = len("centre/")
	if destination[:prefixLen] == "centre/" {
		return c.relays.byCentre[destination[prefixLen:]], max(c.relays.centreRank, c.relays.regionRank)
	}
	return c.relays.byRegion[destination[prefixLen:]], c.relays.regionRank
}

func (c *Core) gossipToRemoteRelays(now clock.Milli) {
	c.relays.gossipRound++
	for _, d := range sortedKeys(c.relays.remoteQueues) {
		q := c.relays.remoteQueues[d]
		peers, rank := c.destinationRelays(d)
		if len(peers) == 0 || rank < 0 {
			delete(c.relays.remoteQueues, d)
			continue
		}
		to := peers[(rank+c.relays.gossipRound)%len(peers)]
		c.sendUpdatePacket(now, to.fact.ID, q, remoteTransmitLimit)
		if q.empty() {
			delete(c.relays.remoteQueues, d)
		}
	}
}

// probeRemoteRelay pings one random relay of another data centre or region per
// probe interval, to detect that a data centre is unreachable. A missing reply
// leads to no suspicion.
func (c *Core) probeRemoteRelay(now clock.Milli) {
	c.refreshRelays()
	groups := c.remoteRelayGroups()
	if len(groups) == 0 {
		return
	}
	peers := groups[c.opts.Rand.IntN(len(groups))]
	peer := peers[c.opts.Rand.IntN(len(peers))]
	centre := peer.fact.Centre
	if _, ok := c.lastContact[centre]; !ok {
		c.lastContact[centre] = now
	}
	nonce := c.registerProbe(&probe{target: peer.fact.ID, reachabilityOnly: true, deadline: now + c.opts.ProbeInterval})
	c.send(peer.fact.ID, Packet{Kind: Ping, Nonce: nonce})
	if now-c.lastContact[centre] > c.opts.UnreachableTimeout && !c.unreachable[centre] {
		c.unreachable[centre] = true
		c.actions = append(c.actions, ReachabilityChanged{Centre: centre})
	}
}

// remoteRelayGroups returns the relays of each data centre and region that this
// member relays to.
func (c *Core) remoteRelayGroups() [][]*memberEntry {
	var groups [][]*memberEntry
	if c.relays.centreRank >= 0 {
		for _, o := range sortedKeys(c.relays.byCentre) {
			if o != c.self.Centre && c.regionByCentre[o] == c.self.Region {
				groups = append(groups, c.relays.byCentre[o])
			}
		}
	}
	if c.relays.regionRank >= 0 {
		for _, o := range sortedKeys(c.relays.byRegion) {
			if o != c.self.Region {
				groups = append(groups, c.relays.byRegion[o])
			}
		}
	}
	return groups
}

// recordContact records a reply of a remote relay. If its data centre was
// unreachable, the next table comparison is moved to a random time within 10 s,
// so that the relays do not all start at once.
func (c *Core) recordContact(now clock.Milli, from string) {
	e, ok := c.members[from]
	if !ok {
		return
	}
	centre := e.fact.Centre
	c.lastContact[centre] = now
	if c.unreachable[centre] {
		delete(c.unreachable, centre)
		c.actions = append(c.actions, ReachabilityChanged{Centre: centre, Reachable: true})
		c.nextSync = min(c.nextSync, now+clock.Milli(c.opts.Rand.Float64())*10*clock.Second)
	}
}
