package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

func peerFact(i int) member.Fact {
	return member.Fact{ID: fmt.Sprintf("10.0.0.%d:1", i), Incarnation: 100, Service: "plans", Centre: "a", Region: "r"}
}

func withSeed(seed uint64) member.Option { return member.WithRand(rand.New(rand.NewPCG(seed, 1))) }

func receiveFacts(c *member.Core, now clock.Milli, facts ...member.Fact) {
	c.Handle(now, member.PacketReceived{From: peerFact(9).ID, Packet: member.Packet{Kind: member.Update, Facts: facts}})
}

// Guards against a stale announcement that restores a member that is gone,
// and against facts applied in the wrong order.
func TestPrecedence(t *testing.T) {
	f := func(inc uint64, seq uint32, s member.Status) member.Fact {
		p := peerFact(2)
		p.Incarnation, p.Seq, p.Status = inc, seq, s
		return p
	}
	cases := map[string]struct {
		facts []member.Fact
		want  member.Status
	}{
		"same announcement after death":   {[]member.Fact{f(100, 1, member.Dead), f(100, 1, member.Alive)}, member.Dead},
		"older announcement after leave":  {[]member.Fact{f(100, 3, member.Left), f(100, 2, member.Alive)}, member.Left},
		"older incarnation after death":   {[]member.Fact{f(100, 1, member.Dead), f(99, 7, member.Alive)}, member.Dead},
		"refuted death":                   {[]member.Fact{f(100, 1, member.Dead), f(100, 2, member.Alive)}, member.Alive},
		"restart after leave":             {[]member.Fact{f(100, 3, member.Left), f(101, 0, member.Alive)}, member.Alive},
		"death before first announcement": {[]member.Fact{{ID: peerFact(2).ID, Incarnation: 100, Seq: 1, Status: member.Dead}, f(100, 1, member.Alive)}, member.Dead},
		"late death of old incarnation":   {[]member.Fact{f(101, 0, member.Alive), f(100, 9, member.Dead)}, member.Alive},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := member.New(peerFact(1), withSeed(1))
			for _, x := range tc.facts {
				receiveFacts(c, 1, x)
			}
			got, ok := c.Lookup(peerFact(2).ID)
			g.Expect(ok).To(BeTrue())
			g.Expect(got.Status).To(Equal(tc.want))
		})
	}
}

// Guards against tables that depend on the order in which facts arrive, and
// against digests that do not match the table.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		facts := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) member.Fact {
			f := peerFact(rapid.IntRange(2, 5).Draw(rt, "member"))
			f.Incarnation = rapid.Uint64Range(1, 3).Draw(rt, "incarnation")
			f.Seq = rapid.Uint32Range(0, 3).Draw(rt, "seq")
			f.Status = member.Status(rapid.IntRange(0, 3).Draw(rt, "status"))
			return f
		}), 1, 20).Draw(rt, "facts")
		a, b := member.New(peerFact(1), withSeed(1)), member.New(peerFact(1), withSeed(2))
		for i := range facts {
			receiveFacts(a, 1, facts[i])
			receiveFacts(b, 1, facts[len(facts)-1-i])
		}
		if a.RootHash() != b.RootHash() || fmt.Sprint(a.Members()) != fmt.Sprint(b.Members()) {
			rt.Fatalf("tables differ: %v and %v", a.Members(), b.Members())
		}
	})
}

// Guards against a tombstone that expires while a region may still be
// partitioned, or never.
func TestTombstoneLasts(t *testing.T) {
	g := NewWithT(t)
	c := member.New(peerFact(1), withSeed(1))
	c.Handle(0, member.Start{})
	dead := peerFact(2)
	dead.Status = member.Dead
	receiveFacts(c, 1, peerFact(2))
	receiveFacts(c, 2, dead)
	c.Handle(23*clock.Hour, member.Tick{})
	receiveFacts(c, 23*clock.Hour, peerFact(2))
	g.Expect(c.LiveCount()).To(Equal(1))
	c.Handle(25*clock.Hour, member.Tick{})
	_, known := c.Lookup(peerFact(2).ID)
	g.Expect(known).To(BeFalse())
}

// Guards against a wrong suspicion, or a fact of an earlier process whose clock
// was ahead, that is not refuted.
func TestRefutes(t *testing.T) {
	cases := map[string]func(f *member.Fact){
		"suspected":       func(f *member.Fact) { f.Status = member.Suspect },
		"declared dead":   func(f *member.Fact) { f.Status = member.Dead },
		"earlier process": func(f *member.Fact) { f.Incarnation = 500 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := member.New(peerFact(1), withSeed(1))
			f := peerFact(1)
			change(&f)
			receiveFacts(c, 1, f)
			self := c.Self()
			g.Expect(self.Status).To(Equal(member.Alive))
			g.Expect(self.Supersedes(&f)).To(BeTrue())
		})
	}
}

// Guards against runs with the same seed that produce different results.
func TestDeterministic(t *testing.T) {
	g := NewWithT(t)
	run := func() string {
		n := newConvergedNetwork(11, 90, 2)
		n.LossRate, n.DuplicateRate = 0.2, 0.1
		n.Nodes[5].Crash()
		n.Run(30 * clock.Second)
		out := ""
		for _, d := range n.Nodes {
			out += fmt.Sprintln(d.SentBytes, d.ReceivedBytes, d.Core.RootHash())
		}
		return out
	}
	g.Expect(run()).To(Equal(run()))
}
