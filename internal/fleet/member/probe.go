package member

import (
	"cmp"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// maxLocalHealthScore limits the local health score and thereby the growth of
// timeouts.
const maxLocalHealthScore = 4

// maxProbeRetries is the number of times an unanswered ping is repeated,
// directly and through other members, before the target is suspected. With 17%
// of packets lost, one round of retries falsely fails in 5% of probes, two
// rounds in 0.1%.
const maxProbeRetries = 2

// probe is a ping whose Ack is outstanding, sent for this member or on behalf
// of a peer.
type probe struct {
	target   string
	deadline clock.Milli
	// requester is the peer that sent the PingRequest with requesterNonce, or
	// empty.
	requester      string
	requesterNonce uint32
	// retries counts the repeated pings, pingRequests the PingRequests sent to
	// other members, and nacks the replies of those that did not reach the
	// target.
	retries      int
	pingRequests int
	nacks        int
	// reachabilityOnly marks a ping that does not lead to a suspicion if it
	// stays unanswered.
	reachabilityOnly bool
}

// registerProbe stores a probe under a new nonce, which it returns.
func (c *Core) registerProbe(p *probe) uint32 {
	c.nonce++
	c.probes[c.nonce] = p
	return c.nonce
}

// probeLocalMember pings one member of this data centre. In each interval all
// members shift the same ring by the same pseudo-random offset, so that with
// synchronised clocks each member is probed exactly once. With skewed clocks
// the targets are as good as random.
func (c *Core) probeLocalMember(now clock.Milli) {
	n := len(c.localMembers)
	if n < 2 || c.self.Status.DeadOrLeft() {
		return
	}
	i, _ := slices.BinarySearchFunc(c.localMembers, c.members[c.self.ID], compareByKey)
	hash := uint64(now/c.opts.ProbeInterval) * 0x9E3779B97F4A7C15
	target := c.localMembers[(i+1+int((hash>>33)%uint64(n-1)))%n]
	nonce := c.registerProbe(&probe{target: target.fact.ID, deadline: now + c.scaleTimeout(c.opts.DirectProbeTimeout)})
	c.sendWithUpdates(now, target.fact.ID, Packet{Kind: Ping, Nonce: nonce})
}

// scaleTimeout lengthens a timeout by the local health score: a process that is
// short of CPU time sees replies late and must not suspect others for it.
func (c *Core) scaleTimeout(d clock.Milli) clock.Milli { return d * clock.Milli(1+c.localHealthScore) }

func (c *Core) suspicionTimeout() clock.Milli { return c.scaleTimeout(c.opts.SuspicionTimeout) }

func (c *Core) expireProbes(now clock.Milli) {
	for _, nonce := range expiredKeys(c.probes, now, func(p *probe) clock.Milli { return p.deadline }) {
		p := c.probes[nonce]
		switch {
		case p.reachabilityOnly:
			delete(c.probes, nonce)
		case p.requester != "":
			delete(c.probes, nonce)
			c.send(p.requester, Packet{Kind: Nack, Nonce: p.requesterNonce})
		case p.retries < maxProbeRetries:
			p.retries++
			p.deadline = now + c.scaleTimeout(c.opts.ProbeInterval-c.opts.DirectProbeTimeout)/maxProbeRetries
			c.send(p.target, Packet{Kind: Ping, Nonce: nonce})
			p.pingRequests += c.requestIndirectProbes(p.target, nonce)
		default:
			delete(c.probes, nonce)
			c.handleProbeFailure(now, p)
		}
	}
}

// expiredKeys returns the keys whose deadline has passed. They are sorted, so
// that runs with the same seed are identical.
func expiredKeys[K cmp.Ordered, V any](m map[K]V, now clock.Milli, deadline func(V) clock.Milli) []K {
	var out []K
	for k, v := range m {
		if now >= deadline(v) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// requestIndirectProbes sends a PingRequest to random local members and returns
// their number.
func (c *Core) requestIndirectProbes(target string, nonce uint32) int {
	requested := 0
	for _, e := range c.randomLocalPeers(c.opts.IndirectProbes, target) {
		c.send(e.fact.ID, Packet{Kind: PingRequest, Nonce: nonce, Target: target})
		requested++
	}
	return requested
}

// handleProbeFailure marks the target of an unanswered probe as suspect. If no
// member replied to the PingRequests either, the fault may be in this process,
// so its local health score rises.
func (c *Core) handleProbeFailure(now clock.Milli, p *probe) {
	if p.pingRequests > 0 && p.nacks == 0 {
		c.localHealthScore = min(c.localHealthScore+1, maxLocalHealthScore)
	}
	e, ok := c.members[p.target]
	if !ok || e.fact.Status != Alive {
		return
	}
	f := e.fact
	f.Status = Suspect
	c.store(f, now)
	// The suspect receives the suspicion directly, so that it can refute it at
	// once.
	c.pingWithFact(now, f)
	c.enqueueFact(now, f)
	c.actions = append(c.actions, FactChanged{Fact: f})
}

// pingWithFact pings a member with the fact stored about it, so that the member
// can refute it.
func (c *Core) pingWithFact(now clock.Milli, f Fact) {
	nonce := c.registerProbe(&probe{target: f.ID, reachabilityOnly: true, deadline: now + c.opts.ProbeInterval})
	c.send(f.ID, Packet{Kind: Ping, Nonce: nonce, Facts: []Fact{f}})
}

func (c *Core) expireSuspects(now clock.Milli) {
	for _, id := range expiredKeys(c.suspects, now, func(e *memberEntry) clock.Milli { return e.expiresAt }) {
		e := c.suspects[id]
		f := e.fact
		f.Status = Dead
		delete(c.suspects, id)
		c.store(f, now)
		c.enqueueFact(now, f)
		c.actions = append(c.actions, FactChanged{Fact: f})
	}
}

// handlePause extends the deadlines of probes and suspicions and shifts the
// times of last contact, since this process could not receive replies while it
// did not run.
func (c *Core) handlePause(now, duration clock.Milli) {
	if !c.started {
		return
	}
	c.localHealthScore = min(c.localHealthScore+2, maxLocalHealthScore)
	for _, p := range c.probes {
		p.deadline = max(p.deadline, now) + c.opts.DirectProbeTimeout
	}
	for _, e := range c.suspects {
		e.expiresAt = now + c.suspicionTimeout()
	}
	for centre := range c.lastContact {
		c.lastContact[centre] += duration
	}
	c.nextProbe = max(c.nextProbe, now+c.opts.DirectProbeTimeout)
}

// handlePacket handles a packet. Its facts are merged before the reply is
// built, so that the Ack of a ping that carries a suspicion already refutes it.
func (c *Core) handlePacket(now clock.Milli, r PacketReceived) {
	for _, f := range r.Packet.Facts {
		c.merge(now, f)
	}
	for _, u := range r.Packet.TopicUpdates {
		c.applyTopicUpdate(now, u)
	}
	if c.self.Status.DeadOrLeft() {
		return
	}
	p := &r.Packet
	switch p.Kind {
	case Ping:
		ack := Packet{Kind: Ack, Nonce: p.Nonce}
		// A sender that is suspect or dead in this table gets the fact, so that
		// it can refute it.
		if e, ok := c.members[r.From]; ok && e.fact.Status != Alive {
			ack.Facts = []Fact{e.fact}
		}
		c.sendWithUpdates(now, r.From, ack)
	case PingRequest:
		nonce := c.registerProbe(&probe{
			target: p.Target, requester: r.From, requesterNonce: p.Nonce,
			deadline: now + c.opts.DirectProbeTimeout,
		})
		ping := Packet{Kind: Ping, Nonce: nonce}
		if e, ok := c.members[p.Target]; ok && e.fact.Status != Alive {
			ping.Facts = []Fact{e.fact}
		}
		c.send(p.Target, ping)
	case Ack:
		c.handleAck(now, r.From, p.Nonce)
	case Nack:
		if pr, ok := c.probes[p.Nonce]; ok && pr.requester == "" {
			pr.nacks++
		}
	}
}

func (c *Core) handleAck(now clock.Milli, from string, nonce uint32) {
	p, ok := c.probes[nonce]
	if !ok {
		return
	}
	delete(c.probes, nonce)
	switch {
	case p.reachabilityOnly:
		c.recordContact(now, from)
	case p.requester != "":
		c.send(p.requester, Packet{Kind: Ack, Nonce: p.requesterNonce})
	default:
		c.localHealthScore = max(c.localHealthScore-1, 0)
	}
}

// hasNoLocalPeers reports whether this data centre has no other live member. A
// member that left is not in its own localMembers, but still gossips its
// departure.
func (c *Core) hasNoLocalPeers() bool {
	return len(c.localMembers) == 0 || len(c.localMembers) == 1 && c.localMembers[0].fact.ID == c.self.ID
}

// randomLocalPeers returns up to n distinct live members of this data centre,
// without this member and the excluded one.
func (c *Core) randomLocalPeers(n int, exclude string) []*memberEntry {
	out := make([]*memberEntry, 0, n)
	for tries := 0; tries < 4*n && len(out) < n && !c.hasNoLocalPeers(); tries++ {
		e := c.localMembers[c.opts.Rand.IntN(len(c.localMembers))]
		if e.fact.ID == c.self.ID || e.fact.ID == exclude || slices.Contains(out, e) {
			continue
		}
		out = append(out, e)
	}
	return out
}
