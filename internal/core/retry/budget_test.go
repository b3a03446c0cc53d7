package retry_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/retry"
)

const startedAt = 1000 * clock.Second

func attempt(repeatable bool, number, possiblyRun int, r call.Result) retry.Attempt {
	return retry.Attempt{
		Request: &call.Request{Repeatable: repeatable, Deadline: startedAt + 1500, MaxAttempts: 2},
		Result:  r, Number: number, PossiblyRun: possiblyRun, StartedAt: startedAt,
	}
}

// Guards against a call that runs on more upstreams than its route allows, a
// guard's refusal that is charged to the budget, and a non-idempotent call that
// is retried although it may have run.
func TestFreeFailover(t *testing.T) {
	busy := call.Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonBusy}
	shed := call.Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonShed}
	lost := call.Result{Outcome: call.OutcomeUnknown, Failed: true}
	tests := map[string]struct {
		attempt retry.Attempt
		retries int
		want    bool
	}{
		"guard refused":                   {attempt(false, 1, 0, busy), 0, true},
		"guard refused, no budget":        {attempt(false, 1, 0, busy), 10, true},
		"guard refused, attempts used up": {attempt(false, 6, 0, busy), 0, false},
		"upstream refused":                {attempt(false, 1, 0, shed), 0, true},
		"upstream refused, no budget":     {attempt(false, 1, 0, shed), 10, false},
		"may have run":                    {attempt(false, 1, 1, lost), 0, false},
		"may have run, idempotent":        {attempt(true, 1, 1, lost), 0, true},
		"may have run, limit reached":     {attempt(true, 4, 2, lost), 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := retry.New(retry.WithTokensPerCall(0.1, 3), retry.WithFreeFailover(6))
			for range tt.retries {
				p.Decide(startedAt, attempt(true, 1, 1, lost))
			}
			g.Expect(p.Decide(startedAt, tt.attempt).Retry).To(Equal(tt.want))
		})
	}
}

// Guards against retries above a fifth of a service's calls if its callers are
// themselves retried: a retried run repeats its calls to the service, and these
// count too.
func TestErrorCost(t *testing.T) {
	g := NewWithT(t)
	const calls, callsPerRun, maxRetryFraction = 10_000, 1.4, 0.2
	outer := retry.New(retry.WithTokensPerCall(0.1, 3), retry.WithFreeFailover(6), retry.WithErrorCost(2))
	inner := retry.New(retry.WithTokensPerCall(0.1, 3), retry.WithFreeFailover(6), retry.WithErrorCost(2))
	repeated, extra := 0.0, 0.0
	for range calls {
		outer.RecordFirstAttempt(startedAt)
		if outer.Decide(startedAt, attempt(true, 1, 1, call.Result{Outcome: call.OutcomeAnswered, Failed: true})).Retry {
			repeated++
		}
	}
	innerCalls := callsPerRun * (calls + repeated)
	for range int(innerCalls) {
		inner.RecordFirstAttempt(startedAt)
		if inner.Decide(startedAt, attempt(true, 1, 0, call.Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonShed})).Retry {
			extra++
		}
	}
	g.Expect((extra + callsPerRun*repeated) / innerCalls).To(BeNumerically("<", maxRetryFraction))
}
