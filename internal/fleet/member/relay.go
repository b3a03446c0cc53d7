package member

import (
	"cmp"
	"maps"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// farCopies is how often one relay sends an update to each other data centre
// or region. With 3 relays, 6 copies are sent, so a loss of 10% of packets
// stops one update in a million.
const farCopies = 2

// relays holds the members that connect data centres and regions. Each
// daemon computes the same ones from the same table.
type relays struct {
	stale    bool
	ofCentre map[string][]*entry
	ofRegion map[string][]*entry
	// rank is this member's place among the relays, or -1.
	centreRank, regionRank int
	far                    map[string]*queue
	pending                []item
	turn                   int
}

func weight(key uint32, salt uint64) uint64 {
	h := (uint64(key) + salt) * 0x9E3779B97F4A7C15
	h ^= h >> 31
	return h * 0xBF58476D1CE4E5B9
}

// refresh picks the relays: the members with the highest rendezvous weights.
func (c *Core) refresh() {
	r := &c.relays
	if !r.stale && r.ofCentre != nil {
		return
	}
	r.stale = false
	r.ofCentre, r.ofRegion = map[string][]*entry{}, map[string][]*entry{}
	for _, e := range c.members {
		if e.fact.Status != Alive || e.fact.Leaving {
			continue
		}
		r.ofCentre[e.fact.Centre] = c.keepTop(r.ofCentre[e.fact.Centre], e, 1)
		r.ofRegion[e.fact.Region] = c.keepTop(r.ofRegion[e.fact.Region], e, 2)
	}
	self := c.members[c.self.ID]
	r.centreRank = slices.Index(r.ofCentre[c.self.Centre], self)
	r.regionRank = slices.Index(r.ofRegion[c.self.Region], self)
	if r.far == nil {
		r.far = map[string]*queue{}
	}
}

// IsRelay says whether this member connects its data centre or region.
func (c *Core) IsRelay() bool { return c.relays.centreRank >= 0 || c.relays.regionRank >= 0 }

func (c *Core) keepTop(top []*entry, e *entry, salt uint64) []*entry {
	if len(top) == c.opts.RelayCount && weight(top[len(top)-1].key, salt) > weight(e.key, salt) {
		return top
	}
	i, _ := slices.BinarySearchFunc(top, e, func(a, b *entry) int {
		if d := cmp.Compare(weight(b.key, salt), weight(a.key, salt)); d != 0 {
			return d
		}
		return cmp.Compare(a.fact.ID, b.fact.ID)
	})
	top = slices.Insert(top, i, e)
	return top[:min(len(top), c.opts.RelayCount)]
}

// destinations lists where this member relays an update that entered the
// fleet in a data centre: its own centre's updates to the other centres of
// the region, its own region's to other regions, other regions' to the own.
func (c *Core) destinations(centre string) []string {
	region, known := c.centres[centre]
	if !known {
		return nil
	}
	var out []string
	toCentres := c.relays.centreRank >= 0 && centre == c.self.Centre ||
		c.relays.regionRank >= 0 && region != c.self.Region
	if toCentres {
		for _, o := range sortedKeys(c.relays.ofCentre) {
			if o != c.self.Centre && c.centres[o] == c.self.Region {
				out = append(out, "centre/"+o)
			}
		}
	}
	if c.relays.regionRank >= 0 && region == c.self.Region {
		for _, o := range sortedKeys(c.relays.ofRegion) {
			if o != c.self.Region {
				out = append(out, "region/"+o)
			}
		}
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// route hands new updates to the queues of the places they are relayed to.
func (c *Core) route() {
	c.refresh()
	for _, i := range c.relays.pending {
		for _, d := range c.destinations(i.centre) {
			q := c.relays.far[d]
			if q == nil {
				q = &queue{}
				q.init()
				c.relays.far[d] = q
			}
			q.push(i)
		}
	}
	c.relays.pending = c.relays.pending[:0]
}

func (c *Core) relaysAt(destination string) ([]*entry, int) {
	const centre = len("centre/")
	if destination[:centre] == "centre/" {
		return c.relays.ofCentre[destination[centre:]], max(c.relays.centreRank, c.relays.regionRank)
	}
	return c.relays.ofRegion[destination[centre:]], c.relays.regionRank
}

func (c *Core) gossipAfar(now clock.Milli) {
	c.relays.turn++
	for _, d := range sortedKeys(c.relays.far) {
		q := c.relays.far[d]
		peers, rank := c.relaysAt(d)
		if len(peers) == 0 || rank < 0 {
			delete(c.relays.far, d)
			continue
		}
		to := peers[(rank+c.relays.turn)%len(peers)]
		c.sendUpdates(now, to.fact.ID, q, farCopies)
		if q.empty() {
			delete(c.relays.far, d)
		}
	}
}

// probeRelay pings one relay elsewhere per probe period, so that a lost data
// centre is noticed. It suspects nobody.
func (c *Core) probeRelay(now clock.Milli) {
	c.refresh()
	places := c.relayPlaces()
	if len(places) == 0 {
		return
	}
	peers := places[c.opts.Rand.IntN(len(places))]
	peer := peers[c.opts.Rand.IntN(len(peers))]
	centre := peer.fact.Centre
	if _, ok := c.heardOf[centre]; !ok {
		c.heardOf[centre] = now
	}
	nonce := c.newProbe(&probe{target: peer.fact.ID, relay: true, due: now + c.opts.ProbeInterval})
	c.send(peer.fact.ID, Packet{Kind: Ping, Nonce: nonce})
	if now-c.heardOf[centre] > c.opts.UnreachableTimeout && !c.lost[centre] {
		c.lost[centre] = true
		c.out = append(c.out, ReachabilityChanged{Centre: centre})
	}
}

// relayPlaces returns the relays of each place this member relays to.
func (c *Core) relayPlaces() [][]*entry {
	var places [][]*entry
	if c.relays.centreRank >= 0 {
		for _, o := range sortedKeys(c.relays.ofCentre) {
			if o != c.self.Centre && c.centres[o] == c.self.Region {
				places = append(places, c.relays.ofCentre[o])
			}
		}
	}
	if c.relays.regionRank >= 0 {
		for _, o := range sortedKeys(c.relays.ofRegion) {
			if o != c.self.Region {
				places = append(places, c.relays.ofRegion[o])
			}
		}
	}
	return places
}

// reached notes that a relay elsewhere answered. A centre that was lost is
// compared soon, at a random moment, so that relays do not all do it at once.
func (c *Core) reached(now clock.Milli, from string) {
	e, ok := c.members[from]
	if !ok {
		return
	}
	centre := e.fact.Centre
	c.heardOf[centre] = now
	if c.lost[centre] {
		delete(c.lost, centre)
		c.out = append(c.out, ReachabilityChanged{Centre: centre, Reachable: true})
		c.nextCompare = min(c.nextCompare, now+clock.Milli(c.opts.Rand.Float64())*10*clock.Second)
	}
}
