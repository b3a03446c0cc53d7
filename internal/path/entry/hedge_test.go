package entry_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/bench/inproc"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/retry"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/entry"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/guard"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// fixedRetryPolicy hedges and retries after fixed delays.
type fixedRetryPolicy struct {
	*retry.Policy
	hedgeDelay, retryDelay clock.Milli
	budgetExhausted        bool
}

func (p *fixedRetryPolicy) HedgeDelay(clock.Milli, retry.Attempt) (clock.Milli, bool) {
	return p.hedgeDelay, p.hedgeDelay > 0
}

func (p *fixedRetryPolicy) MayHedge() bool { return true }

func (p *fixedRetryPolicy) Decide(now clock.Milli, a retry.Attempt) retry.Decision {
	decision := p.Policy.Decide(now, a)
	decision.Delay = p.retryDelay
	if p.budgetExhausted {
		decision = retry.Decision{Reason: call.ReasonRetryBudget}
	}
	return decision
}

func withPolicy(p fixedRetryPolicy) entry.Option {
	p.Policy = retry.New()
	return entry.WithRetrier(func() entry.Retrier { return &p })
}

// Guards against hedges of calls that are not repeatable or can't be sent twice,
// losing attempts that are not cancelled, and a second response to the caller.
func TestHedges(t *testing.T) {
	// A hedged call takes longer than any delay of a busy machine, as does the time until the
	// hedge of a fast one.
	const hedgeDelayMs, lateHedgeDelayMs, fastMs, mediumMs, slowMs, endlessMs = 40, 1000, 1, 400, 400, 20000
	tests := map[string]struct {
		method, body string
		hedgeDelay   clock.Milli
		// serviceTimesMs are the service times of the first and of later runs.
		serviceTimesMs [2]int
		runs           int32
		answer         string
		attempts       int
	}{
		"slow lookup is hedged":                       {"GET", "", hedgeDelayMs, [2]int{endlessMs, fastMs}, 2, "late", 2},
		"first attempt answers before its hedge":      {"GET", "", hedgeDelayMs, [2]int{mediumMs, endlessMs}, 2, "early", 2},
		"fast lookup is not hedged":                   {"GET", "", lateHedgeDelayMs, [2]int{fastMs, fastMs}, 1, "early", 1},
		"booking is not hedged":                       {"POST", "", hedgeDelayMs, [2]int{slowMs, fastMs}, 1, "early", 1},
		"streamed upload is not hedged":               {"PUT", strings.Repeat("u", 100<<10), hedgeDelayMs, [2]int{slowMs, fastMs}, 1, "early", 1},
		"both attempts finish at about the same time": {"GET", "", hedgeDelayMs, [2]int{hedgeDelayMs + 2, 1}, 2, "", 2},
		"small repeatable upload is hedged":           {"PUT", "abc", hedgeDelayMs, [2]int{endlessMs, fastMs}, 2, "late", 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			u := newFakeUpstream(false)
			cancelled := make(chan struct{}, 2)
			serve := func(w http.ResponseWriter, r *http.Request) {
				// The server notices a cancelled request only after its body.
				_, _ = io.Copy(io.Discard, r.Body)
				n, answer := u.runs.Add(1), "early"
				if n > 1 {
					n, answer = 2, "late"
				}
				select {
				case <-time.After(time.Duration(tt.serviceTimesMs[n-1]) * time.Millisecond):
				case <-r.Context().Done():
					cancelled <- struct{}{}
				}
				_, _ = w.Write([]byte(answer))
			}
			harness := inproc.New(t, withPolicy(fixedRetryPolicy{hedgeDelay: tt.hedgeDelay}))
			harness.AddNode(inproc.NodeSpec{Handler: serve})
			harness.AddNode(inproc.NodeSpec{Handler: serve})
			r := harness.Do(harness.Request(tt.method, "/", strings.NewReader(tt.body)))
			g.Expect(r.Err).NotTo(HaveOccurred())
			g.Expect(r.Status).To(Equal(200))
			if tt.answer != "" {
				g.Expect(string(r.Body)).To(Equal(tt.answer))
				g.Expect(u.runs.Load()).To(Equal(tt.runs))
				g.Expect(harness.NextCallSummary().Attempts).To(Equal(tt.attempts))
				for range tt.runs - 1 {
					g.Eventually(cancelled, "2s").Should(Receive(), "losing attempt is cancelled")
				}
			}
			if tt.runs == 1 {
				// A hedge must not start later either.
				g.Consistently(u.runs.Load, (tt.hedgeDelay + 100).Duration()).Should(Equal(tt.runs))
			}
		})
	}
}

// Guards against a failed call when the first attempt breaks while its hedge is
// still running.
func TestHedgeOutlivesFirstAttempt(t *testing.T) {
	g := NewWithT(t)
	harness := inproc.New(t, withPolicy(fixedRetryPolicy{hedgeDelay: 20}))
	u := newFakeUpstream(true)
	a := harness.AddNode(inproc.NodeSpec{Handler: u.serve})
	b := harness.AddNode(inproc.NodeSpec{Handler: u.serve})
	done := make(chan inproc.Reply, 1)
	go func() { done <- harness.Do(harness.Request("GET", "/", nil)) }()
	<-u.running
	<-u.running
	a.Proxy.Reset()
	time.Sleep(30 * time.Millisecond)
	close(u.release)
	g.Expect((<-done).Status).To(Equal(200))
	g.Expect(u.runs.Load()).To(BeNumerically("==", 2))
	g.Eventually(b.Guard.InProgress).Should(BeZero())
}

// Guards against retries that ignore the delay of the policy or multiply over the
// levels of a call chain.
func TestRetryRules(t *testing.T) {
	refuseOverloaded := []guard.Option{guard.WithAdmissionCheck(refuseAll)}
	refuseCentreOut := []guard.Option{guard.WithAdmissionCheck(func(clock.Milli, *call.Request) call.Reason { return call.ReasonCentreOut })}
	refuseAfterRetries := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(header.Retried, "1")
		w.Header().Set(header.Outcome, call.OutcomeNotRun.String())
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	tests := map[string]struct {
		policy      fixedRetryPolicy
		node        inproc.NodeSpec
		attempts    int
		retried     string
		minDuration time.Duration
	}{
		"refused everywhere":         {fixedRetryPolicy{}, inproc.NodeSpec{GuardOptions: refuseOverloaded}, 2, "1", 0},
		"retry after the delay":      {fixedRetryPolicy{retryDelay: 60}, inproc.NodeSpec{GuardOptions: refuseOverloaded}, 2, "1", 60 * time.Millisecond},
		"delay beyond the deadline":  {fixedRetryPolicy{retryDelay: 5000}, inproc.NodeSpec{GuardOptions: refuseOverloaded}, 1, "", 0},
		"retry budget is exhausted":  {fixedRetryPolicy{budgetExhausted: true}, inproc.NodeSpec{GuardOptions: refuseOverloaded}, 1, "1", 0},
		"data centre is out":         {fixedRetryPolicy{}, inproc.NodeSpec{GuardOptions: refuseCentreOut}, 1, "", 0},
		"refusal from a lower level": {fixedRetryPolicy{}, inproc.NodeSpec{Handler: refuseAfterRetries}, 1, "1", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			harness := inproc.New(t, withPolicy(tt.policy))
			harness.AddNode(tt.node)
			harness.AddNode(tt.node)
			began := time.Now()
			r := harness.Do(harness.Request("GET", "/", nil))
			g.Expect(time.Since(began)).To(BeNumerically(">=", tt.minDuration))
			g.Expect(r.Status).To(Equal(503))
			g.Expect(r.Header.Get(header.Retried)).To(Equal(tt.retried))
			g.Expect(harness.NextCallSummary().Attempts).To(Equal(tt.attempts))
		})
	}
}

// Guards against answering more probes than the guard's budget for its upstream
// allows, and against probes that reach the upstream.
func TestProbes(t *testing.T) {
	g := NewWithT(t)
	harness := inproc.New(t, entry.WithProbeRate(100))
	u := newFakeUpstream(false)
	node := harness.AddNode(inproc.NodeSpec{Handler: u.serve, GuardOptions: []guard.Option{guard.WithProbeBudget(3)}})
	g.Expect(harness.Do(harness.Request("GET", "/", nil)).Status).To(Equal(200))
	answered := 0
	for range 20 {
		b, err := harness.Pool.Control(context.Background(), node.Target.ID, wire.ControlKind_CONTROL_KIND_PROBE, nil)
		if err != nil {
			g.Expect(err.Error()).To(ContainSubstring("budget"))
			continue
		}
		answered++
		v := new(wire.View)
		g.Expect(proto.Unmarshal(b, v)).To(Succeed())
		g.Expect(v.GetTarget()).To(Equal(node.Target.ID))
	}
	g.Expect(answered).To(And(BeNumerically(">=", 1), BeNumerically("<=", 3)))
	g.Expect(u.runs.Load()).To(BeNumerically("==", 1))
}
