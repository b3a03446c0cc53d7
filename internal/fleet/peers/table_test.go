package peers_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
)

func record(id string, incarnation, seq uint64) peers.Record {
	return peers.Record{ID: id, Incarnation: incarnation, Seq: seq, Service: "s", Instance: "u", Version: "v1", Slots: 6}
}

func with(r peers.Record, f func(*peers.Record)) peers.Record {
	f(&r)
	return r
}

// Guards against calls to an upstream that is not known, leaves, is gone or
// can't be reached, and against stale records that bring one back.
func TestTargets(t *testing.T) {
	gone := func(r *peers.Record) { r.Gone = true }
	leaving := func(r *peers.Record) { r.Leaving = true }
	tests := map[string]struct {
		records []peers.Record
		linked  bool
		want    int
	}{
		"usable":             {[]peers.Record{record("b", 1, 1)}, true, 1},
		"not linked":         {[]peers.Record{record("b", 1, 1)}, false, 0},
		"no upstream":        {[]peers.Record{with(record("b", 1, 1), func(r *peers.Record) { r.Instance = "" })}, true, 0},
		"leaving":            {[]peers.Record{record("b", 1, 1), with(record("b", 1, 2), leaving)}, true, 0},
		"gone":               {[]peers.Record{with(record("b", 1, 2), gone), record("b", 1, 1)}, true, 0},
		"restarted":          {[]peers.Record{with(record("b", 1, 9), gone), record("b", 2, 1)}, true, 1},
		"record of the past": {[]peers.Record{with(record("b", 2, 1), leaving), record("b", 1, 9)}, true, 0},
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

// Guards against records that change in the store's form.
func TestMarshal(t *testing.T) {
	g := NewWithT(t)
	r := peers.Record{
		ID: "10.0.0.1:7000", Incarnation: 7, Seq: 3, Gone: true, Centre: "c", Region: "r", Service: "s",
		Instance: "u", StartedAt: 1700000000123, Version: "v", Slots: 6, Leaving: true,
	}
	b, err := r.Marshal()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(peers.Unmarshal(b)).To(Equal(r))
}

// Guards against tables that seem equal though they differ.
func TestHash(t *testing.T) {
	g := NewWithT(t)
	a, b := peers.New("a"), peers.New("a")
	a.Merge(record("b", 1, 1), record("c", 1, 1))
	b.Merge(record("c", 1, 1), record("b", 1, 1))
	g.Expect(a.Hash()).To(Equal(b.Hash()))
	b.Merge(record("b", 1, 2))
	g.Expect(a.Hash()).NotTo(Equal(b.Hash()))
}
