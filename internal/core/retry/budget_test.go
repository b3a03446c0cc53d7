package retry_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/retry"
)

const began = 1000 * clock.Second

func attempt(repeatable bool, number, ran int, r call.Result) retry.Attempt {
	return retry.Attempt{
		Request: &call.Request{Repeatable: repeatable, Deadline: began + 1500, MaxAttempts: 2},
		Result:  r, Number: number, PossiblyRun: ran, StartedAt: began,
	}
}

// Guards against a call that runs on more upstreams than its route allows, a
// refusal of a guard that costs budget, and a non-idempotent call that is sent
// again after it may have run.
func TestFreeMoves(t *testing.T) {
	busy := call.Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonBusy}
	shed := call.Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonShed}
	lost := call.Result{Outcome: call.OutcomeUnknown, Failed: true}
	tests := map[string]struct {
		attempt retry.Attempt
		spent   int
		want    bool
	}{
		"guard refused":                   {attempt(false, 1, 0, busy), 0, true},
		"guard refused, no budget":        {attempt(false, 1, 0, busy), 10, true},
		"guards refused as often allowed": {attempt(false, 6, 0, busy), 0, false},
		"upstream refused":                {attempt(false, 1, 0, shed), 0, true},
		"upstream refused, no budget":     {attempt(false, 1, 0, shed), 10, false},
		"may have run":                    {attempt(false, 1, 1, lost), 0, false},
		"may have run, idempotent":        {attempt(true, 1, 1, lost), 0, true},
		"ran on as many as allowed":       {attempt(true, 4, 2, lost), 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := retry.New(retry.WithTokensPerCall(0.1, 3), retry.WithFreeFailover(6))
			for range tt.spent {
				p.Decide(began, attempt(true, 1, 1, lost))
			}
			g.Expect(p.Decide(began, tt.attempt).Retry).To(Equal(tt.want))
		})
	}
}

// Guards against retries that exceed the budget of a service which is called by
// runs that are repeated: a fifth of its calls, with the calls of repeated runs
// counted.
func TestErrorCost(t *testing.T) {
	g := NewWithT(t)
	const calls, perRun, allowed = 10_000, 1.4, 0.2
	outer := retry.New(retry.WithTokensPerCall(0.1, 3), retry.WithFreeFailover(6), retry.WithErrorCost(2))
	inner := retry.New(retry.WithTokensPerCall(0.1, 3), retry.WithFreeFailover(6), retry.WithErrorCost(2))
	repeated, extra := 0.0, 0.0
	for range calls {
		outer.RecordFirstAttempt(began)
		if outer.Decide(began, attempt(true, 1, 1, call.Result{Outcome: call.OutcomeAnswered, Failed: true})).Retry {
			repeated++
		}
	}
	innerCalls := perRun * (calls + repeated)
	for range int(innerCalls) {
		inner.RecordFirstAttempt(began)
		if inner.Decide(began, attempt(true, 1, 0, call.Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonShed})).Retry {
			extra++
		}
	}
	g.Expect((extra + perRun*repeated) / innerCalls).To(BeNumerically("<", allowed))
}
