package mesh

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// Guards against a daemon that starts while the store is away and makes the others
// believe that the store was read. The duties of daemons that lost the store then passed
// through the whole fleet, and nobody read the store after its return.
func TestStoreView(t *testing.T) {
	const started = 1000 * clock.Second
	tests := map[string]struct {
		observe []*wire.StoreView
		wait    clock.Milli
		read    bool
		age     clock.Milli
	}{
		"just started":            {nil, 0, false, 0},
		"started, peer as well":   {[]*wire.StoreView{{}}, 2000, false, 2000},
		"peer heard of a read":    {[]*wire.StoreView{{Read: true, AgeMs: 300}}, 500, true, 800},
		"older report comes last": {[]*wire.StoreView{{Read: true, AgeMs: 300}, {Read: true, AgeMs: 9000}}, 500, true, 800},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			clk := clock.NewManual(started)
			s := newStoreView("self", clk)
			for _, v := range tt.observe {
				s.observe("peer", v)
			}
			clk.Advance(tt.wait)
			v := s.encode()
			g.Expect(v.GetRead()).To(Equal(tt.read))
			if tt.read {
				g.Expect(v.GetAgeMs()).To(BeNumerically("==", tt.age))
			}
			// Without a read, the start of this daemon begins the age.
			g.Expect(s.age()).To(Equal(min(tt.age, tt.wait)))
		})
	}
}

// Guards against a daemon that counts as unable to reach the store for good because it
// no longer calls it.
func TestStoreLossExpires(t *testing.T) {
	g := NewWithT(t)
	clk := clock.NewManual(1000 * clock.Second)
	s := newStoreView("self", clk)
	s.observe("peer", &wire.StoreView{Lost: true})
	g.Expect(s.isLost("peer")).To(BeTrue())
	clk.Advance(lossTTL)
	g.Expect(s.isLost("peer")).To(BeFalse())
	s.observe("peer", &wire.StoreView{Lost: true})
	s.observe("peer", &wire.StoreView{})
	g.Expect(s.isLost("peer")).To(BeFalse())
}

// Guards against a duty that does not pass on because the next daemon hears of the loss
// only from a random synchronisation some seconds later.
func TestStoreLossIsReported(t *testing.T) {
	g := NewWithT(t)
	clk := clock.NewManual(1000 * clock.Second)
	v := newStoreView("self", clk)
	steps := []struct {
		failing, watching, changed bool
	}{
		{false, true, false}, {true, true, true}, {true, false, false}, {true, true, false}, {false, true, true}, {true, false, false},
	}
	for i, s := range steps {
		clk.Advance(200)
		g.Expect(v.recordOwn(s.failing, s.watching)).To(Equal(s.changed), "step %d", i)
	}
}
