package guard_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/bench/inproc"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// newCall returns a booking whose request id ends with the byte id.
func newCall(clk clock.Clock, id byte) *wire.CallStart {
	now := float64(clk.Now())
	return &wire.CallStart{
		Id: append(make([]byte, call.IDSize-1), id), Service: inproc.Service, Method: "POST", Uri: "/", Host: "svc",
		Deadline: now + 2000, SentAt: now, BodyComplete: true, GuardIncarnation: 1,
	}
}

func callFrame(c *wire.CallStart) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_CallStart{CallStart: c}}
}

func fenceFrame(c *wire.CallStart, incarnation uint64) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Fence{Fence: &wire.Fence{
		Id: c.GetId(), Incarnation: incarnation, Deadline: c.GetDeadline(), SentAt: c.GetSentAt(),
	}}}
}

// send sends one frame to the guard of node and returns the first frame of
// the reply.
func send(g *WithT, p *link.Pool, node *inproc.Node, f *wire.Frame) *wire.Frame {
	st, err := p.AcquireStream(context.Background(), node.Target.ID)
	g.Expect(err).NotTo(HaveOccurred())
	defer st.Close()
	g.Expect(st.Send(f)).To(Succeed())
	r, err := st.Receive()
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

// Guards against a second run of a booking, and a run after the guard reported the
// outcome "not_run", for any sequence of frames from an entry.
func TestFencesAndDuplicates(t *testing.T) {
	refusal := func(f *wire.Frame) [2]string {
		r := f.GetRefused()
		return [2]string{call.Outcome(r.GetOutcome()).String(), call.Reason(r.GetReason()).String()}
	}
	type fixture struct {
		*WithT
		harness *inproc.Harness
		node    *inproc.Node
		running chan struct{}
		release chan struct{}
	}
	tests := map[string]struct {
		runs int32
		run  func(b *fixture, c *wire.CallStart)
	}{
		"fence before the call": {0, func(b *fixture, c *wire.CallStart) {
			f := send(b.WithT, b.harness.Pool, b.node, fenceFrame(c, 1)).GetFenceReply()
			b.Expect(call.Outcome(f.GetOutcome())).To(Equal(call.OutcomeNotRun))
			b.Expect(refusal(send(b.WithT, b.harness.Pool, b.node, callFrame(c)))).To(Equal([2]string{"not_run", "fenced"}))
		}},
		"fence of another incarnation": {0, func(b *fixture, c *wire.CallStart) {
			f := send(b.WithT, b.harness.Pool, b.node, fenceFrame(c, 2)).GetFenceReply()
			b.Expect(call.Outcome(f.GetOutcome())).To(Equal(call.OutcomeUnknown))
		}},
		"fence after the call": {1, func(b *fixture, c *wire.CallStart) {
			close(b.release)
			b.Expect(send(b.WithT, b.harness.Pool, b.node, callFrame(c)).GetReplyHead()).NotTo(BeNil())
			f := send(b.WithT, b.harness.Pool, b.node, fenceFrame(c, 1)).GetFenceReply()
			b.Expect(call.Outcome(f.GetOutcome())).To(Equal(call.OutcomeUnknown))
		}},
		"duplicate after the call": {1, func(b *fixture, c *wire.CallStart) {
			close(b.release)
			b.Expect(send(b.WithT, b.harness.Pool, b.node, callFrame(c)).GetReplyHead()).NotTo(BeNil())
			b.Expect(refusal(send(b.WithT, b.harness.Pool, b.node, callFrame(c)))).To(Equal([2]string{"unknown", "duplicate"}))
		}},
		"duplicate of a running booking does not free its slot": {1, func(b *fixture, c *wire.CallStart) {
			go func() { _ = send(b.WithT, b.harness.Pool, b.node, callFrame(c)) }()
			<-b.running
			b.Expect(refusal(send(b.WithT, b.harness.Pool, b.node, callFrame(c)))).To(Equal([2]string{"unknown", "duplicate"}))
			b.Expect(refusal(send(b.WithT, b.harness.Pool, b.node, callFrame(newCall(b.harness.Clock, 9))))).To(Equal([2]string{"not_run", "queue_timeout"}))
			close(b.release)
		}},
		"duplicate of a running lookup does not free its slot": {1, func(b *fixture, c *wire.CallStart) {
			c.Repeatable = true
			go func() { _ = send(b.WithT, b.harness.Pool, b.node, callFrame(c)) }()
			<-b.running
			b.Expect(refusal(send(b.WithT, b.harness.Pool, b.node, callFrame(c)))).To(Equal([2]string{"unknown", "duplicate"}))
			b.Expect(refusal(send(b.WithT, b.harness.Pool, b.node, callFrame(newCall(b.harness.Clock, 9))))).To(Equal([2]string{"not_run", "queue_timeout"}))
			close(b.release)
		}},
		"passed deadline": {0, func(b *fixture, c *wire.CallStart) {
			c.Deadline = c.GetSentAt() - 1
			b.Expect(refusal(send(b.WithT, b.harness.Pool, b.node, callFrame(c)))).To(Equal([2]string{"not_run", "deadline"}))
		}},
		"wrong incarnation": {0, func(b *fixture, c *wire.CallStart) {
			c.GuardIncarnation = 7
			b.Expect(refusal(send(b.WithT, b.harness.Pool, b.node, callFrame(c)))).To(Equal([2]string{"not_run", "wrong_service"}))
		}},
		"request id of a wrong size": {0, func(b *fixture, c *wire.CallStart) {
			c.Id = []byte("short")
			b.Expect(refusal(send(b.WithT, b.harness.Pool, b.node, callFrame(c)))).To(Equal([2]string{"not_run", "bad_request"}))
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := &fixture{WithT: NewWithT(t), harness: inproc.New(t), running: make(chan struct{}, 10), release: make(chan struct{})}
			var runs atomic.Int32
			b.node = b.harness.AddNode(inproc.NodeSpec{Slots: 1, Handler: func(http.ResponseWriter, *http.Request) {
				runs.Add(1)
				b.running <- struct{}{}
				select {
				case <-b.release:
				case <-time.After(3 * time.Second):
				}
			}})
			tt.run(b, newCall(b.harness.Clock, 1))
			b.Eventually(b.node.Guard.InProgress, "2s").Should(BeZero())
			b.Expect(runs.Load()).To(Equal(tt.runs))
		})
	}
}

// Guards against running a call although a concurrent fence was answered with the
// outcome "not_run".
func TestFenceRacesCall(t *testing.T) {
	g := NewWithT(t)
	harness := inproc.New(t)
	var ran sync.Map
	node := harness.AddNode(inproc.NodeSpec{Slots: 1000, Handler: func(_ http.ResponseWriter, r *http.Request) {
		ran.Store(strings.ToLower(r.Header.Get("Cranberrytack-Request-Id")), true)
	}})
	var wg sync.WaitGroup
	for i := range 100 {
		c := newCall(harness.Clock, byte(i))
		wg.Go(func() { _ = send(g, harness.Pool, node, callFrame(c)) })
		wg.Go(func() {
			f := send(g, harness.Pool, node, fenceFrame(c, 1)).GetFenceReply()
			time.Sleep(100 * time.Millisecond)
			_, run := ran.Load(call.ID(c.GetId()).String())
			if call.Outcome(f.GetOutcome()) == call.OutcomeNotRun {
				g.Expect(run).To(BeFalse())
			}
		})
	}
	wg.Wait()
}

// Guards against a run after the deadline when the guard was paused between
// the arrival of a call and its admission.
func TestGuardPausedBeforeDispatch(t *testing.T) {
	g := NewWithT(t)
	wall := clock.NewReal()
	guardClock := clock.NewManual(wall.Now() + 5000)
	harness := inproc.New(t)
	var runs atomic.Int32
	node := harness.AddNode(inproc.NodeSpec{Clock: guardClock, Handler: func(http.ResponseWriter, *http.Request) { runs.Add(1) }})
	// The handshake determines the offset of the clocks, which differ by 5 s.
	_, err := harness.Pool.AcquireStream(context.Background(), node.Target.ID)
	g.Expect(err).NotTo(HaveOccurred())
	guardClock.Advance(2100)
	r := send(g, harness.Pool, node, callFrame(newCall(wall, 1))).GetRefused()
	g.Expect(call.Reason(r.GetReason())).To(Equal(call.ReasonDeadline))
	g.Expect(call.Outcome(r.GetOutcome())).To(Equal(call.OutcomeNotRun))
	g.Expect(runs.Load()).To(BeZero())
}

// Guards against truncated responses that look complete to the caller, the outcome
// "not_run" for requests that may have run, and replays by the HTTP client.
func TestUpstreamResponseTruncated(t *testing.T) {
	write := func(s string) func(*net.TCPConn) { return func(c *net.TCPConn) { _, _ = io.WriteString(c, s) } }
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0) }
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		method    string
		answer    func(*net.TCPConn)
		status    int
		truncated bool
		body      string
	}{
		"body shorter than its content length": {"POST", write(ok + "Content-Length: 100\r\n\r\nabc"), 502, false, ""},
		"no body despite a content length":     {"POST", write(ok + "Content-Length: 100\r\n\r\n"), 502, false, ""},
		"long body truncated":                  {"POST", write(ok + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 50000)), 0, true, ""},
		"chunked without last chunk":           {"POST", write(ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), 0, true, ""},
		"chunk truncated":                      {"POST", write(ok + "Transfer-Encoding: chunked\r\n\r\n30\r\nabc"), 0, true, ""},
		"head truncated":                       {"POST", write("HTTP/1.1 200 O"), 502, false, ""},
		"head with length":                     {"HEAD", write(ok + "Content-Length: 100\r\n\r\n"), 200, false, ""},
		"head truncated on HEAD":               {"HEAD", write("HTTP/1.1 200"), 502, false, ""},
		"reset after the request":              {"POST", reset, 502, false, ""},
		"closed after the request":             {"POST", func(*net.TCPConn) {}, 502, false, ""},
		"closed after a lookup":                {"GET", func(*net.TCPConn) {}, 502, false, ""},
		"garbage":                              {"POST", write("SSH-2.0-x\r\n"), 502, false, ""},
		"oversize header":                      {"POST", write(ok + "X: " + strings.Repeat("x", 100<<10) + "\r\n\r\n"), 502, false, ""},
		"body ends with the connection":        {"POST", write(ok + "\r\nabc"), 200, false, "abc"},
		"complete":                             {"POST", write(ok + "Content-Length: 3\r\n\r\nabc"), 200, false, "abc"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var runs atomic.Int32
			harness := inproc.New(t)
			harness.AddNode(inproc.NodeSpec{UpstreamAddr: inproc.RawUpstream(t, func(c *net.TCPConn, _ *http.Request) bool {
				runs.Add(1)
				tt.answer(c)
				return false
			})})
			r := harness.Do(harness.Request(tt.method, "/", nil))
			g.Expect(runs.Load()).To(BeNumerically("==", 1))
			g.Expect(r.Err != nil).To(Equal(tt.truncated))
			if !tt.truncated {
				g.Expect(r.Status).To(Equal(tt.status))
			}
			if tt.status == 502 {
				g.Expect(r.OutcomeAndReason()).To(Equal([2]string{"unknown", "upstream_failed"}))
			}
			if tt.body != "" {
				g.Expect(string(r.Body)).To(Equal(tt.body))
			}
		})
	}
}
