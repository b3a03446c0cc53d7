package member

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

const (
	// maxReplyBytes limits one reply to a joining member to what the peer may
	// send in 1 s; it is one bucket at 3,200 members.
	maxReplyBytes = 4000
	// maxAlternativePeers limits the members that a busy peer names.
	maxAlternativePeers = 4
	// maxSyncFacts limits the facts that a comparison sends in one direction.
	maxSyncFacts = 30
	// maxSyncStamps limits the stamps of a comparison to 2 KB.
	maxSyncStamps = 250
	// maxWholeTableMembers is the number of members up to which the reply
	// contains the whole table, which is then smaller than the bucket hashes.
	maxWholeTableMembers = 16
)

// divergedSyncInterval is the mean time between comparisons while tables
// differ.
const divergedSyncInterval = 6 * clock.Second

// handleSyncRequest merges the facts of a peer's request and replies to it.
func (c *Core) handleSyncRequest(now clock.Milli, received SyncRequestReceived) {
	req := &received.Request
	if c.self.Status.DeadOrLeft() {
		c.actions = append(c.actions, SendSyncReply{Reply: SyncReply{Busy: true}})
		return
	}
	if req.Self.ID != "" {
		c.merge(now, req.Self)
	}
	served := req.Mask
	if served != 0 {
		if len(req.Stamps) == 0 {
			served = c.limitMask(req.Mask)
		}
		// Only the bytes planned so far are checked, not the reply: its size is
		// limited, so it may exceed the budget once. Checking its size as well
		// refused every reply of a large table.
		if !c.opts.SendLimiter.Allow(now, c.plannedBytes, Ordinary) {
			r := SyncReply{Busy: true}
			if req.Mask == math.MaxUint64 {
				r.Facts = c.alternativePeers(req.Self.ID)
			}
			c.actions = append(c.actions, SendSyncReply{Reply: r})
			return
		}
	}
	for _, f := range req.Facts {
		c.merge(now, f)
	}
	for _, u := range req.TopicUpdates {
		c.applyTopicUpdate(now, u)
	}
	r := c.buildSyncReply(req, served)
	// The requester must refute a fact about it that is newer than its own.
	if e, ok := c.members[req.Self.ID]; ok && e.fact.Supersedes(&req.Self) {
		r.Facts = append(r.Facts, e.fact)
	}
	for _, t := range sortedKeys(c.latestUpdates) {
		r.TopicUpdates = append(r.TopicUpdates, c.latestUpdates[t])
	}
	c.actions = append(c.actions, SendSyncReply{Reply: r})
}

// liveFacts returns the facts about all live members, this one first.
func (c *Core) liveFacts() []Fact {
	out := []Fact{c.self}
	for _, e := range c.membersInMask(math.MaxUint64) {
		if !e.fact.Status.DeadOrLeft() && e.fact.ID != c.self.ID {
			out = append(out, e.fact)
		}
	}
	return out
}

// liveFactsMissingFrom returns the facts about live members that are not in a
// peer's whole table.
func (c *Core) liveFactsMissingFrom(theirs []Fact) []Fact {
	known := make(map[string]bool, len(theirs))
	for _, f := range theirs {
		known[f.ID] = true
	}
	return slices.DeleteFunc(c.liveFacts(), func(f Fact) bool { return known[f.ID] })
}

// buildSyncReply compares the root hash or the stamps of a request with this
// table. served is the mask of the buckets to reply with.
func (c *Core) buildSyncReply(req *SyncRequest, served uint64) SyncReply {
	var r SyncReply
	switch {
	case req.Mask != 0:
		r = c.diffStamps(req, served)
		r.ServedMask = served
		r.Facts = append(r.Facts, c.self)
	case !req.Compare:
	case req.Root == c.digest.root:
		r.Equal = true
	case c.digest.count <= maxWholeTableMembers:
		r.ServedMask = math.MaxUint64
		r.Facts = c.liveFacts()
	default:
		r.BucketHashes = slices.Clone(c.digest.bucketHashes[:])
	}
	return r
}

// limitMask reduces a mask to the first buckets that fit into one reply, at
// least one.
func (c *Core) limitMask(mask uint64) uint64 {
	for bits.OnesCount64(mask) > 1 && c.estimateBytes(mask) > maxReplyBytes {
		mask &^= 1 << (bits.Len64(mask) - 1)
	}
	return mask
}

// alternativePeers returns the facts about this member and about some others
// that the requester can contact instead.
func (c *Core) alternativePeers(requester string) []Fact {
	out := []Fact{c.self}
	for range maxAlternativePeers {
		if id := c.randomMember(); id != "" && id != requester {
			out = append(out, c.members[id].fact)
		}
	}
	return out
}

// estimateBytes returns the expected size of the facts in the buckets of a mask.
func (c *Core) estimateBytes(mask uint64) int {
	const typicalFactBytes = 80
	return c.digest.count * typicalFactBytes * bits.OnesCount64(mask) / bucketCount
}

// membersInMask returns the members in the buckets of a mask, sorted by key.
func (c *Core) membersInMask(mask uint64) []*memberEntry {
	var out []*memberEntry
	for b := range c.buckets {
		if mask>>b&1 == 1 {
			out = append(out, c.buckets[b]...)
		}
	}
	slices.SortFunc(out, compareByKey)
	return out
}

// diffStamps compares the requester's stamps with this table. Members that only
// this table has are sent, those that only the requester has are requested, and
// for those with different versions both happens, since a stamp does not show
// which version is newer.
func (c *Core) diffStamps(req *SyncRequest, mask uint64) SyncReply {
	var r SyncReply
	theirs := make(map[uint32]uint32, len(req.Stamps))
	for _, s := range req.Stamps {
		theirs[s.Key] = s.Hash
	}
	for _, e := range c.membersInMask(mask) {
		hash, has := theirs[e.key]
		delete(theirs, e.key)
		deadOrLeft := e.fact.Status.DeadOrLeft()
		switch {
		case !has && deadOrLeft:
		case has && !deadOrLeft && hash == e.fact.versionHash(e.key):
		case has:
			r.Facts = append(r.Facts, e.fact)
			r.WantedKeys = append(r.WantedKeys, e.key)
		default:
			r.Facts = append(r.Facts, e.fact)
		}
	}
	for key := range theirs {
		r.WantedKeys = append(r.WantedKeys, key)
	}
	slices.Sort(r.WantedKeys)
	if len(req.Stamps) > 0 {
		// The remaining differences are found by the next comparison.
		r.Facts = r.Facts[:min(len(r.Facts), maxSyncFacts)]
		r.WantedKeys = r.WantedKeys[:min(len(r.WantedKeys), maxSyncFacts)]
	}
	return r
}

// handleSyncReply merges the facts of a reply and continues the exchange with
// the next step.
func (c *Core) handleSyncReply(now clock.Milli, received SyncReplyReceived) {
	if received.Reply.Busy {
		for _, f := range received.Reply.Facts {
			c.merge(now, f)
		}
		c.handleSyncFailure(now, SyncFailed{Peer: received.Peer, Request: received.Request})
		return
	}
	var newer []Fact
	for _, f := range received.Reply.Facts {
		c.merge(now, f)
		// Facts that are newer here are sent back; above all, deaths.
		if e, ok := c.members[f.ID]; ok && e.fact.Supersedes(&f) && e.fact.ID != c.self.ID {
			newer = append(newer, e.fact)
		}
	}
	for _, u := range received.Reply.TopicUpdates {
		c.applyTopicUpdate(now, u)
	}
	if received.Reply.ServedMask != 0 {
		c.joining.markFetched(received.Reply.ServedMask)
		c.joining.backoff = c.opts.JoinBackoff
	}
	switch {
	case received.Request.Compare && received.Reply.ServedMask != 0:
		c.sendRequestedFacts(received, append(newer, c.liveFactsMissingFrom(received.Reply.Facts)...))
	case len(received.Reply.BucketHashes) == bucketCount:
		c.requestDifferingBuckets(now, received)
	case len(received.Request.Stamps) > 0 || received.Request.Mask != 0:
		c.sendRequestedFacts(received, newer)
	}
	c.continueJoin(now)
}

// requestDifferingBuckets sends the stamps of the buckets whose hashes differ,
// starting at a random bucket, up to about maxSyncStamps.
func (c *Core) requestDifferingBuckets(now clock.Milli, received SyncReplyReceived) {
	var mask uint64
	start, stamps := c.opts.Rand.IntN(bucketCount), 0
	for i := range bucketCount {
		b := (start + i) % bucketCount
		if received.Reply.BucketHashes[b] != c.digest.bucketHashes[b] && stamps < maxSyncStamps {
			mask |= 1 << b
			stamps += len(c.buckets[b])
		}
	}
	// While tables differ, they are compared more often.
	c.nextSync = min(c.nextSync, now+clock.Milli(0.5+c.opts.Rand.Float64())*divergedSyncInterval)
	if mask == 0 || !c.opts.SendLimiter.Allow(now, c.plannedBytes, Ordinary) {
		return
	}
	req := SyncRequest{Self: c.self, Mask: mask}
	for _, e := range c.membersInMask(mask) {
		if !e.fact.Status.DeadOrLeft() {
			req.Stamps = append(req.Stamps, Stamp{Key: e.key, Hash: e.fact.versionHash(e.key)})
		}
	}
	c.actions = append(c.actions, SendSyncRequest{Peer: received.Peer, Request: req})
}

// sendRequestedFacts sends the peer the facts that it requested, together with
// the given ones.
func (c *Core) sendRequestedFacts(received SyncReplyReceived, facts []Fact) {
	for _, e := range c.membersInMask(received.Request.Mask) {
		if _, ok := slices.BinarySearch(received.Reply.WantedKeys, e.key); ok {
			facts = append(facts, e.fact)
		}
	}
	if len(facts) == 0 {
		return
	}
	slices.SortFunc(facts, func(a, b Fact) int { return cmp.Compare(a.ID, b.ID) })
	facts = facts[:min(len(facts), 2*maxSyncFacts)]
	facts = slices.CompactFunc(facts, func(a, b Fact) bool { return a.ID == b.ID })
	c.actions = append(c.actions, SendSyncRequest{Peer: received.Peer, Request: SyncRequest{Facts: facts}})
}
