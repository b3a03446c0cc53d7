package member

import (
	"math"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// joinState tracks the initial fetch of the table. Buckets are fetched from
// several peers, a few from each, so that many members that start at the same
// time put little load on each peer.
type joinState struct {
	active         bool
	seeds          []string
	missingBuckets uint64
	nextAttempt    clock.Milli
	backoff        clock.Milli
}

func (j *joinState) nextDue() clock.Milli {
	if !j.active {
		return clock.Milli(math.Inf(1))
	}
	return j.nextAttempt
}

func (j *joinState) markFetched(mask uint64) { j.missingBuckets &^= mask }

func (c *Core) startJoin(now clock.Milli, seeds []string) {
	seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == c.self.ID })
	c.joining = joinState{seeds: seeds, missingBuckets: math.MaxUint64, backoff: c.opts.JoinBackoff}
	c.joining.active = len(seeds) > 0
	c.joining.nextAttempt = now + clock.Milli(c.opts.Rand.Float64())*c.opts.JoinJitter
}

// continueJoin requests the missing buckets from the next peer once nextAttempt
// is reached, or finishes the join.
func (c *Core) continueJoin(now clock.Milli) {
	j := &c.joining
	if !j.active {
		return
	}
	if j.missingBuckets == 0 {
		j.active = false
		c.nextSync = min(c.nextSync, now+clock.Milli(c.opts.Rand.Float64())*divergedSyncInterval)
		c.enqueueFact(now, c.self)
		c.actions = append(c.actions, Joined{Members: c.digest.count})
		c.syncWith(j.seeds)
		return
	}
	if now < j.nextAttempt {
		return
	}
	j.nextAttempt = now + j.backoff
	c.actions = append(c.actions, SendSyncRequest{Peer: c.pickJoinPeer(), Request: SyncRequest{Self: c.self, Mask: j.missingBuckets}})
}

// maxSyncWithPeers limits the peers that one syncWith call contacts.
const maxSyncWithPeers = 4

// syncWith compares the table with those of peers that are not live members of
// it. Members that start together may each join through a peer that has few of
// the others in its table yet; without this step they could form two groups
// that never merge.
func (c *Core) syncWith(peers []string) {
	contacted := 0
	for _, i := range c.opts.Rand.Perm(len(peers)) {
		e, known := c.members[peers[i]]
		if contacted >= maxSyncWithPeers || known && !e.fact.Status.DeadOrLeft() || peers[i] == c.self.ID {
			continue
		}
		contacted++
		c.requestComparison(peers[i])
	}
}

// pickJoinPeer picks a member of this data centre in half of the calls, any
// other member in a quarter and a seed in a quarter. Local members are the last
// to become unreachable, and the seeds already get requests from every member
// that starts.
func (c *Core) pickJoinPeer() string {
	r := c.opts.Rand.IntN(4)
	if local := c.randomLocalPeers(1, ""); r > 1 && len(local) > 0 {
		return local[0].fact.ID
	}
	if id := c.randomMember(); r > 0 && id != "" {
		return id
	}
	return c.joining.seeds[c.opts.Rand.IntN(len(c.joining.seeds))]
}

// handleSyncFailure backs off while joining. A failed comparison is not
// retried; the next periodic one makes up for it.
func (c *Core) handleSyncFailure(now clock.Milli, f SyncFailed) {
	j := &c.joining
	if !j.active || f.Request.Mask == 0 {
		return
	}
	j.nextAttempt = now + j.backoff*clock.Milli(0.5+c.opts.Rand.Float64())
	j.backoff = min(2*j.backoff, c.opts.MaxJoinBackoff)
}

// LoadFacts stores facts without gossiping them. It serves to preload a table,
// for example in tests.
func (c *Core) LoadFacts(now clock.Milli, facts []Fact) {
	for _, f := range facts {
		if e, known := c.members[f.ID]; !known || f.Supersedes(&e.fact) {
			c.store(f, now)
		}
	}
}
