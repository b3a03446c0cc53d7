package member

import (
	"math/bits"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// longQueue is the length from which items are sent fewer times: the budget
// is better spent on items that nobody has, and anti-entropy fills the gaps.
const longQueue = 30

// item is an update that waits to be sent some more times.
type item struct {
	id     string
	fact   Fact
	news   TopicUpdate
	isNews bool
	imp    Priority
	centre string
	sent   int
	stale  bool
}

func (i *item) size() int {
	if i.isNews {
		return i.news.WireSize()
	}
	return i.fact.WireSize()
}

type fifo struct {
	items []*item
	head  int
}

func (f *fifo) push(i *item) { f.items = append(f.items, i) }

func (f *fifo) peek() *item {
	for f.head < len(f.items) {
		if i := f.items[f.head]; !i.stale {
			return i
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

// queue orders updates by importance, and among equals those that were never
// sent before those that were.
type queue struct {
	byID  map[string]*item
	lists [Bulk + 1][2]fifo
	taken []*item
}

func (q *queue) init() { q.byID = map[string]*item{} }

func (q *queue) empty() bool { return len(q.byID) == 0 }

// push adds an update; it replaces an older one about the same subject.
func (q *queue) push(i item) *item {
	if old, ok := q.byID[i.id]; ok {
		old.stale = true
	}
	p := &i
	q.byID[i.id] = p
	q.lists[i.imp][0].push(p)
	return p
}

// fill adds updates to a packet until it is full or allow refuses. Each item
// is sent at most limit times in all.
func (q *queue) fill(p *Packet, limit int, allow func(bytes int, imp Priority) bool) {
	size := p.WireSize()
	q.taken = q.taken[:0]
	for imp := Vital; imp <= Bulk; imp++ {
		for again := range q.lists[imp] {
			l := &q.lists[imp][again]
			for i := l.peek(); i != nil; i = l.peek() {
				if size+i.size() > MaxPacketBytes || !allow(i.size(), imp) {
					q.requeue(limit)
					return
				}
				l.pop()
				size += i.size()
				q.taken = append(q.taken, i)
				p.add(i)
			}
		}
	}
	q.requeue(limit)
}

func (q *queue) requeue(limit int) {
	for _, i := range q.taken {
		i.sent++
		if i.sent >= limit {
			delete(q.byID, i.id)
			continue
		}
		q.lists[i.imp][1].push(i)
	}
}

// copies is how often an update is sent by gossip. Of n members that each
// pass an item on k times, a share of about e^-k is missed; they learn it
// from the recent updates that probes carry.
func (c *Core) copies() int {
	if len(c.queue.byID) > longQueue {
		return 2
	}
	return max(3, bits.Len(uint(len(c.local)))-2)
}

// Updates ride on probes for some time after they were learned, at most so
// many per packet. Each member takes part in two probes a second, so a member
// that gossip missed meets several informed ones in this time.
const (
	recentFor = 3 * clock.Second
	maxRecent = 8
)

type recent struct {
	item  *item
	until clock.Milli
}

func (c *Core) addRecent(now clock.Milli, p *Packet) {
	for len(c.recent) > 0 && c.recent[0].until < now {
		c.recent = c.recent[1:]
	}
	if len(c.queue.byID) > longQueue {
		return
	}
	size, allow := p.WireSize(), c.allow(now)
	had := len(p.Facts) + len(p.TopicUpdates)
	for k := len(c.recent) - 1; k >= max(0, len(c.recent)-maxRecent); k-- {
		i := c.recent[k].item
		if i.stale || p.has(i, had) {
			continue
		}
		if size+i.size() > MaxPacketBytes || !allow(i.size(), i.imp) {
			return
		}
		size += i.size()
		p.add(i)
	}
}

func (p *Packet) add(i *item) {
	if i.isNews {
		p.TopicUpdates = append(p.TopicUpdates, i.news)
	} else {
		p.Facts = append(p.Facts, i.fact)
	}
}

func (p *Packet) has(i *item, had int) bool {
	if had == 0 {
		return false
	}
	if i.isNews {
		return slices.ContainsFunc(p.TopicUpdates, func(n TopicUpdate) bool { return n.Topic == i.news.Topic })
	}
	return slices.ContainsFunc(p.Facts, func(f Fact) bool { return f.ID == i.fact.ID })
}

func (c *Core) allow(now clock.Milli) func(int, Priority) bool {
	return func(bytes int, imp Priority) bool {
		if !c.opts.SendLimiter.Allow(now, c.planned+bytes, imp) {
			return false
		}
		c.planned += bytes
		return true
	}
}

// sendWithUpdates sends a packet that is due anyway, with updates added.
func (c *Core) sendWithUpdates(now clock.Milli, to string, p Packet) {
	c.planned += p.WireSize() + datagramOverhead
	c.queue.fill(&p, c.copies(), c.allow(now))
	c.addRecent(now, &p)
	c.send(to, p)
}

// gossip spreads queued updates to random local members and, on relays, to
// the relays of other data centres.
func (c *Core) gossip(now clock.Milli) {
	c.route()
	for _, e := range c.randomLocal(c.opts.Fanout, "") {
		if !c.sendUpdates(now, e.fact.ID, &c.queue, c.copies()) {
			break
		}
	}
	if c.alone() {
		c.queue.init()
		c.queue.lists = [Bulk + 1][2]fifo{}
	}
	c.gossipAfar(now)
}

func (c *Core) sendUpdates(now clock.Milli, to string, q *queue, copies int) bool {
	p := Packet{Kind: Update}
	before := c.planned
	c.planned += packetBytes + datagramOverhead
	q.fill(&p, copies, c.allow(now))
	if len(p.Facts)+len(p.TopicUpdates) == 0 {
		c.planned = before
		return false
	}
	c.send(to, p)
	return true
}
