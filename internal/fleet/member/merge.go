package member

import (
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// merge takes a fact from a peer in, and spreads it if it was not known.
func (c *Core) merge(now clock.Milli, f Fact) {
	if f.ID == c.self.ID {
		c.mergeSelf(now, f)
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
			f = described(f, e.fact)
		}
	}
	c.store(f, now)
	c.spread(now, f)
	c.out = append(c.out, FactChanged{Fact: f})
}

// described fills a fact without description from an older one.
func described(f, old Fact) Fact {
	old.Incarnation, old.Seq, old.Status = f.Incarnation, f.Seq, f.Status
	old.Leaving = old.Leaving || f.Leaving
	return old
}

// mergeSelf refutes a wrong statement about this member. A statement about a
// higher incarnation comes from an earlier process whose clock was ahead.
func (c *Core) mergeSelf(now clock.Milli, f Fact) {
	if c.self.Status.DeadOrLeft() || !f.Supersedes(&c.self) {
		return
	}
	if f.Incarnation > c.self.Incarnation {
		c.self.Incarnation = f.Incarnation + 1
		c.self.Seq = 0
	} else {
		// Others had reason to suspect this process, so it may be starved.
		c.patience = min(c.patience+1, maxPatience)
	}
	c.self.Seq = max(c.self.Seq, f.Seq)
	c.announce(now, Alive, c.self.Leaving)
}

// store puts a fact into the table, the digest and the indexes.
func (c *Core) store(f Fact, now clock.Milli) {
	e, known := c.members[f.ID]
	if !known {
		e = &entry{key: keyOf(f.ID)}
		c.members[f.ID] = e
		c.parts[bucketOf(e.key)] = append(c.parts[bucketOf(e.key)], e)
	}
	if !known || e.fact.Status != f.Status || e.fact.Leaving != f.Leaving {
		c.relays.stale = true
	}
	wasLive, live := known && !e.fact.Status.DeadOrLeft(), !f.Status.DeadOrLeft()
	if wasLive {
		c.digest.toggle(e.key, e.fact.stamp(e.key), -1)
	}
	if live {
		c.digest.toggle(e.key, f.stamp(e.key), +1)
	}
	moved := e.fact.Centre != f.Centre || e.fact.Region != f.Region
	if wasLive && (moved || !live) {
		c.unindex(e)
	}
	e.fact = f
	if live && (moved || !wasLive) {
		c.index(e)
	}
	c.schedule(e, now)
}

// schedule sets the deadline of a suspicion or tombstone. Only members of the
// own data centre are declared dead: others are judged by their own.
func (c *Core) schedule(e *entry, now clock.Milli) {
	delete(c.suspects, e.fact.ID)
	switch {
	case e.fact.Status.DeadOrLeft():
		e.until = now + c.opts.TombstoneTTL
	case e.fact.Status == Suspect && e.fact.Centre == c.self.Centre && e.fact.ID != c.self.ID:
		e.until = now + c.suspicion()
		c.suspects[e.fact.ID] = e
	}
}

func (c *Core) index(e *entry) {
	c.centres[e.fact.Centre] = e.fact.Region
	if e.fact.Centre != c.self.Centre {
		return
	}
	i, _ := slices.BinarySearchFunc(c.local, e, byKey)
	c.local = slices.Insert(c.local, i, e)
}

func (c *Core) unindex(e *entry) {
	if e.fact.Centre != c.self.Centre {
		return
	}
	if i, ok := slices.BinarySearchFunc(c.local, e, byKey); ok {
		c.local = slices.Delete(c.local, i, i+1)
	}
}

func byKey(a, b *entry) int {
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

func (c *Core) learnNews(now clock.Milli, n TopicUpdate) {
	if old, ok := c.news[n.Topic]; ok && old.Version >= n.Version {
		return
	}
	c.news[n.Topic] = n
	c.push(now, item{id: "news/" + n.Topic, news: n, isNews: true, imp: Urgent, centre: n.Centre})
	c.out = append(c.out, TopicUpdated{Update: n})
}

// LatestUpdate returns the latest item of a topic.
func (c *Core) LatestUpdate(topic string) TopicUpdate { return c.news[topic] }
