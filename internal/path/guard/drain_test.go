package guard_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/inproc"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// Guards against a planned stop that does not wait for the calls in progress, and
// against new calls to an upstream that is leaving.
func TestDrain(t *testing.T) {
	g := NewWithT(t)
	harness := inproc.New(t)
	running, release := make(chan struct{}, 2), make(chan struct{})
	n := harness.AddNode(inproc.NodeSpec{Slots: 2, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-release
	})})
	done := make(chan bool, 1)
	go func() { done <- send(g, harness.Pool, n, callFrame(newCall(harness.Clock, 1))).GetReplyHead() != nil }()
	<-running
	n.Guard.StartDrain()

	refused := send(g, harness.Pool, n, callFrame(newCall(harness.Clock, 2))).GetRefused()
	g.Expect(call.Reason(refused.GetReason())).To(Equal(call.ReasonLeaving))
	g.Expect(call.Outcome(refused.GetOutcome())).To(Equal(call.OutcomeNotRun))
	g.Expect(refused.GetView().GetLeaving()).To(BeTrue())

	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	g.Expect(n.Guard.AwaitDrain(short)).To(Equal(1))
	close(release)
	g.Expect(<-done).To(BeTrue())
	g.Expect(n.Guard.AwaitDrain(context.Background())).To(BeZero())
}
