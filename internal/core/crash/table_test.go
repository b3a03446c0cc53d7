package crash_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/crash"
)

const start = 1000 * clock.Second

// Guards against a request that crashes upstream after upstream, and against one that is
// held although something else ended the upstreams.
func TestHold(t *testing.T) {
	const deadly, other, third crash.Fingerprint = 7, 8, 9
	tests := map[string]struct {
		setup func(table *crash.Table)
		held  map[crash.Fingerprint]bool
	}{
		"two crashes": {func(table *crash.Table) {
			table.RecordCrash(start, 1, []crash.Fingerprint{deadly})
			table.RecordCrash(start+100, 2, []crash.Fingerprint{deadly})
		}, map[crash.Fingerprint]bool{deadly: false}},
		"three crashes": {func(table *crash.Table) {
			for id := range uint64(3) {
				table.RecordCrash(start, id, []crash.Fingerprint{deadly})
			}
		}, map[crash.Fingerprint]bool{deadly: true}},
		"one crash that three daemons report": {func(table *crash.Table) {
			for range 3 {
				table.RecordCrash(start, 1, []crash.Fingerprint{deadly})
			}
		}, map[crash.Fingerprint]bool{deadly: false}},
		"others beside it in each crash but one": {func(table *crash.Table) {
			table.RecordCrash(start, 1, []crash.Fingerprint{deadly, other, third})
			table.RecordCrash(start, 2, []crash.Fingerprint{deadly, other})
			table.RecordCrash(start, 3, []crash.Fingerprint{deadly, third})
			table.RecordCrash(start, 4, []crash.Fingerprint{deadly, other, third})
		}, map[crash.Fingerprint]bool{deadly: true, other: false, third: false}},
		"kills, answered in between": {func(table *crash.Table) {
			for id := range uint64(6) {
				table.RecordCrash(start+clock.Milli(id), id, []crash.Fingerprint{other})
				if id%2 == 1 {
					table.RecordAnswer(start+clock.Milli(id)+0.5, other)
				}
			}
		}, map[crash.Fingerprint]bool{other: false}},
		"answered elsewhere after the hold began": {func(table *crash.Table) {
			for id := range uint64(3) {
				table.RecordCrash(start, id, []crash.Fingerprint{other})
			}
			table.Merge(start+50, crash.Record{Fingerprint: other, AnsweredAt: start + 40})
		}, map[crash.Fingerprint]bool{other: false}},
		"crashes that other daemons saw": {func(table *crash.Table) {
			table.RecordCrash(start, 1, []crash.Fingerprint{deadly})
			table.Merge(start, crash.Record{Fingerprint: deadly, Strikes: []crash.Strike{{ID: 2, At: start}}})
			table.Merge(start, crash.Record{Fingerprint: deadly, Strikes: []crash.Strike{{ID: 3, At: start}}})
		}, map[crash.Fingerprint]bool{deadly: true}},
		"requests without a fingerprint": {func(table *crash.Table) {
			for id := range uint64(5) {
				table.RecordCrash(start, id, []crash.Fingerprint{0})
			}
		}, map[crash.Fingerprint]bool{0: false}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := crash.New()
			tt.setup(table)
			for p, held := range tt.held {
				g.Expect(table.HoldTime(start+100, p) > 0).To(Equal(held), "fingerprint %d", p)
			}
		})
	}
}

// Guards against a request that is held for good although it has become harmless, and
// against one that crashes an upstream each time that its hold ends.
func TestTrialAfterHold(t *testing.T) {
	g := NewWithT(t)
	table := crash.New()
	for id := range uint64(3) {
		table.RecordCrash(start, id, []crash.Fingerprint{7})
	}
	wait := table.Admit(start, 7)
	g.Expect(wait).To(BeNumerically(">", 10*clock.Second))
	at := start + wait
	g.Expect(table.Admit(at, 7)).To(BeZero())
	g.Expect(table.Admit(at+1, 7)).To(BeNumerically(">", 0))
	table.RecordCrash(at+100, 10, []crash.Fingerprint{7})
	again := table.Admit(at+100, 7)
	g.Expect(again).To(BeNumerically(">", wait))
	at += 100 + again
	g.Expect(table.Admit(at, 7)).To(BeZero())
	_, spread := table.RecordAnswer(at+100, 7)
	g.Expect(spread).To(BeTrue())
	g.Expect(table.Admit(at+101, 7)).To(BeZero())
	g.Expect(table.Admit(at+102, 7)).To(BeZero())
}

// Guards against a table that grows without limit, and against one that loses a deadly
// request because callers send endless others beside crashing upstreams.
func TestTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := crash.New()
	for id := range uint64(3) {
		table.RecordCrash(start, id, []crash.Fingerprint{7})
	}
	for id := range uint64(5000) {
		table.RecordCrash(start+clock.Milli(id), 100+id, []crash.Fingerprint{crash.Fingerprint(1000 + id)})
	}
	g.Expect(len(table.Records(start + 5000))).To(BeNumerically("<=", 2048))
	g.Expect(table.HoldTime(start+5000, 7)).To(BeNumerically(">", 0))
	g.Expect(table.Records(start + clock.Hour)).To(BeEmpty())
}

// Guards against two requests that count as the same because their parts run together.
func TestFingerprint(t *testing.T) {
	g := NewWithT(t)
	base := crash.NewFingerprint([]byte("body"), "caller", "GET", "host", "/a")
	g.Expect(crash.NewFingerprint([]byte("body"), "caller", "GET", "host", "/a")).To(Equal(base))
	for name, p := range map[string]crash.Fingerprint{
		"body":   crash.NewFingerprint([]byte("other"), "caller", "GET", "host", "/a"),
		"caller": crash.NewFingerprint([]byte("body"), "another", "GET", "host", "/a"),
		"path":   crash.NewFingerprint([]byte("body"), "caller", "GET", "host", "/b"),
		"moved":  crash.NewFingerprint([]byte("body"), "caller", "GET", "host/", "a"),
	} {
		g.Expect(p).NotTo(Equal(base), name)
	}
}
