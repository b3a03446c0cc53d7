package entry_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/bench/inproc"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fakeUpstream counts its runs and can block them until release is closed.
type fakeUpstream struct {
	runs    atomic.Int32
	running chan struct{}
	release chan struct{}
	ended   chan struct{}
}

func newFakeUpstream(blocked bool) *fakeUpstream {
	u := &fakeUpstream{running: make(chan struct{}, 100), release: make(chan struct{}), ended: make(chan struct{}, 100)}
	if !blocked {
		close(u.release)
	}
	return u
}

func (u *fakeUpstream) serve(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	u.runs.Add(1)
	u.running <- struct{}{}
	select {
	case <-u.release:
	case <-r.Context().Done():
	}
	_, _ = w.Write([]byte("ran " + string(b)))
	u.ended <- struct{}{}
}

func refuseAll(clock.Milli, *call.Request) call.Reason { return call.ReasonOverload }

// Guards against a second run of a booking and a wrong outcome "not_run" when the
// link fails at any stage of a request.
func TestLinkFailures(t *testing.T) {
	const longTimeoutMs = "2000"
	tests := map[string]struct {
		method, timeoutMs string
		blocked           bool
		fail              func(node *inproc.Node, u *fakeUpstream)
		status            int
		outcome           [2]string
		// runs and otherRuns are the runs on the faulty and the healthy node.
		runs, otherRuns int32
	}{
		"booking running when the link is reset": {
			method: "POST", timeoutMs: longTimeoutMs, blocked: true,
			fail:   func(node *inproc.Node, u *fakeUpstream) { <-u.running; node.Proxy.Reset() },
			status: 502, outcome: [2]string{"unknown", "link_broken"}, runs: 1,
		},
		"lookup running when the link is reset": {
			method: "GET", timeoutMs: longTimeoutMs, blocked: true,
			fail:   func(node *inproc.Node, u *fakeUpstream) { <-u.running; node.Proxy.Reset() },
			status: 200, outcome: [2]string{"answered", ""}, runs: 1, otherRuns: 1,
		},
		"booking that never reached the guard": {
			method: "POST", timeoutMs: longTimeoutMs,
			fail:   func(node *inproc.Node, _ *fakeUpstream) { time.Sleep(50 * time.Millisecond); node.Proxy.Reset() },
			status: 200, outcome: [2]string{"answered", ""}, otherRuns: 1,
		},
		"response lost between guard and entry": {
			method: "POST", timeoutMs: longTimeoutMs,
			fail: func(node *inproc.Node, u *fakeUpstream) {
				node.Proxy.Resume()
				node.Proxy.Pause(inproc.ToEntry)
				<-u.ended
				time.Sleep(20 * time.Millisecond)
				node.Proxy.Reset()
			},
			status: 502, outcome: [2]string{"unknown", "link_broken"}, runs: 1,
		},
		"guard paused past the deadline": {
			method: "POST", timeoutMs: "100",
			fail:   func(node *inproc.Node, _ *fakeUpstream) { time.Sleep(300 * time.Millisecond); node.Proxy.Resume() },
			status: 504, outcome: [2]string{"not_run", "deadline"},
		},
		"guard paused past the deadline and the fence": {
			method: "POST", timeoutMs: "100",
			fail:   func(node *inproc.Node, _ *fakeUpstream) { time.Sleep(900 * time.Millisecond); node.Proxy.Resume() },
			status: 504, outcome: [2]string{"unknown", "deadline"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			u, other := newFakeUpstream(tt.blocked), newFakeUpstream(false)
			harness := inproc.New(t)
			node := harness.AddNode(inproc.NodeSpec{Handler: u.serve})
			_, err := harness.Pool.Control(context.Background(), node.Target.ID, wire.ControlKind_CONTROL_KIND_PROBE, nil)
			g.Expect(err).NotTo(HaveOccurred())
			if !tt.blocked {
				node.Proxy.Pause(inproc.ToGuard)
			}
			done := make(chan inproc.Reply, 1)
			go func() {
				done <- harness.Do(harness.Request(tt.method, "/book", strings.NewReader("x"), header.TimeoutMs, tt.timeoutMs))
			}()
			// The second target joins after the call was sent to the first.
			isSent := func() bool { return u.runs.Load() > 0 || node.Proxy.Held() > 0 }
			g.Eventually(isSent, time.Second, time.Millisecond).Should(BeTrue())
			harness.AddNode(inproc.NodeSpec{Handler: other.serve})
			tt.fail(node, u)
			r := <-done
			g.Expect(r.Status).To(Equal(tt.status))
			g.Expect(r.OutcomeAndReason()).To(Equal(tt.outcome))
			// Bytes that the proxy delivers late must not cause a run either.
			time.Sleep(100 * time.Millisecond)
			g.Expect([2]int32{u.runs.Load(), other.runs.Load()}).To(Equal([2]int32{tt.runs, tt.otherRuns}))
		})
	}
}

// Guards against forwarding a response that belongs to another call or is
// incomplete.
func TestMismatchedResponses(t *testing.T) {
	head := func(id []byte) *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_ReplyHead{ReplyHead: &wire.ReplyHead{Id: id, Status: 200, ContentLength: 2}}}
	}
	data := &wire.Frame{Body: &wire.Frame_BodyChunk{BodyChunk: &wire.BodyChunk{Data: []byte("ok")}}}
	end := func(id []byte, n int64) *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_ReplyEnd{ReplyEnd: &wire.ReplyEnd{Id: id, Length: n}}}
	}
	refused := func(id []byte) *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_Refused{Refused: &wire.Refused{Id: id, Outcome: uint32(call.OutcomeNotRun)}}}
	}
	other := make([]byte, call.IDSize)
	tests := map[string]struct {
		frames    func(id []byte) []*wire.Frame
		status    int
		truncated bool
		violation bool
	}{
		"own response":          {frames: func(id []byte) []*wire.Frame { return []*wire.Frame{head(id), data, end(id, 2)} }, status: 200},
		"head of another call":  {frames: func([]byte) []*wire.Frame { return []*wire.Frame{head(other)} }, status: 502, violation: true},
		"refusal of another":    {frames: func([]byte) []*wire.Frame { return []*wire.Frame{refused(other)} }, status: 502, violation: true},
		"end of another call":   {frames: func(id []byte) []*wire.Frame { return []*wire.Frame{head(id), data, end(other, 2)} }, truncated: true, violation: true},
		"end with wrong length": {frames: func(id []byte) []*wire.Frame { return []*wire.Frame{head(id), data, end(id, 3)} }, truncated: true},
		"no end":                {frames: func(id []byte) []*wire.Frame { return []*wire.Frame{head(id), data} }, truncated: true},
		"body without head":     {frames: func(id []byte) []*wire.Frame { return []*wire.Frame{data, end(id, 2)} }, status: 502},
		"status 000": {frames: func(id []byte) []*wire.Frame {
			return []*wire.Frame{{Body: &wire.Frame_ReplyHead{ReplyHead: &wire.ReplyHead{Id: id, ContentLength: 2}}}, data, end(id, 2)}
		}, status: 502},
		"length disagrees with the head": {frames: func(id []byte) []*wire.Frame {
			return []*wire.Frame{head(id), data, data, end(id, 4)}
		}, truncated: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var violations atomic.Int32
			defer assert.SetHook(func(assert.Violation) { violations.Add(1) })()
			harness := inproc.New(t)
			harness.AddNode(inproc.NodeSpec{StreamHandler: func(_ context.Context, st *link.Stream, first *wire.Frame) {
				_ = st.Send(tt.frames(first.GetCallStart().GetId())...)
			}})
			r := harness.Do(harness.Request("POST", "/", nil))
			if tt.truncated {
				g.Expect(r.Err).To(HaveOccurred())
			} else {
				g.Expect(r.Err).NotTo(HaveOccurred())
				g.Expect(r.Status).To(Equal(tt.status))
			}
			g.Expect(violations.Load() > 0).To(Equal(tt.violation))
		})
	}
}

// Guards against a late response that is returned for the next call on the link.
func TestLateResponseIsDropped(t *testing.T) {
	g := NewWithT(t)
	harness := inproc.New(t)
	var calls atomic.Int32
	harness.AddNode(inproc.NodeSpec{StreamHandler: func(_ context.Context, st *link.Stream, first *wire.Frame) {
		for f, err := first, error(nil); err == nil; f, err = st.Receive() {
			id, body := f.GetCallStart().GetId(), "second"
			if calls.Add(1) == 1 {
				time.Sleep(150 * time.Millisecond)
				body = "first"
			}
			_ = st.Send(
				&wire.Frame{Body: &wire.Frame_ReplyHead{ReplyHead: &wire.ReplyHead{Id: id, Status: 200, ContentLength: -1}}},
				&wire.Frame{Body: &wire.Frame_BodyChunk{BodyChunk: &wire.BodyChunk{Data: []byte(body)}}},
				&wire.Frame{Body: &wire.Frame_ReplyEnd{ReplyEnd: &wire.ReplyEnd{Id: id, Length: int64(len(body))}}})
		}
	}})
	r := harness.Do(harness.Request("GET", "/", nil, header.TimeoutMs, "50"))
	g.Expect(r.Status).To(Equal(504))
	for range 5 {
		r = harness.Do(harness.Request("GET", "/", nil, header.TimeoutMs, "1000"))
		g.Expect(string(r.Body)).To(Equal("second"))
	}
}

// Guards against calls that continue at the upstream after their caller has
// disconnected, and against another reason than "cancelled" for them.
func TestCallerDisconnects(t *testing.T) {
	g := NewWithT(t)
	u, started := newFakeUpstream(true), make(chan struct{})
	harness := inproc.New(t)
	node := harness.AddNode(inproc.NodeSpec{Handler: func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/stream" {
			u.serve(w, r)
			return
		}
		close(started)
		for r.Context().Err() == nil {
			_, _ = w.Write(make([]byte, 1<<10))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Millisecond)
		}
		u.ended <- struct{}{}
	}})
	for path, running := range map[string]chan struct{}{"/wait": u.running, "/stream": started} {
		ctx, cancel := context.WithCancel(context.Background())
		go harness.Do(harness.Request("POST", path, nil, header.TimeoutMs, "20000").WithContext(ctx))
		<-running
		time.Sleep(20 * time.Millisecond)
		cancel()
		g.Eventually(u.ended, "2s").Should(Receive(), path)
		g.Expect(harness.NextCallSummary().Reason).To(Equal(call.ReasonCancelled), path)
		g.Eventually(node.Guard.InProgress, "2s").Should(BeZero())
	}
}

// Guards against the outcome "not_run" for a call with an earlier attempt whose
// outcome is unknown.
func TestUnknownAttemptDecidesTheOutcome(t *testing.T) {
	g := NewWithT(t)
	harness := inproc.New(t)
	var broken atomic.Bool
	for range 2 {
		harness.AddNode(inproc.NodeSpec{StreamHandler: func(_ context.Context, st *link.Stream, first *wire.Frame) {
			if broken.CompareAndSwap(false, true) {
				return
			}
			_ = st.Send(&wire.Frame{Body: &wire.Frame_Refused{Refused: &wire.Refused{
				Id: first.GetCallStart().GetId(), Outcome: uint32(call.OutcomeNotRun), Reason: uint32(call.ReasonSlotsFull),
			}}})
		}})
	}
	r := harness.Do(harness.Request("GET", "/", nil))
	g.Expect(r.Status).To(Equal(502))
	g.Expect(r.OutcomeAndReason()[0]).To(Equal("unknown"))
	g.Expect(harness.NextCallSummary().Attempts).To(BeNumerically(">=", 2))
}

// Guards against a response that reaches another caller when cancellations race
// with responses on reused streams, and against calls that stay in progress at
// the guard.
func TestCancelRacesResponse(t *testing.T) {
	g := NewWithT(t)
	harness := inproc.New(t)
	node := harness.AddNode(inproc.NodeSpec{Slots: 1000, Handler: func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		_, _ = w.Write([]byte(r.URL.Path))
	}})
	answered := 0
	// On a busy machine, it can happen that no response arrives within the
	// shortest timeouts, so they are doubled until some requests are answered.
	for unit := time.Millisecond; answered == 0 && unit <= 16*time.Millisecond; unit *= 2 {
		answered = runWithTimeouts(g, harness, unit)
	}
	g.Expect(answered).To(And(BeNumerically(">", 0), BeNumerically("<", timedRequests)))
	g.Eventually(node.Guard.InProgress, "2s").Should(BeZero())
}

// timedRequests is the number of requests that runWithTimeouts sends.
const timedRequests = 400

// runWithTimeouts sends requests with timeouts of 2 to 41 units and returns how
// many were answered.
func runWithTimeouts(g Gomega, harness *inproc.Harness, unit time.Duration) int {
	var wg sync.WaitGroup
	var answered atomic.Int32
	for i := range timedRequests {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(2+i%40)*unit)
			defer cancel()
			path := "/" + strconv.Itoa(i)
			if r := harness.Do(harness.Request("GET", path, nil).WithContext(ctx)); r.Err == nil && r.Status == 200 {
				answered.Add(1)
				g.Expect(string(r.Body)).To(Equal(path))
			}
		})
		time.Sleep(200 * time.Microsecond)
	}
	wg.Wait()
	return int(answered.Load())
}
