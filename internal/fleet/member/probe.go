package member

import (
	"cmp"
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// maxPatience bounds how far timeouts grow while this process is starved.
const maxPatience = 4

// probeRounds is how often a probe is repeated, directly and through helpers,
// before its target is suspected. With 17% of packets lost, one round fails
// wrongly in 5% of probes and two in 0.1%.
const probeRounds = 2

// probe is a ping that is not answered yet, its own or one for a peer.
type probe struct {
	target string
	due    clock.Milli
	// asker is the peer that asked for this probe, with its nonce.
	asker      string
	askerNonce uint32
	// round counts the attempts; nacks counts the helpers' answers.
	round   int
	helpers int
	nacks   int
	// relay marks a probe between data centres, which suspects nobody.
	relay bool
}

func (c *Core) newProbe(p *probe) uint32 {
	c.nonce++
	c.probes[c.nonce] = p
	return c.nonce
}

// probeNext pings one local member. All members shift the same ring by the
// same offset in the same second, so with agreeing clocks each member is
// probed exactly once; with others the choice is as good as random.
func (c *Core) probeNext(now clock.Milli) {
	n := len(c.local)
	if n < 2 || c.self.Status.DeadOrLeft() {
		return
	}
	i, _ := slices.BinarySearchFunc(c.local, c.members[c.self.ID], byKey)
	step := uint64(now/c.opts.ProbeInterval) * 0x9E3779B97F4A7C15
	target := c.local[(i+1+int((step>>33)%uint64(n-1)))%n]
	nonce := c.newProbe(&probe{target: target.fact.ID, due: now + c.scale(c.opts.DirectProbeTimeout)})
	c.sendWithUpdates(now, target.fact.ID, Packet{Kind: Ping, Nonce: nonce})
}

func (c *Core) scale(d clock.Milli) clock.Milli { return d * clock.Milli(1+c.patience) }

func (c *Core) suspicion() clock.Milli { return c.scale(c.opts.SuspicionTimeout) }

func (c *Core) expireProbes(now clock.Milli) {
	for _, nonce := range due(c.probes, now, func(p *probe) clock.Milli { return p.due }) {
		p := c.probes[nonce]
		switch {
		case p.relay:
			delete(c.probes, nonce)
		case p.asker != "":
			delete(c.probes, nonce)
			c.send(p.asker, Packet{Kind: Nack, Nonce: p.askerNonce})
		case p.round < probeRounds:
			p.round++
			p.due = now + c.scale(c.opts.ProbeInterval-c.opts.DirectProbeTimeout)/probeRounds
			c.send(p.target, Packet{Kind: Ping, Nonce: nonce})
			p.helpers += c.askHelpers(p.target, nonce)
		default:
			delete(c.probes, nonce)
			c.failed(now, p)
		}
	}
}

// due returns the keys whose time has come, sorted so that a run with the
// same seed takes the same course.
func due[K cmp.Ordered, V any](m map[K]V, now clock.Milli, at func(V) clock.Milli) []K {
	var out []K
	for k, v := range m {
		if now >= at(v) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

func (c *Core) askHelpers(target string, nonce uint32) int {
	asked := 0
	for _, e := range c.randomLocal(c.opts.IndirectProbes, target) {
		c.send(e.fact.ID, Packet{Kind: PingRequest, Nonce: nonce, Target: target})
		asked++
	}
	return asked
}

// failed suspects the target of a probe. Helpers that did not answer either
// are a sign that this process is the one with the problem.
func (c *Core) failed(now clock.Milli, p *probe) {
	if p.helpers > 0 && p.nacks == 0 {
		c.patience = min(c.patience+1, maxPatience)
	}
	e, ok := c.members[p.target]
	if !ok || e.fact.Status != Alive {
		return
	}
	f := e.fact
	f.Status = Suspect
	c.store(f, now)
	// Telling the suspect itself gives it the chance to refute at once.
	c.tell(now, f)
	c.spread(now, f)
	c.out = append(c.out, FactChanged{Fact: f})
}

// tell pings a member with what is believed of it.
func (c *Core) tell(now clock.Milli, f Fact) {
	nonce := c.newProbe(&probe{target: f.ID, relay: true, due: now + c.opts.ProbeInterval})
	c.send(f.ID, Packet{Kind: Ping, Nonce: nonce, Facts: []Fact{f}})
}

func (c *Core) expireSuspects(now clock.Milli) {
	for _, id := range due(c.suspects, now, func(e *entry) clock.Milli { return e.until }) {
		e := c.suspects[id]
		f := e.fact
		f.Status = Dead
		delete(c.suspects, id)
		c.store(f, now)
		c.spread(now, f)
		c.out = append(c.out, FactChanged{Fact: f})
	}
}

// paused restarts what was measured while this process did not run.
func (c *Core) paused(now, d clock.Milli) {
	if !c.started {
		return
	}
	c.patience = min(c.patience+2, maxPatience)
	for _, p := range c.probes {
		p.due = max(p.due, now) + c.opts.DirectProbeTimeout
	}
	for _, e := range c.suspects {
		e.until = now + c.suspicion()
	}
	for centre := range c.heardOf {
		c.heardOf[centre] += d
	}
	c.nextProbe = max(c.nextProbe, now+c.opts.DirectProbeTimeout)
}

// received handles a packet. Its updates are merged first, so that the answer
// to a ping that carries a suspicion already refutes it.
func (c *Core) received(now clock.Milli, r PacketReceived) {
	for _, f := range r.Packet.Facts {
		c.merge(now, f)
	}
	for _, n := range r.Packet.TopicUpdates {
		c.learnNews(now, n)
	}
	if c.self.Status.DeadOrLeft() {
		return
	}
	p := &r.Packet
	switch p.Kind {
	case Ping:
		ack := Packet{Kind: Ack, Nonce: p.Nonce}
		// A sender that is taken for suspect or dead here can refute it.
		if e, ok := c.members[r.From]; ok && e.fact.Status != Alive {
			ack.Facts = []Fact{e.fact}
		}
		c.sendWithUpdates(now, r.From, ack)
	case PingRequest:
		nonce := c.newProbe(&probe{
			target: p.Target, asker: r.From, askerNonce: p.Nonce,
			due: now + c.opts.DirectProbeTimeout,
		})
		ping := Packet{Kind: Ping, Nonce: nonce}
		if e, ok := c.members[p.Target]; ok && e.fact.Status != Alive {
			ping.Facts = []Fact{e.fact}
		}
		c.send(p.Target, ping)
	case Ack:
		c.acked(now, r.From, p.Nonce)
	case Nack:
		if pr, ok := c.probes[p.Nonce]; ok && pr.asker == "" {
			pr.nacks++
		}
	}
}

func (c *Core) acked(now clock.Milli, from string, nonce uint32) {
	p, ok := c.probes[nonce]
	if !ok {
		return
	}
	delete(c.probes, nonce)
	switch {
	case p.relay:
		c.reached(now, from)
	case p.asker != "":
		c.send(p.asker, Packet{Kind: Ack, Nonce: p.askerNonce})
	default:
		c.patience = max(c.patience-1, 0)
	}
}

// alone says that no other live member of the data centre is known. A member
// that is gone is not in its own list, and still spreads its departure.
func (c *Core) alone() bool {
	return len(c.local) == 0 || len(c.local) == 1 && c.local[0].fact.ID == c.self.ID
}

// randomLocal returns up to n different live local members without self and
// the excluded one.
func (c *Core) randomLocal(n int, exclude string) []*entry {
	out := make([]*entry, 0, n)
	for tries := 0; tries < 4*n && len(out) < n && !c.alone(); tries++ {
		e := c.local[c.opts.Rand.IntN(len(c.local))]
		if e.fact.ID == c.self.ID || e.fact.ID == exclude || slices.Contains(out, e) {
			continue
		}
		out = append(out, e)
	}
	return out
}
