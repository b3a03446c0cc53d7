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

// upstream counts its runs and can hold them.
type upstream struct {
	runs    atomic.Int32
	running chan struct{}
	hold    chan struct{}
	ended   chan struct{}
}

func newUpstream(held bool) *upstream {
	u := &upstream{running: make(chan struct{}, 100), hold: make(chan struct{}), ended: make(chan struct{}, 100)}
	if !held {
		close(u.hold)
	}
	return u
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	u.runs.Add(1)
	u.running <- struct{}{}
	select {
	case <-u.hold:
	case <-r.Context().Done():
	}
	_, _ = w.Write([]byte("ran " + string(b)))
	u.ended <- struct{}{}
}

func refuseAll(clock.Milli, *call.Request) call.Reason { return call.ReasonOverload }

// Guards against a second run, and a false "not run", when a link fails at
// each stage of a request.
func TestLinkFailures(t *testing.T) {
	const slow = "2000"
	tests := map[string]struct {
		method, timeout string
		held            bool
		fail            func(n *inproc.Node, u *upstream)
		status          int
		outcome         [2]string
		// runs on the faulty node and on the healthy one.
		runs, other int32
	}{
		"booking running when the link is reset": {
			method: "POST", timeout: slow, held: true,
			fail:   func(n *inproc.Node, u *upstream) { <-u.running; n.Proxy.Reset() },
			status: 502, outcome: [2]string{"unknown", "link_broken"}, runs: 1,
		},
		"lookup running when the link is reset": {
			method: "GET", timeout: slow, held: true,
			fail:   func(n *inproc.Node, u *upstream) { <-u.running; n.Proxy.Reset() },
			status: 200, outcome: [2]string{"answered", ""}, runs: 1, other: 1,
		},
		"booking that never left the link": {
			method: "POST", timeout: slow,
			fail:   func(n *inproc.Node, _ *upstream) { time.Sleep(50 * time.Millisecond); n.Proxy.Reset() },
			status: 200, outcome: [2]string{"answered", ""}, other: 1,
		},
		"response lost on the way back": {
			method: "POST", timeout: slow,
			fail: func(n *inproc.Node, u *upstream) {
				n.Proxy.Resume()
				n.Proxy.Pause(inproc.ToEntry)
				<-u.ended
				time.Sleep(20 * time.Millisecond)
				n.Proxy.Reset()
			},
			status: 502, outcome: [2]string{"unknown", "link_broken"}, runs: 1,
		},
		"guard paused past the deadline": {
			method: "POST", timeout: "100",
			fail:   func(n *inproc.Node, _ *upstream) { time.Sleep(300 * time.Millisecond); n.Proxy.Resume() },
			status: 504, outcome: [2]string{"not_run", "deadline"},
		},
		"guard paused past the deadline and the fence": {
			method: "POST", timeout: "100",
			fail:   func(n *inproc.Node, _ *upstream) { time.Sleep(900 * time.Millisecond); n.Proxy.Resume() },
			status: 504, outcome: [2]string{"unknown", "deadline"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			u, other := newUpstream(tt.held), newUpstream(false)
			m := inproc.New(t)
			n := m.AddNode(inproc.NodeSpec{Handler: u.serve})
			_, err := m.Pool.Control(context.Background(), n.Target.ID, wire.ControlKind_CONTROL_KIND_PROBE, nil)
			g.Expect(err).NotTo(HaveOccurred())
			if !tt.held {
				n.Proxy.Pause(inproc.ToGuard)
			}
			done := make(chan inproc.Reply, 1)
			go func() {
				done <- m.Do(m.Request(tt.method, "/book", strings.NewReader("x"), header.TimeoutMs, tt.timeout))
			}()
			// The second target joins when the call is on its way to the first.
			time.Sleep(20 * time.Millisecond)
			m.AddNode(inproc.NodeSpec{Handler: other.serve})
			tt.fail(n, u)
			r := <-done
			g.Expect(r.Status).To(Equal(tt.status))
			g.Expect(r.OutcomeAndReason()).To(Equal(tt.outcome))
			// Held bytes that arrive late must not cause a run either.
			time.Sleep(100 * time.Millisecond)
			g.Expect([2]int32{u.runs.Load(), other.runs.Load()}).To(Equal([2]int32{tt.runs, tt.other}))
		})
	}
}

// Guards against passing on a response that belongs to another call or that
// is not complete.
func TestForeignResponses(t *testing.T) {
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
		frames  func(id []byte) []*wire.Frame
		status  int
		cut     bool
		violate bool
	}{
		"own response":          {frames: func(id []byte) []*wire.Frame { return []*wire.Frame{head(id), data, end(id, 2)} }, status: 200},
		"head of another call":  {frames: func([]byte) []*wire.Frame { return []*wire.Frame{head(other)} }, status: 502, violate: true},
		"refusal of another":    {frames: func([]byte) []*wire.Frame { return []*wire.Frame{refused(other)} }, status: 502, violate: true},
		"end of another call":   {frames: func(id []byte) []*wire.Frame { return []*wire.Frame{head(id), data, end(other, 2)} }, cut: true, violate: true},
		"end with wrong length": {frames: func(id []byte) []*wire.Frame { return []*wire.Frame{head(id), data, end(id, 3)} }, cut: true},
		"no end":                {frames: func(id []byte) []*wire.Frame { return []*wire.Frame{head(id), data} }, cut: true},
		"body without head":     {frames: func(id []byte) []*wire.Frame { return []*wire.Frame{data, end(id, 2)} }, status: 502},
		"length disagrees with the head": {frames: func(id []byte) []*wire.Frame {
			return []*wire.Frame{head(id), data, data, end(id, 4)}
		}, cut: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var violations atomic.Int32
			defer assert.SetHook(func(assert.Violation) { violations.Add(1) })()
			m := inproc.New(t)
			m.AddNode(inproc.NodeSpec{StreamHandler: func(_ context.Context, st *link.Stream, first *wire.Frame) {
				_ = st.Send(tt.frames(first.GetCallStart().GetId())...)
			}})
			r := m.Do(m.Request("POST", "/", nil))
			if tt.cut {
				g.Expect(r.Err).To(HaveOccurred())
			} else {
				g.Expect(r.Err).NotTo(HaveOccurred())
				g.Expect(r.Status).To(Equal(tt.status))
			}
			g.Expect(violations.Load() > 0).To(Equal(tt.violate))
		})
	}
}

// Guards against a late response that reaches the call after it on the link.
func TestLateResponseIsDropped(t *testing.T) {
	g := NewWithT(t)
	m := inproc.New(t)
	var calls atomic.Int32
	m.AddNode(inproc.NodeSpec{StreamHandler: func(_ context.Context, st *link.Stream, first *wire.Frame) {
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
	r := m.Do(m.Request("GET", "/", nil, header.TimeoutMs, "50"))
	g.Expect(r.Status).To(Equal(504))
	for range 5 {
		r = m.Do(m.Request("GET", "/", nil, header.TimeoutMs, "1000"))
		g.Expect(string(r.Body)).To(Equal("second"))
	}
}

// Guards against calls that go on at the upstream without their caller, and
// against blaming the target for it.
func TestCallerDisconnects(t *testing.T) {
	g := NewWithT(t)
	u, started := newUpstream(true), make(chan struct{})
	m := inproc.New(t)
	n := m.AddNode(inproc.NodeSpec{Handler: func(w http.ResponseWriter, r *http.Request) {
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
		go m.Do(m.Request("POST", path, nil, header.TimeoutMs, "20000").WithContext(ctx))
		<-running
		time.Sleep(20 * time.Millisecond)
		cancel()
		g.Eventually(u.ended, "2s").Should(Receive(), path)
		g.Expect(m.NextCallSummary().Reason).To(Equal(call.ReasonCancelled), path)
		g.Eventually(n.Guard.InProgress, "2s").Should(BeZero())
	}
}

// Guards against a definite answer to the caller after an attempt whose
// outcome was not known.
func TestUnknownAttemptDecidesTheOutcome(t *testing.T) {
	g := NewWithT(t)
	m := inproc.New(t)
	var broken atomic.Bool
	for range 2 {
		m.AddNode(inproc.NodeSpec{StreamHandler: func(_ context.Context, st *link.Stream, first *wire.Frame) {
			if broken.CompareAndSwap(false, true) {
				return
			}
			_ = st.Send(&wire.Frame{Body: &wire.Frame_Refused{Refused: &wire.Refused{
				Id: first.GetCallStart().GetId(), Outcome: uint32(call.OutcomeNotRun), Reason: uint32(call.ReasonSlotsFull),
			}}})
		}})
	}
	r := m.Do(m.Request("GET", "/", nil))
	g.Expect(r.Status).To(Equal(502))
	g.Expect(r.OutcomeAndReason()[0]).To(Equal("unknown"))
	g.Expect(m.NextCallSummary().Attempts).To(BeNumerically(">=", 2))
}

// Guards against a response that reaches another caller when cancellations
// race responses on reused streams, and against calls left at the guard.
func TestCancelRacesResponse(t *testing.T) {
	g := NewWithT(t)
	m := inproc.New(t)
	n := m.AddNode(inproc.NodeSpec{Slots: 1000, Handler: func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		_, _ = w.Write([]byte(r.URL.Path))
	}})
	whole := 0
	// On a busy machine no response may come within the shortest times; the
	// cancellations must fall between some of them.
	for unit := time.Millisecond; whole == 0 && unit <= 16*time.Millisecond; unit *= 2 {
		whole = cancelSome(g, m, unit)
	}
	g.Expect(whole).To(And(BeNumerically(">", 0), BeNumerically("<", cancelled)))
	g.Eventually(n.Guard.InProgress, "2s").Should(BeZero())
}

// cancelled is how many requests are cancelled in a row.
const cancelled = 400

// cancelSome gives requests 2 to 41 units of time and returns how many were
// answered.
func cancelSome(g Gomega, m *inproc.Harness, unit time.Duration) int {
	var wg sync.WaitGroup
	var whole atomic.Int32
	for i := range cancelled {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(2+i%40)*unit)
			defer cancel()
			path := "/" + strconv.Itoa(i)
			if r := m.Do(m.Request("GET", path, nil).WithContext(ctx)); r.Err == nil && r.Status == 200 {
				whole.Add(1)
				g.Expect(string(r.Body)).To(Equal(path))
			}
		})
		time.Sleep(200 * time.Microsecond)
	}
	wg.Wait()
	return int(whole.Load())
}
