package member

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// startAntiEntropy compares the table with that of a random local member, or of
// any member if there is no local one, and on relays also with that of a remote
// relay. It also pings one dead member, so that two halves of a data centre that
// declared each other dead merge again.
func (c *Core) startAntiEntropy(now clock.Milli) {
	c.refreshRelays()
	if local := c.randomLocalPeers(1, ""); len(local) > 0 {
		c.requestComparison(local[0].fact.ID)
	} else if id := c.randomMember(); id != "" {
		c.requestComparison(id)
	}
	if groups := c.remoteRelayGroups(); len(groups) > 0 {
		relays := groups[c.opts.Rand.IntN(len(groups))]
		c.requestComparison(relays[c.opts.Rand.IntN(len(relays))].fact.ID)
	}
	c.pingRandomDead(now)
}

// randomMember returns the ID of a random live member of any data centre other
// than this member, or "". Buckets are of similar size, so picking one first is
// close to uniform.
func (c *Core) randomMember() string {
	first := c.opts.Rand.IntN(bucketCount)
	for i := range bucketCount {
		bucket := c.buckets[(first+i)%bucketCount]
		if len(bucket) == 0 {
			continue
		}
		start := c.opts.Rand.IntN(len(bucket))
		for j := range bucket {
			e := bucket[(start+j)%len(bucket)]
			if !e.fact.Status.DeadOrLeft() && e.fact.ID != c.self.ID {
				return e.fact.ID
			}
		}
	}
	return ""
}

// requestComparison sends this table's root hash to a peer.
func (c *Core) requestComparison(peer string) {
	c.actions = append(c.actions, SendSyncRequest{Peer: peer, Request: SyncRequest{Self: c.self, Compare: true, Root: c.digest.root}})
}

// pingRandomDead pings a random dead member of this data centre, chosen by
// reservoir sampling.
func (c *Core) pingRandomDead(now clock.Milli) {
	var dead *memberEntry
	seen := 0
	for b := range c.buckets {
		for _, e := range c.buckets[b] {
			if e.fact.Status != Dead || e.fact.Centre != c.self.Centre {
				continue
			}
			if seen++; c.opts.Rand.IntN(seen) == 0 {
				dead = e
			}
		}
	}
	if dead != nil {
		c.pingWithFact(now, dead.fact)
	}
}
