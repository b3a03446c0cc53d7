package mesh

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/canary"
)

// Guards against a move that ends as succeeded because this daemon's records lack the other
// version: they are not all there, they are older than the order, or a daemon has just restarted.
func TestOnlyVersionNeedsRecords(t *testing.T) {
	own := peers.Record{ID: "a", Incarnation: 1, Seq: 1, Service: moveService, Instance: "i-a", Version: "v2"}
	other := peers.Record{ID: "b", Incarnation: 1, Seq: 1, Service: moveService, Instance: "i-b", Version: "v1"}
	with := func(change func(r *peers.Record)) []peers.Record {
		r := other
		change(&r)
		return []peers.Record{own, r}
	}
	alone := []peers.Record{own}
	readAfterOrder := func(v *recordsView, m *moveTracker) { v.recordRead(m.clock.Now()) }
	tests := map[string]struct {
		records  []peers.Record
		read     func(v *recordsView, m *moveTracker)
		wantOnly bool
		want     canary.Phase
	}{
		"all records, read after the order":  {alone, readAfterOrder, true, canary.Succeeded},
		"all records, read before the order": {alone, func(v *recordsView, _ *moveTracker) { v.recordRead(1) }, true, canary.Running},
		"all records from a peer":            {alone, func(v *recordsView, _ *moveTracker) { v.setComplete() }, true, canary.Running},
		"no records of others":               {alone, func(*recordsView, *moveTracker) {}, false, canary.Running},
		"other version":                      {with(func(*peers.Record) {}), readAfterOrder, false, canary.Running},
		"daemon of other version stopped":    {with(func(r *peers.Record) { r.Stopped = true }), readAfterOrder, false, canary.Running},
		"daemon has no upstream yet":         {with(func(r *peers.Record) { r.Instance = "" }), readAfterOrder, false, canary.Running},
		"other version has left":             {with(func(r *peers.Record) { r.Leaving, r.Stopped = true, true }), readAfterOrder, true, canary.Succeeded},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newTestReporter(loopbackNet{}, "a", []string{"a"}).moves
			m.complete.Store(true)
			m.loadedAt -= recordsSettleTime + clock.Second
			m.records = &recordsView{}
			m.table.Merge(tt.records...)
			tt.read(m.records, m)
			m.evaluate(m.clock.Now())
			split := m.serviceSplit(moveService)
			g.Expect(split.share == 1).To(Equal(tt.wantOnly))
			g.Expect(m.byService[moveService].move.Phase()).To(Equal(tt.want))
		})
	}
}

// Guards against a share that grows by the verdict of a daemon that knows no other: it considers
// itself a judge, and its comparison has only the calls that it made itself.
func TestShareGrowsOnlyWithAllRecords(t *testing.T) {
	g := NewWithT(t)
	reporter := newTestReporter(loopbackNet{}, "a", []string{"a"})
	m := reporter.moves
	m.records = &recordsView{}
	s := m.byService[moveService]
	s.otherVersionSeen = true
	s.move.MergeStart(m.clock.Now() - s.move.Order().MaxDuration)
	reporter.finishCall(1, admit.Result{})
	reporter.report(t.Context())
	g.Expect(m.evaluate(m.clock.Now())).To(BeFalse())
	m.records.setComplete()
	g.Expect(m.evaluate(m.clock.Now())).To(BeTrue())
	g.Expect(m.serviceSplit(moveService).share).To(BeNumerically(">", 0.1))
}

// Guards against a bad version that a daemon without the records of others does not roll back.
func TestRollbackWithoutRecords(t *testing.T) {
	g := NewWithT(t)
	reporter := newTestReporter(loopbackNet{}, "a", []string{"a"})
	m := reporter.moves
	m.records = &recordsView{}
	for i := range byte(rollbackFailures) {
		reporter.failCall(i)
	}
	reporter.report(t.Context())
	m.evaluate(m.clock.Now())
	g.Expect(m.byService[moveService].move.Phase()).To(Equal(canary.RolledBack))
}

// Guards against a success that only some daemons saw before a later order replaced the move: it
// excluded the versions before it, whose upstreams still run. The success that the store has
// counts.
func TestReplacedSuccessCountsOnlyIfStored(t *testing.T) {
	tests := map[string]struct{ stored bool }{"stored": {true}, "not stored": {false}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			from, to := newTestReporter(loopbackNet{}, "a", nil).moves, newTestReporter(loopbackNet{}, "b", nil).moves
			next := order.Move{Service: moveService, Version: "v3", MaxDuration: 10 * clock.Second, Position: 2}
			newest := &order.ActiveSet{Moves: map[string]order.Move{moveService: next}}
			to.applyOrders(newest)
			s := from.byService[moveService]
			s.move.SetFinalPhase(canary.Succeeded, "")
			if tt.stored {
				from.markStored(moveService, s.move.Outcome())
			}
			to.merge(1, from.encode(1), false)
			from.applyOrders(newest)
			for _, m := range []*moveTracker{from, to} {
				earlier := m.byService[moveService].move.Earlier()
				g.Expect(earlier.Allows("v1")).To(Equal(!tt.stored))
				g.Expect(earlier.Allows("v2")).To(Equal(tt.stored))
			}
		})
	}
}
