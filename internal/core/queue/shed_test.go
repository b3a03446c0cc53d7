package queue_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/queue"
)

// playShedding offers 50 calls a second to an upstream that sheds all of them until an
// instant. It returns the calls that were started and shed, and when the first one was run.
func playShedding(d *queue.Dispatcher, until clock.Milli) (shed int, servedAt clock.Milli) {
	const interval = 20 * clock.Millisecond
	n := 0
	for now := start; servedAt == 0 && now < until+10*clock.Second; now += interval {
		n++
		id := call.ID{byte(n), byte(n >> 8)}
		decisions := d.Offer(now, admit.Request{ID: id, Route: "r", Deadline: now + 500})
		if !decisions[0].Admit {
			continue
		}
		if now >= until {
			servedAt = now
		} else {
			shed++
		}
		d.Finish(now+1, id, admit.Result{Latency: 1, NotRun: now < until})
	}
	return shed, servedAt
}

// Guards against spending the retries of a service on an upstream that sheds every call, and
// against leaving it idle for long once it has stopped.
func TestSheddingUpstream(t *testing.T) {
	g := NewWithT(t)
	d := queue.New(6)
	until := start + 10*clock.Second
	shed, servedAt := playShedding(d, until)
	g.Expect(shed).To(BeNumerically("<=", 12))
	g.Expect(servedAt - until).To(BeNumerically("<=", 2*clock.Second))
	g.Expect(d.UpstreamState(servedAt + 2).AdmitDelay).To(BeZero())
}

// Guards against a gate that closes on single sheds, on failed dials or for the next instance,
// and against entries that still send calls to a closed one.
func TestShedGate(t *testing.T) {
	shed, failed, run := admit.Result{NotRun: true}, admit.Result{NotRun: true, Failed: true}, admit.Result{Latency: 5}
	tests := map[string]struct {
		results []admit.Result
		reset   bool
		closed  bool
	}{
		"three sheds":        {[]admit.Result{shed, shed, shed}, false, true},
		"two sheds":          {[]admit.Result{shed, shed}, false, false},
		"sheds and answers":  {[]admit.Result{shed, shed, run, shed, shed}, false, false},
		"answer after three": {[]admit.Result{shed, shed, shed, run}, false, false},
		"failed dials":       {[]admit.Result{failed, failed, failed, failed}, false, false},
		"next instance":      {[]admit.Result{shed, shed, shed}, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := queue.New(6)
			for i := range tt.results {
				d.Offer(start, newRequest(byte(i+1), 0, false))
			}
			for i, r := range tt.results {
				d.Finish(start+1, callID(byte(i+1)), r)
			}
			if tt.reset {
				d.Reset(6)
			}
			g.Expect(d.UpstreamState(start+2).AdmitDelay > 0).To(Equal(tt.closed))
			decision := d.Offer(start+2, newRequest(99, 0, true))[0]
			g.Expect(decision.Reason == call.ReasonShedding).To(Equal(tt.closed))
		})
	}
}
