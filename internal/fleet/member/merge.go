package member

import (
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// merge applies a fact received from a peer. If it supersedes the stored one,
// merge stores it, queues it for gossip and reports the change.
func (c *Core) merge(now clock.Milli, f Fact) {
	if f.ID == c.self.ID {
		c.refute(now, f)
		return
	}
	e, known := c.members[f.ID]
	if known && !f.Supersedes(&e.fact) {
		return
	}
	if f.LacksDescription() {
		if !known && !f.Status.DeadOrLeft() {
			return
		}
		if known {
			f = withDescription(f, e.fact)
		}
	}
	c.store(f, now)
	c.enqueueFact(now, f)
	c.actions = append(c.actions, FactChanged{Fact: f})
}

// withDescription returns f with the description of the member copied from an
// older fact.
func withDescription(f, old Fact) Fact {
	old.Incarnation, old.Seq, old.Status = f.Incarnation, f.Seq, f.Status
	old.Leaving = old.Leaving || f.Leaving
	return old
}

// refute announces a new fact that supersedes a wrong one about this member. A
// fact with a higher incarnation comes from an earlier process on this address
// whose clock was ahead.
func (c *Core) refute(now clock.Milli, f Fact) {
	if c.self.Status.DeadOrLeft() || !f.Supersedes(&c.self) {
		return
	}
	if f.Incarnation > c.self.Incarnation {
		c.self.Incarnation = f.Incarnation + 1
		c.self.Seq = 0
	} else {
		// Another member got no timely reply from this process, which may
		// therefore be short of CPU time.
		c.localHealthScore = min(c.localHealthScore+1, maxLocalHealthScore)
	}
	c.self.Seq = max(c.self.Seq, f.Seq)
	c.announce(now, Alive, c.self.Leaving)
}

// store writes a fact to the table and updates the digest, the indexes and the
// expiry time.
func (c *Core) store(f Fact, now clock.Milli) {
	e, known := c.members[f.ID]
	if !known {
		e = &memberEntry{key: memberKey(f.ID)}
		c.members[f.ID] = e
		c.buckets[bucketIndex(e.key)] = append(c.buckets[bucketIndex(e.key)], e)
	}
	if !known || e.fact.Status != f.Status || e.fact.Leaving != f.Leaving {
		c.relays.stale = true
	}
	wasLive, isLive := known && !e.fact.Status.DeadOrLeft(), !f.Status.DeadOrLeft()
	if wasLive {
		c.digest.toggle(e.key, e.fact.versionHash(e.key), -1)
	}
	if isLive {
		c.digest.toggle(e.key, f.versionHash(e.key), +1)
	}
	moved := e.fact.Centre != f.Centre || e.fact.Region != f.Region
	if wasLive && (moved || !isLive) {
		c.unindexMember(e)
	}
	e.fact = f
	if isLive && (moved || !wasLive) {
		c.indexMember(e)
	}
	c.setExpiry(e, now)
}

// setExpiry sets the time at which a suspect is declared dead or a tombstone
// expires. A member is declared dead only by members of its own data centre.
func (c *Core) setExpiry(e *memberEntry, now clock.Milli) {
	delete(c.suspects, e.fact.ID)
	switch {
	case e.fact.Status.DeadOrLeft():
		e.expiresAt = now + c.opts.TombstoneTTL
	case e.fact.Status == Suspect && e.fact.Centre == c.self.Centre && e.fact.ID != c.self.ID:
		e.expiresAt = now + c.suspicionTimeout()
		c.suspects[e.fact.ID] = e
	}
}

func (c *Core) indexMember(e *memberEntry) {
	c.regionByCentre[e.fact.Centre] = e.fact.Region
	if e.fact.Centre != c.self.Centre {
		return
	}
	i, _ := slices.BinarySearchFunc(c.localMembers, e, compareByKey)
	c.localMembers = slices.Insert(c.localMembers, i, e)
}

func (c *Core) unindexMember(e *memberEntry) {
	if e.fact.Centre != c.self.Centre {
		return
	}
	if i, ok := slices.BinarySearchFunc(c.localMembers, e, compareByKey); ok {
		c.localMembers = slices.Delete(c.localMembers, i, i+1)
	}
}

func compareByKey(a, b *memberEntry) int {
	if a.key != b.key {
		if a.key < b.key {
			return -1
		}
		return 1
	}
	switch {
	case a.fact.ID < b.fact.ID:
		return -1
	case a.fact.ID > b.fact.ID:
		return 1
	}
	return 0
}

// applyTopicUpdate stores an update that is newer than the stored one of its
// topic, queues it for gossip and reports it.
func (c *Core) applyTopicUpdate(now clock.Milli, u TopicUpdate) {
	if old, ok := c.latestUpdates[u.Topic]; ok && old.Version >= u.Version {
		return
	}
	c.latestUpdates[u.Topic] = u
	c.enqueue(now, queuedUpdate{id: "news/" + u.Topic, topicUpdate: u, isTopicUpdate: true, priority: Urgent, originCentre: u.Centre})
	c.actions = append(c.actions, TopicUpdated{Update: u})
}

// LatestUpdate returns the update of a topic with the highest version, or the
// zero value if there is none.
func (c *Core) LatestUpdate(topic string) TopicUpdate { return c.latestUpdates[topic] }
