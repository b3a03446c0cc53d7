package peers_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
)

func newRecord(id string, incarnation, seq uint64) peers.Record {
	return peers.Record{ID: id, Incarnation: incarnation, Seq: seq, Service: "s", Instance: "u", Version: "v1", Slots: 6}
}

func modify(r peers.Record, f func(*peers.Record)) peers.Record {
	f(&r)
	return r
}

// Guards against calls to an upstream that is unknown or leaving, or whose daemon has
// stopped or has no open link, and against stale records that make it a target again.
func TestTargets(t *testing.T) {
	stopped := func(r *peers.Record) { r.Stopped = true }
	leaving := func(r *peers.Record) { r.Leaving = true }
	tests := map[string]struct {
		records []peers.Record
		linked  bool
		want    int
	}{
		"usable":              {[]peers.Record{newRecord("b", 1, 1)}, true, 1},
		"not linked":          {[]peers.Record{newRecord("b", 1, 1)}, false, 0},
		"unknown upstream":    {[]peers.Record{modify(newRecord("b", 1, 1), func(r *peers.Record) { r.Instance = "" })}, true, 0},
		"leaving":             {[]peers.Record{newRecord("b", 1, 1), modify(newRecord("b", 1, 2), leaving)}, true, 0},
		"stopped":             {[]peers.Record{modify(newRecord("b", 1, 2), stopped), newRecord("b", 1, 1)}, true, 0},
		"restarted":           {[]peers.Record{modify(newRecord("b", 1, 9), stopped), newRecord("b", 2, 1)}, true, 1},
		"earlier incarnation": {[]peers.Record{modify(newRecord("b", 2, 1), leaving), newRecord("b", 1, 9)}, true, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tab := peers.New("a")
			tab.Merge(tt.records...)
			tab.SetLinked("b", tt.linked)
			g.Expect(tab.Targets("s")).To(HaveLen(tt.want))
		})
	}
}

// Guards against fields that are lost or altered by encoding and decoding.
func TestMarshal(t *testing.T) {
	g := NewWithT(t)
	r := peers.Record{
		ID: "10.0.0.1:7000", Incarnation: 7, Seq: 3, Stopped: true, Centre: "c", Region: "r", Service: "s",
		Instance: "u", StartedAt: 1700000000123, Version: "v", Slots: 6, Leaving: true,
	}
	b, err := r.Marshal()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(peers.Unmarshal(b)).To(Equal(r))
}

// Guards against different tables with equal hashes, and the reverse.
func TestHash(t *testing.T) {
	g := NewWithT(t)
	a, b := peers.New("a"), peers.New("a")
	a.Merge(newRecord("b", 1, 1), newRecord("c", 1, 1))
	b.Merge(newRecord("c", 1, 1), newRecord("b", 1, 1))
	g.Expect(a.Hash()).To(Equal(b.Hash()))
	b.Merge(newRecord("b", 1, 2))
	g.Expect(a.Hash()).NotTo(Equal(b.Hash()))
}

// Guards against a restarted daemon that does not receive the record in which its upstream was
// leaving, in whatever order the records of its successors arrive, or receives that of another
// upstream.
func TestPredecessor(t *testing.T) {
	leaving := modify(newRecord("b", 1, 2), func(r *peers.Record) { r.Leaving = true })
	unknown := modify(newRecord("b", 2, 1), func(r *peers.Record) { r.Instance = "" })
	other := modify(newRecord("b", 2, 1), func(r *peers.Record) { r.Instance = "v" })
	restarted := modify(newRecord("b", 2, 1), func(r *peers.Record) { r.StartedAt = 7 })
	tests := map[string]struct {
		merge []peers.Record
		asked peers.Record
		want  bool
	}{
		"no upstream yet":            {[]peers.Record{leaving, unknown}, unknown, true},
		"says that it is ready":      {[]peers.Record{leaving, newRecord("b", 2, 1)}, newRecord("b", 2, 1), true},
		"restarted twice":            {[]peers.Record{leaving, unknown, newRecord("b", 3, 1)}, newRecord("b", 3, 1), true},
		"has it":                     {[]peers.Record{leaving, unknown}, modify(newRecord("b", 2, 2), func(r *peers.Record) { r.Leaving = true }), false},
		"another instance":           {[]peers.Record{leaving, other}, other, false},
		"later start, same id":       {[]peers.Record{leaving, restarted}, restarted, false},
		"was not leaving":            {[]peers.Record{newRecord("b", 1, 2), unknown}, unknown, false},
		"the daemon itself":          {[]peers.Record{leaving}, newRecord("b", 1, 1), false},
		"only the successor's known": {[]peers.Record{unknown}, unknown, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tab := peers.New("a")
			for _, r := range tt.merge {
				tab.Merge(r)
			}
			got, ok := tab.Predecessor(tt.asked)
			g.Expect(ok).To(Equal(tt.want))
			if ok {
				g.Expect(got).To(Equal(leaving))
			}
		})
	}
}
