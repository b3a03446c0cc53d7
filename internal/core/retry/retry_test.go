package retry_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/retry"
)

// Guards against retries that may run a request twice, that repeat the retries of a
// lower level, or that start too late.
func TestDecideStops(t *testing.T) {
	refused := call.Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonQueueFull}
	lost := call.Result{Outcome: call.OutcomeUnknown, Reason: call.ReasonLinkBroken}
	cases := map[string]struct {
		request call.Request
		result  call.Result
		number  int
		retry   bool
		reason  call.Reason
	}{
		"answered":                {call.Request{}, call.Result{Outcome: call.OutcomeAnswered}, 1, false, call.ReasonNone},
		"refused, not repeatable": {call.Request{}, refused, 1, true, call.ReasonRetry},
		"lost, not repeatable":    {call.Request{}, lost, 1, false, call.ReasonMayNotRepeat},
		"lost, repeatable":        {call.Request{Repeatable: true}, lost, 1, true, call.ReasonRetry},
		"failed, not repeatable":  {call.Request{}, call.Result{Outcome: call.OutcomeAnswered, Failed: true}, 1, false, call.ReasonMayNotRepeat},
		"retried below":           {call.Request{Retried: true}, refused, 1, false, call.ReasonRetriedBelow},
		"last attempt":            {call.Request{}, refused, retry.MaxAttempts, false, call.ReasonRetryBudget},
		"past the deadline":       {call.Request{Deadline: 5}, refused, 1, false, call.ReasonDeadline},
		"cancelled":               {call.Request{}, call.Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonCancelled}, 1, false, call.ReasonCancelled},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			if c.request.Deadline == 0 {
				c.request.Deadline = 1000
			}
			decision := retry.New().Decide(10, retry.Attempt{Request: &c.request, Result: c.result, Number: c.number})
			g.Expect(decision.Retry).To(Equal(c.retry))
			g.Expect(decision.Reason).To(Equal(c.reason))
		})
	}
}

// Guards against attempts beyond the budget: for any results, they must stay under
// 1.1 per call plus the reserve of two attempts.
func TestBudgetBoundsAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := retry.New()
		now, calls, extraAttempts := clock.Milli(1), 0, 0
		for range rapid.IntRange(50, 500).Draw(t, "calls") {
			now += clock.Milli(rapid.Float64Range(0, 20).Draw(t, "gap"))
			calls++
			p.RecordFirstAttempt(now)
			r := call.Request{Repeatable: true, Deadline: now + 1000}
			for number := 1; ; number++ {
				x := call.Result{Outcome: call.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")), Latency: 10}
				if _, ok := p.HedgeDelay(now, retry.Attempt{Request: &r, Number: number}); ok && p.MayHedge() {
					p.RecordHedge(now)
					extraAttempts++
				}
				if !p.Decide(now, retry.Attempt{Request: &r, Result: x, Number: number}).Retry {
					break
				}
				extraAttempts++
			}
			if limit := 0.1*float64(calls) + 2; float64(extraAttempts) > limit {
				t.Fatalf("%d extra attempts for %d calls, limit %v", extraAttempts, calls, limit)
			}
		}
	})
}

// Guards against retries that multiply in deep call chains: when the lowest level
// refuses everything, only the level directly above it may retry.
func TestChainsDoNotMultiplyAttempts(t *testing.T) {
	g := NewWithT(t)
	const rootCalls = 20_000
	levels := make([]*retry.Policy, call.MaxDepth)
	for i := range levels {
		levels[i] = retry.New()
	}
	attempts := make([]int, call.MaxDepth+1)
	now := clock.Milli(1)
	var serve func(depth int) (refused, final bool)
	serve = func(depth int) (bool, bool) {
		attempts[depth]++
		if depth == call.MaxDepth {
			return true, false
		}
		r := call.Request{Repeatable: true, Deadline: now + 1000, Depth: depth}
		levels[depth].RecordFirstAttempt(now)
		if _, ok := levels[depth].HedgeDelay(now, retry.Attempt{Request: &r, Number: 1}); ok && levels[depth].MayHedge() {
			levels[depth].RecordHedge(now)
			serve(depth + 1)
		}
		for number := 1; ; number++ {
			refused, belowFinal := serve(depth + 1)
			r.Retried = r.Retried || belowFinal
			decision := levels[depth].Decide(now, retry.Attempt{
				Request: &r, Number: number, Result: call.Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonQueueFull},
			})
			if !decision.Retry {
				return refused, decision.Final || belowFinal
			}
		}
	}
	for range rootCalls {
		now++
		serve(0)
	}
	for depth, n := range attempts {
		g.Expect(float64(n)/rootCalls).To(BeNumerically("<=", 1.1), "depth %d", depth)
	}
}

// Guards against hedges at every level of a chain, as the hedged fractions would
// multiply, and against hedges of requests that may run only once.
func TestHedgesAreLimited(t *testing.T) {
	cases := map[string]struct {
		request call.Request
		refused bool
		hedges  bool
	}{
		"repeatable":     {call.Request{Repeatable: true}, false, true},
		"not repeatable": {call.Request{}, false, false},
		"deep":           {call.Request{Repeatable: true, Depth: 2}, false, false},
		"background":     {call.Request{Repeatable: true, Class: call.Background}, false, false},
		"overload":       {call.Request{Repeatable: true}, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := retry.New()
			c.request.Deadline = 1e6
			for i := range 1000 {
				p.RecordFirstAttempt(clock.Milli(i))
				r := call.Result{Outcome: call.OutcomeAnswered, Latency: 10}
				if c.refused && i%10 == 0 {
					r = call.Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonQueueFull}
				}
				p.Decide(clock.Milli(i), retry.Attempt{Request: &call.Request{Retried: true}, Result: r, Number: 1})
			}
			_, ok := p.HedgeDelay(1000, retry.Attempt{Request: &c.request, Number: 1})
			NewWithT(t).Expect(ok).To(Equal(c.hedges))
		})
	}
}
