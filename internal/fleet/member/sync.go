package member

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// maxReply bounds what a joining member gets at once to the budget of 1 s
	// of the peer; it is one bucket at 3,200 members.
	maxReply = 4000
	maxHints = 4
	// maxFacts bounds the facts that a comparison sends in one direction.
	maxFacts = 30
	// maxStamps bounds the stamps of a comparison to 2 KB.
	maxStamps = 250
	// smallTable is the number of members up to which a comparison is answered
	// with the whole table, which then takes less than the hashes of its parts.
	smallTable = 16
)

// differentEvery is the mean time between comparisons while tables differ.
const differentEvery = 6 * clock.Second

// asked answers a peer's request.
func (c *Core) asked(now clock.Milli, a SyncRequestReceived) {
	req := &a.Request
	if c.self.Status.DeadOrLeft() {
		c.out = append(c.out, SendSyncReply{Reply: SyncReply{Busy: true}})
		return
	}
	if req.Self.ID != "" {
		c.merge(now, req.Self)
	}
	page := req.Mask
	if page != 0 {
		if len(req.Stamps) == 0 {
			page = c.page(req.Mask)
		}
		// The page itself may overdraw the budget, as its size is bounded; a
		// check of the size as well refused every page of a large table.
		if !c.opts.SendLimiter.Allow(now, c.planned, Ordinary) {
			r := SyncReply{Busy: true}
			if req.Mask == math.MaxUint64 {
				r.Facts = c.hints(req.Self.ID)
			}
			c.out = append(c.out, SendSyncReply{Reply: r})
			return
		}
	}
	for _, f := range req.Facts {
		c.merge(now, f)
	}
	for _, n := range req.TopicUpdates {
		c.learnNews(now, n)
	}
	r := c.answer(req, page)
	// A fact about the asker that is newer than its own must be refuted.
	if e, ok := c.members[req.Self.ID]; ok && e.fact.Supersedes(&req.Self) {
		r.Facts = append(r.Facts, e.fact)
	}
	for _, t := range sortedKeys(c.news) {
		r.TopicUpdates = append(r.TopicUpdates, c.news[t])
	}
	c.out = append(c.out, SendSyncReply{Reply: r})
}

// live returns the facts about all members that are not gone.
func (c *Core) live() []Fact {
	out := []Fact{c.self}
	for _, e := range c.inMask(math.MaxUint64) {
		if !e.fact.Status.DeadOrLeft() && e.fact.ID != c.self.ID {
			out = append(out, e.fact)
		}
	}
	return out
}

// absent returns the facts about live members that a peer's whole table lacks.
func (c *Core) absent(theirs []Fact) []Fact {
	known := make(map[string]bool, len(theirs))
	for _, f := range theirs {
		known[f.ID] = true
	}
	return slices.DeleteFunc(c.live(), func(f Fact) bool { return known[f.ID] })
}

// answer compares a request's digest or stamps with the own table.
func (c *Core) answer(req *SyncRequest, page uint64) SyncReply {
	var r SyncReply
	switch {
	case req.Mask != 0:
		r = c.difference(req, page)
		r.Served = page
		r.Facts = append(r.Facts, c.self)
	case !req.Compare:
	case req.Root == c.digest.root:
		r.Equal = true
	case c.digest.count <= smallTable:
		r.Served = math.MaxUint64
		r.Facts = c.live()
	default:
		r.Buckets = slices.Clone(c.digest.buckets[:])
	}
	return r
}

// page cuts a mask down to the first buckets that fit into one reply.
func (c *Core) page(mask uint64) uint64 {
	for bits.OnesCount64(mask) > 1 && c.bytesIn(mask) > maxReply {
		mask &^= 1 << (bits.Len64(mask) - 1)
	}
	return mask
}

// hints names a few members that a busy peer's asker can ask instead.
func (c *Core) hints(asker string) []Fact {
	out := []Fact{c.self}
	for range maxHints {
		if id := c.randomMember(); id != "" && id != asker {
			out = append(out, c.members[id].fact)
		}
	}
	return out
}

func (c *Core) bytesIn(mask uint64) int {
	const typical = 80
	return c.digest.count * typical * bits.OnesCount64(mask) / buckets
}

// inMask returns the members in the buckets of a mask, in the order of keys.
func (c *Core) inMask(mask uint64) []*entry {
	var out []*entry
	for b := range c.parts {
		if mask>>b&1 == 1 {
			out = append(out, c.parts[b]...)
		}
	}
	slices.SortFunc(out, byKey)
	return out
}

// difference compares the asker's stamps with the own table. A member that
// the asker has and this table lacks, or has in another version, is sent or
// wanted; which of both facts is newer is decided where they meet.
func (c *Core) difference(req *SyncRequest, page uint64) SyncReply {
	var r SyncReply
	theirs := make(map[uint32]uint32, len(req.Stamps))
	for _, s := range req.Stamps {
		theirs[s.Key] = s.Hash
	}
	for _, e := range c.inMask(page) {
		hash, has := theirs[e.key]
		delete(theirs, e.key)
		gone := e.fact.Status.DeadOrLeft()
		switch {
		case !has && gone:
		case has && !gone && hash == e.fact.stamp(e.key):
		case has:
			r.Facts = append(r.Facts, e.fact)
			r.Want = append(r.Want, e.key)
		default:
			r.Facts = append(r.Facts, e.fact)
		}
	}
	for key := range theirs {
		r.Want = append(r.Want, key)
	}
	slices.Sort(r.Want)
	if len(req.Stamps) > 0 {
		// The rest differs at the next comparison still.
		r.Facts = r.Facts[:min(len(r.Facts), maxFacts)]
		r.Want = r.Want[:min(len(r.Want), maxFacts)]
	}
	return r
}

// synced takes the reply to an own request in and asks further.
func (c *Core) synced(now clock.Milli, s SyncReplyReceived) {
	if s.Reply.Busy {
		for _, f := range s.Reply.Facts {
			c.merge(now, f)
		}
		c.syncFailed(now, SyncFailed{Peer: s.Peer, Request: s.Request})
		return
	}
	var stale []Fact
	for _, f := range s.Reply.Facts {
		c.merge(now, f)
		// The peer is told of what is known better here, deaths above all.
		if e, ok := c.members[f.ID]; ok && e.fact.Supersedes(&f) && e.fact.ID != c.self.ID {
			stale = append(stale, e.fact)
		}
	}
	for _, n := range s.Reply.TopicUpdates {
		c.learnNews(now, n)
	}
	if s.Reply.Served != 0 {
		c.joining.done(s.Reply.Served)
		c.joining.backoff = c.opts.JoinBackoff
	}
	switch {
	case s.Request.Compare && s.Reply.Served != 0:
		c.pushWanted(s, append(stale, c.absent(s.Reply.Facts)...))
	case len(s.Reply.Buckets) == buckets:
		c.askDifferent(now, s)
	case len(s.Request.Stamps) > 0 || s.Request.Mask != 0:
		c.pushWanted(s, stale)
	}
	c.continueJoin(now)
}

func (c *Core) askDifferent(now clock.Milli, s SyncReplyReceived) {
	var mask uint64
	start, stamps := c.opts.Rand.IntN(buckets), 0
	for i := range buckets {
		b := (start + i) % buckets
		if s.Reply.Buckets[b] != c.digest.buckets[b] && stamps < maxStamps {
			mask |= 1 << b
			stamps += len(c.parts[b])
		}
	}
	// Tables that differ are compared again sooner than equal ones.
	c.nextCompare = min(c.nextCompare, now+clock.Milli(0.5+c.opts.Rand.Float64())*differentEvery)
	if mask == 0 || !c.opts.SendLimiter.Allow(now, c.planned, Ordinary) {
		return
	}
	req := SyncRequest{Self: c.self, Mask: mask}
	for _, e := range c.inMask(mask) {
		if !e.fact.Status.DeadOrLeft() {
			req.Stamps = append(req.Stamps, Stamp{Key: e.key, Hash: e.fact.stamp(e.key)})
		}
	}
	c.out = append(c.out, SendSyncRequest{Peer: s.Peer, Request: req})
}

// pushWanted sends the peer the facts that it wanted or has too old.
func (c *Core) pushWanted(s SyncReplyReceived, stale []Fact) {
	for _, e := range c.inMask(s.Request.Mask) {
		if _, ok := slices.BinarySearch(s.Reply.Want, e.key); ok {
			stale = append(stale, e.fact)
		}
	}
	if len(stale) == 0 {
		return
	}
	slices.SortFunc(stale, func(a, b Fact) int { return cmp.Compare(a.ID, b.ID) })
	stale = stale[:min(len(stale), 2*maxFacts)]
	stale = slices.CompactFunc(stale, func(a, b Fact) bool { return a.ID == b.ID })
	c.out = append(c.out, SendSyncRequest{Peer: s.Peer, Request: SyncRequest{Facts: stale}})
}

// compare starts anti-entropy with a random local member and, on relays, with
// a relay elsewhere. One dead member is pinged too, so that two halves of a
// data centre that took each other for dead meet again.
func (c *Core) compare(now clock.Milli) {
	c.refresh()
	if near := c.randomLocal(1, ""); len(near) > 0 {
		c.askCompare(near[0].fact.ID)
	} else if id := c.randomMember(); id != "" {
		c.askCompare(id)
	}
	if peers := c.relayPlaces(); len(peers) > 0 {
		place := peers[c.opts.Rand.IntN(len(peers))]
		c.askCompare(place[c.opts.Rand.IntN(len(place))].fact.ID)
	}
	c.pingDead(now)
}

// randomMember returns some live member of any data centre. Buckets are
// nearly even, so the choice within a random one is close to uniform.
func (c *Core) randomMember() string {
	first := c.opts.Rand.IntN(buckets)
	for i := range buckets {
		part := c.parts[(first+i)%buckets]
		if len(part) == 0 {
			continue
		}
		start := c.opts.Rand.IntN(len(part))
		for j := range part {
			e := part[(start+j)%len(part)]
			if !e.fact.Status.DeadOrLeft() && e.fact.ID != c.self.ID {
				return e.fact.ID
			}
		}
	}
	return ""
}

func (c *Core) askCompare(peer string) {
	c.out = append(c.out, SendSyncRequest{Peer: peer, Request: SyncRequest{Self: c.self, Compare: true, Root: c.digest.root}})
}

func (c *Core) pingDead(now clock.Milli) {
	var dead *entry
	seen := 0
	for b := range c.parts {
		for _, e := range c.parts[b] {
			if e.fact.Status != Dead || e.fact.Centre != c.self.Centre {
				continue
			}
			if seen++; c.opts.Rand.IntN(seen) == 0 {
				dead = e
			}
		}
	}
	if dead != nil {
		c.tell(now, dead.fact)
	}
}
