package member

import (
	"math/bits"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// longQueueLength is the queue length above which each update is sent fewer
// times: the send budget then goes to updates that were not sent yet, and
// anti-entropy repairs the losses.
const longQueueLength = 30

// queuedUpdate is a fact or topic update that is queued for gossip.
type queuedUpdate struct {
	id            string
	fact          Fact
	topicUpdate   TopicUpdate
	isTopicUpdate bool
	priority      Priority
	originCentre  string
	sendCount     int
	// superseded marks an update that push replaced by a newer one.
	superseded bool
}

func (u *queuedUpdate) wireSize() int {
	if u.isTopicUpdate {
		return u.topicUpdate.WireSize()
	}
	return u.fact.WireSize()
}

// fifo is a first-in, first-out list of updates. peek drops superseded ones.
type fifo struct {
	items []*queuedUpdate
	head  int
}

func (f *fifo) push(u *queuedUpdate) { f.items = append(f.items, u) }

func (f *fifo) peek() *queuedUpdate {
	for f.head < len(f.items) {
		if u := f.items[f.head]; !u.superseded {
			return u
		}
		f.pop()
	}
	f.items, f.head = f.items[:0], 0
	return nil
}

func (f *fifo) pop() {
	f.items[f.head] = nil
	f.head++
	if f.head > 64 && 2*f.head > len(f.items) {
		n := copy(f.items, f.items[f.head:])
		clear(f.items[n:])
		f.items, f.head = f.items[:n], 0
	}
}

// queue holds the updates to be gossiped, by priority. Within a priority,
// updates that were never sent go before those that were.
type queue struct {
	byID map[string]*queuedUpdate
	// fifos holds, for each priority, the unsent updates and those to be resent.
	fifos [Bulk + 1][2]fifo
	// inPacket holds the updates that fillPacket added; the slice is reused.
	inPacket []*queuedUpdate
}

func (q *queue) init() { q.byID = map[string]*queuedUpdate{} }

func (q *queue) empty() bool { return len(q.byID) == 0 }

// push queues an update and replaces a queued one with the same ID.
func (q *queue) push(u queuedUpdate) *queuedUpdate {
	if old, ok := q.byID[u.id]; ok {
		old.superseded = true
	}
	queued := &u
	q.byID[u.id] = queued
	q.fifos[u.priority][0].push(queued)
	return queued
}

// fillPacket adds updates to a packet until it is full or reserve returns false.
// An update is dropped from the queue after it was sent limit times.
func (q *queue) fillPacket(p *Packet, limit int, reserve func(bytes int, priority Priority) bool) {
	size := p.WireSize()
	q.inPacket = q.inPacket[:0]
	for priority := Vital; priority <= Bulk; priority++ {
		for resend := range q.fifos[priority] {
			updates := &q.fifos[priority][resend]
			for u := updates.peek(); u != nil; u = updates.peek() {
				if size+u.wireSize() > MaxPacketBytes || !reserve(u.wireSize(), priority) {
					q.requeue(limit)
					return
				}
				updates.pop()
				size += u.wireSize()
				q.inPacket = append(q.inPacket, u)
				p.addUpdate(u)
			}
		}
	}
	q.requeue(limit)
}

func (q *queue) requeue(limit int) {
	for _, u := range q.inPacket {
		u.sendCount++
		if u.sendCount >= limit {
			delete(q.byID, u.id)
			continue
		}
		q.fifos[u.priority][1].push(u)
	}
}

// transmitLimit returns how many times gossip sends an update. If each of n
// members sends an update k times, a fraction of about e^-k of them misses it;
// they receive it from the recent updates on probe packets.
func (c *Core) transmitLimit() int {
	if len(c.queue.byID) > longQueueLength {
		return 2
	}
	return max(3, bits.Len(uint(len(c.localMembers)))-2)
}

// Recent updates are added to probe packets for recentUpdateTTL, up to
// maxRecentPerPacket in each. A member takes part in two probes a second, so
// within that time one that gossip missed exchanges packets with several
// members that have the update.
const (
	recentUpdateTTL    = 3 * clock.Second
	maxRecentPerPacket = 8
)

// recentUpdate is an update that is added to probe packets until expiresAt.
type recentUpdate struct {
	update    *queuedUpdate
	expiresAt clock.Milli
}

// addRecentUpdates adds the latest updates to a probe packet, newest first.
func (c *Core) addRecentUpdates(now clock.Milli, p *Packet) {
	for len(c.recentUpdates) > 0 && c.recentUpdates[0].expiresAt < now {
		c.recentUpdates = c.recentUpdates[1:]
	}
	if len(c.queue.byID) > longQueueLength {
		return
	}
	size, reserve := p.WireSize(), c.byteReserver(now)
	existing := len(p.Facts) + len(p.TopicUpdates)
	for k := len(c.recentUpdates) - 1; k >= max(0, len(c.recentUpdates)-maxRecentPerPacket); k-- {
		u := c.recentUpdates[k].update
		if u.superseded || p.containsUpdate(u, existing) {
			continue
		}
		if size+u.wireSize() > MaxPacketBytes || !reserve(u.wireSize(), u.priority) {
			return
		}
		size += u.wireSize()
		p.addUpdate(u)
	}
}

func (p *Packet) addUpdate(u *queuedUpdate) {
	if u.isTopicUpdate {
		p.TopicUpdates = append(p.TopicUpdates, u.topicUpdate)
	} else {
		p.Facts = append(p.Facts, u.fact)
	}
}

// containsUpdate reports whether the packet already has an update about the same
// subject. existing is the number of updates in the packet before recent ones
// were added; at 0 it returns false without a search.
func (p *Packet) containsUpdate(u *queuedUpdate, existing int) bool {
	if existing == 0 {
		return false
	}
	if u.isTopicUpdate {
		return slices.ContainsFunc(p.TopicUpdates, func(t TopicUpdate) bool { return t.Topic == u.topicUpdate.Topic })
	}
	return slices.ContainsFunc(p.Facts, func(f Fact) bool { return f.ID == u.fact.ID })
}

// byteReserver returns a function that adds bytes to plannedBytes if the limiter
// allows them, and reports whether it did.
func (c *Core) byteReserver(now clock.Milli) func(int, Priority) bool {
	return func(bytes int, priority Priority) bool {
		if !c.opts.SendLimiter.Allow(now, c.plannedBytes+bytes, priority) {
			return false
		}
		c.plannedBytes += bytes
		return true
	}
}

// sendWithUpdates adds queued and recent updates to a probe packet and sends
// it.
func (c *Core) sendWithUpdates(now clock.Milli, to string, p Packet) {
	c.plannedBytes += p.WireSize() + datagramHeaderBytes
	c.queue.fillPacket(&p, c.transmitLimit(), c.byteReserver(now))
	c.addRecentUpdates(now, &p)
	c.send(to, p)
}

// sendGossip sends queued updates to random members of this data centre and, on
// relays, to relays of other data centres and regions.
func (c *Core) sendGossip(now clock.Milli) {
	c.routePending()
	for _, e := range c.randomLocalPeers(c.opts.Fanout, "") {
		if !c.sendUpdatePacket(now, e.fact.ID, &c.queue, c.transmitLimit()) {
			break
		}
	}
	if c.hasNoLocalPeers() {
		// No local member is left to gossip the updates to.
		c.queue.init()
		c.queue.fifos = [Bulk + 1][2]fifo{}
	}
	c.gossipToRemoteRelays(now)
}

// sendUpdatePacket sends an Update packet from q. It returns false and sends
// nothing if the queue is empty or the budget is used up.
func (c *Core) sendUpdatePacket(now clock.Milli, to string, q *queue, limit int) bool {
	p := Packet{Kind: Update}
	plannedBefore := c.plannedBytes
	c.plannedBytes += packetHeaderBytes + datagramHeaderBytes
	q.fillPacket(&p, limit, c.byteReserver(now))
	if len(p.Facts)+len(p.TopicUpdates) == 0 {
		c.plannedBytes = plannedBefore
		return false
	}
	c.send(to, p)
	return true
}
