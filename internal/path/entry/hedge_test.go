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

// policy hedges after a fixed time and delays retries.
type policy struct {
	*retry.Policy
	after, delay clock.Milli
	spent        bool
}

func (p *policy) HedgeDelay(clock.Milli, retry.Attempt) (clock.Milli, bool) {
	return p.after, p.after > 0
}

func (p *policy) MayHedge() bool { return true }

func (p *policy) Decide(now clock.Milli, a retry.Attempt) retry.Decision {
	v := p.Policy.Decide(now, a)
	v.Delay = p.delay
	if p.spent {
		v = retry.Decision{Reason: call.ReasonRetryBudget}
	}
	return v
}

func withPolicy(p policy) entry.Option {
	p.Policy = retry.New()
	return entry.WithRetrier(func() entry.Retrier { return &p })
}

// Guards against hedges of calls that may not repeat, losers that go on, and
// a second response to the caller.
func TestHedges(t *testing.T) {
	const after, slow, fast = 40, 400, 1
	tests := map[string]struct {
		method, body string
		// ms are the service times of the first and later runs.
		ms       [2]int
		runs     int32
		answer   string
		attempts int
	}{
		"slow lookup is hedged":          {"GET", "", [2]int{slow, fast}, 2, "late", 2},
		"first wins against its hedge":   {"GET", "", [2]int{100, slow}, 2, "early", 2},
		"fast lookup is not hedged":      {"GET", "", [2]int{fast, fast}, 1, "early", 1},
		"booking is not hedged":          {"POST", "", [2]int{slow, fast}, 1, "early", 1},
		"streamed upload is not hedged":  {"PUT", strings.Repeat("u", 100<<10), [2]int{slow, fast}, 1, "early", 1},
		"both finish at about one time":  {"GET", "", [2]int{after + 2, 1}, 2, "", 2},
		"small repeatable body is whole": {"PUT", "abc", [2]int{slow, fast}, 2, "late", 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			u := newUpstream(false)
			cancelled := make(chan struct{}, 2)
			serve := func(w http.ResponseWriter, r *http.Request) {
				// The server notices a cancelled request only after its body.
				_, _ = io.Copy(io.Discard, r.Body)
				n, answer := u.runs.Add(1), "early"
				if n > 1 {
					n, answer = 2, "late"
				}
				select {
				case <-time.After(time.Duration(tt.ms[n-1]) * time.Millisecond):
				case <-r.Context().Done():
					cancelled <- struct{}{}
				}
				_, _ = w.Write([]byte(answer))
			}
			m := inproc.New(t, withPolicy(policy{after: after}))
			m.AddNode(inproc.NodeSpec{Handler: serve})
			m.AddNode(inproc.NodeSpec{Handler: serve})
			r := m.Do(m.Request(tt.method, "/", strings.NewReader(tt.body)))
			g.Expect(r.Err).NotTo(HaveOccurred())
			g.Expect(r.Status).To(Equal(200))
			if tt.answer != "" {
				g.Expect(string(r.Body)).To(Equal(tt.answer))
				g.Expect(u.runs.Load()).To(Equal(tt.runs))
				g.Expect(m.NextCallSummary().Attempts).To(Equal(tt.attempts))
				for range tt.runs - 1 {
					g.Eventually(cancelled, "200ms").Should(Receive(), "loser is cancelled")
				}
			}
		})
	}
}

// Guards against giving up while the hedge can still answer.
func TestHedgeOutlivesFirstAttempt(t *testing.T) {
	g := NewWithT(t)
	m := inproc.New(t, withPolicy(policy{after: 20}))
	u := newUpstream(true)
	a := m.AddNode(inproc.NodeSpec{Handler: u.serve})
	b := m.AddNode(inproc.NodeSpec{Handler: u.serve})
	done := make(chan inproc.Reply, 1)
	go func() { done <- m.Do(m.Request("GET", "/", nil)) }()
	<-u.running
	<-u.running
	a.Proxy.Reset()
	time.Sleep(30 * time.Millisecond)
	close(u.hold)
	g.Expect((<-done).Status).To(Equal(200))
	g.Expect(u.runs.Load()).To(BeNumerically("==", 2))
	g.Eventually(b.Guard.InProgress).Should(BeZero())
}

// Guards against retries that ignore the policy's delay or multiply over the
// levels of a call chain.
func TestRetryRules(t *testing.T) {
	refuse := []guard.Option{guard.WithAdmissionCheck(refuseAll)}
	out := []guard.Option{guard.WithAdmissionCheck(func(clock.Milli, *call.Request) call.Reason { return call.ReasonCentreOut })}
	below := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(header.Retried, "1")
		w.Header().Set(header.Outcome, call.OutcomeNotRun.String())
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	tests := map[string]struct {
		policy   policy
		node     inproc.NodeSpec
		attempts int
		retried  string
		least    time.Duration
	}{
		"refused everywhere":         {policy{}, inproc.NodeSpec{GuardOptions: refuse}, 2, "1", 0},
		"delay is waited for":        {policy{delay: 60}, inproc.NodeSpec{GuardOptions: refuse}, 2, "1", 60 * time.Millisecond},
		"delay beyond the deadline":  {policy{delay: 5000}, inproc.NodeSpec{GuardOptions: refuse}, 1, "", 0},
		"budget is spent":            {policy{spent: true}, inproc.NodeSpec{GuardOptions: refuse}, 1, "1", 0},
		"data centre is out":         {policy{}, inproc.NodeSpec{GuardOptions: out}, 1, "", 0},
		"refusal from a lower level": {policy{}, inproc.NodeSpec{Handler: below}, 1, "1", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := inproc.New(t, withPolicy(tt.policy))
			m.AddNode(tt.node)
			m.AddNode(tt.node)
			began := time.Now()
			r := m.Do(m.Request("GET", "/", nil))
			g.Expect(time.Since(began)).To(BeNumerically(">=", tt.least))
			g.Expect(r.Status).To(Equal(503))
			g.Expect(r.Header.Get(header.Retried)).To(Equal(tt.retried))
			g.Expect(m.NextCallSummary().Attempts).To(Equal(tt.attempts))
		})
	}
}

// Guards against probes beyond the budget that the guard holds for its
// upstream, whoever asks, and against probes that reach the upstream.
func TestProbes(t *testing.T) {
	g := NewWithT(t)
	m := inproc.New(t, entry.WithProbeRate(100))
	u := newUpstream(false)
	n := m.AddNode(inproc.NodeSpec{Handler: u.serve, GuardOptions: []guard.Option{guard.WithProbeBudget(3)}})
	g.Expect(m.Do(m.Request("GET", "/", nil)).Status).To(Equal(200))
	answered := 0
	for range 20 {
		b, err := m.Pool.Control(context.Background(), n.Target.ID, wire.ControlKind_CONTROL_KIND_PROBE, nil)
		if err != nil {
			g.Expect(err.Error()).To(ContainSubstring("budget"))
			continue
		}
		answered++
		v := new(wire.View)
		g.Expect(proto.Unmarshal(b, v)).To(Succeed())
		g.Expect(v.GetTarget()).To(Equal(n.Target.ID))
	}
	g.Expect(answered).To(And(BeNumerically(">=", 1), BeNumerically("<=", 3)))
	g.Expect(u.runs.Load()).To(BeNumerically("==", 1))
}
