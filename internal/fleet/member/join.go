package member

import (
	"math"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// joining fetches the table from peers, a few buckets from each, so that a
// start of many members loads each peer a little.
type joining struct {
	active  bool
	seeds   []string
	missing uint64
	at      clock.Milli
	backoff clock.Milli
}

func (j *joining) next() clock.Milli {
	if !j.active {
		return clock.Milli(math.Inf(1))
	}
	return j.at
}

func (j *joining) done(mask uint64) { j.missing &^= mask }

func (c *Core) join(now clock.Milli, seeds []string) {
	seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == c.self.ID })
	c.joining = joining{seeds: seeds, missing: math.MaxUint64, backoff: c.opts.JoinBackoff}
	c.joining.active = len(seeds) > 0
	c.joining.at = now + clock.Milli(c.opts.Rand.Float64())*c.opts.JoinJitter
}

// continueJoin asks the next peer when the time has come.
func (c *Core) continueJoin(now clock.Milli) {
	j := &c.joining
	if !j.active {
		return
	}
	if j.missing == 0 {
		j.active = false
		c.nextCompare = min(c.nextCompare, now+clock.Milli(c.opts.Rand.Float64())*differentEvery)
		c.spread(now, c.self)
		c.out = append(c.out, Joined{Members: c.digest.count})
		c.meet(j.seeds)
		return
	}
	if now < j.at {
		return
	}
	j.at = now + j.backoff
	c.out = append(c.out, SendSyncRequest{Peer: c.joinPeer(), Request: SyncRequest{Self: c.self, Mask: j.missing}})
}

// maxMeet bounds the peers that are compared with at once.
const maxMeet = 4

// meet compares the table with peers that are not in it. Members that start
// together may each find a peer that knows few of the others yet; without
// this, two groups that never heard of each other could form.
func (c *Core) meet(peers []string) {
	n := 0
	for _, i := range c.opts.Rand.Perm(len(peers)) {
		e, known := c.members[peers[i]]
		if n >= maxMeet || known && !e.fact.Status.DeadOrLeft() || peers[i] == c.self.ID {
			continue
		}
		n++
		c.askCompare(peers[i])
	}
}

// joinPeer mostly picks members of the own data centre: they are the last to
// be cut off, and the seeds are asked by everyone that starts.
func (c *Core) joinPeer() string {
	r := c.opts.Rand.IntN(4)
	if near := c.randomLocal(1, ""); r > 1 && len(near) > 0 {
		return near[0].fact.ID
	}
	if id := c.randomMember(); r > 0 && id != "" {
		return id
	}
	return c.joining.seeds[c.opts.Rand.IntN(len(c.joining.seeds))]
}

// syncFailed backs off while joining; a failed comparison is simply repeated
// at the next one.
func (c *Core) syncFailed(now clock.Milli, f SyncFailed) {
	j := &c.joining
	if !j.active || f.Request.Mask == 0 {
		return
	}
	j.at = now + j.backoff*clock.Milli(0.5+c.opts.Rand.Float64())
	j.backoff = min(2*j.backoff, c.opts.MaxJoinBackoff)
}

// Load puts facts into the table without spreading them, as a table that was
// saved or built for a test.
func (c *Core) Load(now clock.Milli, facts []Fact) {
	for _, f := range facts {
		if e, known := c.members[f.ID]; !known || f.Supersedes(&e.fact) {
			c.store(f, now)
		}
	}
}
