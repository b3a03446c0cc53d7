package ledger_test

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/ledger"
)

const deadline = 1000

// Guards against a record that expires too early or is ignored.
func TestLedger(t *testing.T) {
	id := call.ID{1}
	booking := &call.Request{ID: id, Deadline: deadline}
	lookup := &call.Request{ID: id, Deadline: deadline, Repeatable: true}
	type step struct {
		at       clock.Milli
		dispatch *call.Request
		want     call.Reason
		fence    call.Outcome
	}
	tests := map[string][]step{
		"once":                       {{0, booking, call.ReasonNone, 0}, {1, booking, call.ReasonDuplicate, 0}},
		"lookup may repeat":          {{0, lookup, call.ReasonNone, 0}, {1, lookup, call.ReasonNone, 0}},
		"at the deadline":            {{deadline, booking, call.ReasonDeadline, 0}},
		"fence before dispatch":      {{0, nil, 0, call.OutcomeNotRun}, {1, booking, call.ReasonFenced, 0}, {2, lookup, call.ReasonFenced, 0}},
		"fence twice":                {{0, nil, 0, call.OutcomeNotRun}, {1, nil, 0, call.OutcomeNotRun}},
		"fence after dispatch":       {{0, booking, call.ReasonNone, 0}, {1, nil, 0, call.OutcomeUnknown}},
		"kept for the minimum time":  {{0, booking, call.ReasonNone, 0}, {deadline + ledger.MinRetention - 1, nil, 0, call.OutcomeUnknown}},
		"fence after expiry":         {{deadline + ledger.MinRetention, nil, 0, call.OutcomeUnknown}},
		"late fence, not dispatched": {{deadline + ledger.MinRetention - 1, nil, 0, call.OutcomeNotRun}},
		"fence kept past deadline":   {{deadline + 10, nil, 0, call.OutcomeNotRun}, {deadline + 20, booking, call.ReasonDeadline, 0}},
		"lookup after failed fence":  {{0, lookup, call.ReasonNone, 0}, {5, nil, 0, call.OutcomeUnknown}, {6, lookup, call.ReasonNone, 0}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := ledger.New()
			for i, s := range steps {
				if s.dispatch != nil {
					g.Expect(l.TryDispatch(s.at, s.dispatch)).To(Equal(s.want), "step %d", i)
				} else {
					g.Expect(l.Fence(s.at, id, deadline)).To(Equal(s.fence), "step %d", i)
				}
			}
		})
	}
}

// Guards against running a request that was reported as not run, or reporting one
// as not run that ran, in any order of events, and against records that never expire.
func TestLedgerInRandomOrder(t *testing.T) {
	for seed := range uint64(50) {
		g := NewWithT(t)
		r := rand.New(rand.NewPCG(seed, 1))
		l := ledger.New()
		ran, notRun := map[call.ID]bool{}, map[call.ID]bool{}
		now := clock.Milli(0)
		for i := range 2000 {
			now += clock.Milli(r.Float64() * 100)
			var id call.ID
			binary.BigEndian.PutUint64(id[:], uint64(i/4)+uint64(r.IntN(3)))
			if r.IntN(2) == 0 {
				if l.TryDispatch(now, &call.Request{ID: id, Deadline: now + 500}) == call.ReasonNone {
					g.Expect(ran[id] || notRun[id]).To(BeFalse(), "seed %d", seed)
					ran[id] = true
				}
			} else if l.Fence(now, id, now+500) == call.OutcomeNotRun {
				g.Expect(ran[id]).To(BeFalse(), "seed %d", seed)
				notRun[id] = true
			}
		}
		l.TryDispatch(now+2*ledger.MinRetention, &call.Request{ID: call.ID{15: 9}, Deadline: now + 3*ledger.MinRetention})
		g.Expect(l.Len()).To(Equal(1), "seed %d", seed)
	}
}
