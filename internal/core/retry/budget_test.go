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

// Guards against a fleet whose entries together retry more than its upstreams allow in
// one window: the saved tokens grew with the number of entries. The upstreams shed half
// of the calls for one window, after a calm time in which all entries saved tokens.
// Some calls come from runs of another service that were themselves retried.
func TestSharedReserve(t *testing.T) {
	tests := map[string]struct {
		entries, calls int
		reserve        float64
	}{
		"11 entries":   {11, 360, 60},
		"24 entries":   {24, 920, 31},
		"73 entries":   {73, 3200, 186},
		"195 entries":  {195, 9200, 430},
		"800 entries":  {800, 36_000, 1760},
		"3200 entries": {3200, 150_000, 7040},
	}
	const window, reserveShare, maxRetryFraction = 10 * clock.Second, 0.5, 0.2
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			fleet := func() int { return tt.entries }
			newPolicy := func() *retry.Policy {
				return retry.New(retry.WithTokensPerCall(0.1, 3), retry.WithFreeFailover(6), retry.WithErrorCost(2),
					retry.WithSharedReserve(reserveShare*tt.reserve, fleet))
			}
			repeats := 0
			for range tt.entries {
				repeats += retriesOfShedCalls(newPolicy(), newPolicy(), max(1, tt.calls/tt.entries), window)
			}
			g.Expect(float64(repeats)).To(BeNumerically("<=", maxRetryFraction*float64(tt.calls)+tt.reserve))
			// Retries must remain possible.
			g.Expect(repeats).To(BeNumerically(">=", tt.entries))
		})
	}
}

// retriesOfShedCalls plays one window of an entry in which every second call is shed and
// every second run of the calling service fails. It returns the repeated calls.
func retriesOfShedCalls(own, callers *retry.Policy, calls int, window clock.Milli) int {
	shed := call.Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonShed}
	failed := call.Result{Outcome: call.OutcomeAnswered, Failed: true}
	for range 100 {
		own.RecordFirstAttempt(startedAt)
		callers.RecordFirstAttempt(startedAt)
	}
	repeats := 0
	for i := range calls {
		now := startedAt + window*clock.Milli(i)/clock.Milli(calls)
		own.RecordFirstAttempt(now)
		callers.RecordFirstAttempt(now)
		if i%2 != 0 {
			continue
		}
		r := attempt(true, 1, 0, shed)
		r.Request.Deadline = now + clock.Second
		for ; own.Decide(now, r).Retry; r.Number++ {
			repeats++
		}
		r = attempt(true, 1, 1, failed)
		r.Request.Deadline = now + clock.Second
		if callers.Decide(now, r).Retry {
			repeats++
		}
	}
	return repeats
}
