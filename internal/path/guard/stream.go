package guard

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/memory"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/charge"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// errBodyTruncated says that the entry ended a request body before its last chunk.
var errBodyTruncated = errors.New("request body truncated by the entry")

// stream serves the calls of one entry sequentially.
type stream struct {
	guard  *Guard
	link   *link.Stream
	frames chan *wire.Frame
}

func (s *stream) serve(ctx context.Context, first *wire.Frame) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.receiveFrames(ctx, cancel)
	for f := first; f != nil; f = s.nextFrame(ctx) {
		var ok bool
		switch b := f.GetBody().(type) {
		case *wire.Frame_CallStart:
			ok = s.serveCall(ctx, b.CallStart)
		case *wire.Frame_Fence:
			out := s.guard.fence(b.Fence, s.link.Session().ClockOffset())
			reply := &wire.FenceReply{Id: b.Fence.GetId(), Outcome: uint32(out)}
			ok = s.link.Send(&wire.Frame{Body: &wire.Frame_FenceReply{FenceReply: reply}}) == nil
		}
		if !ok {
			return
		}
	}
}

// receiveFrames receives frames until the stream ends, which cancels the call in
// progress.
func (s *stream) receiveFrames(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	// A response that waits for the window of an entry that has left would wait until the
	// multiplexer resets the stream, and hold a slot and the window.
	defer s.link.Interrupt()
	for {
		f, err := s.link.Receive()
		if err != nil {
			return
		}
		select {
		case s.frames <- f:
		case <-ctx.Done():
			return
		}
	}
}

// nextFrame returns the next frame, or nil when ctx has ended.
func (s *stream) nextFrame(ctx context.Context) *wire.Frame {
	select {
	case f := <-s.frames:
		return f
	case <-ctx.Done():
		return nil
	}
}

// serveCall serves one call. It reports whether the stream can be used for another
// one.
func (s *stream) serveCall(ctx context.Context, c *wire.CallStart) bool {
	g := s.guard
	now := g.clock.Now()
	offset := s.link.Session().ClockOffset()
	offset.Observe(now, clock.Milli(c.GetSentAt()))
	r, reason := g.parseCallStart(c, offset)
	if reason != call.ReasonNone {
		return s.refuse(c, refusal{outcome: call.OutcomeNotRun, reason: reason})
	}
	if !g.beginCall() {
		return s.refuse(c, refusal{outcome: call.OutcomeNotRun, reason: call.ReasonLeaving})
	}
	defer g.endCall()
	if reason = g.admissionCheck(now, r); reason != call.ReasonNone {
		return s.refuse(c, refusal{outcome: call.OutcomeNotRun, reason: reason})
	}
	ctx, cancel := context.WithTimeout(ctx, (r.Deadline - now).Duration())
	defer cancel()
	account, closeAccount := s.openAccount()
	defer closeAccount()
	if !account.TryTake(memory.Call, charge.CallBytes+int64(2*proto.Size(c))) {
		return s.refuse(c, refusal{outcome: call.OutcomeNotRun, reason: call.ReasonMemory})
	}
	g.preAdmission(ctx, r)
	if refused := g.awaitAdmission(ctx, r); refused.reason != call.ReasonNone {
		refused.outcome = refusalOutcome(refused.reason)
		return s.refuse(c, refused)
	}
	x := &exchange{stream: s, callStart: c, request: r, receivedAt: now, account: account}
	return x.run(ctx)
}

// openAccount opens the account of a call. The end of the account interrupts the stream as
// long as the call lasts, and no later call on it.
func (s *stream) openAccount() (*charge.Account, func()) {
	var mu sync.Mutex
	over := false
	account := s.guard.gate.Open(s.link.Session().Peer().Member, func() {
		mu.Lock()
		defer mu.Unlock()
		if !over {
			s.link.Interrupt()
		}
	})
	return account, func() {
		mu.Lock()
		over = true
		mu.Unlock()
		account.Close()
	}
}

// refusalOutcome returns the outcome of a call that was not dispatched. That of a
// duplicate is unknown, as the first request with its id may have run.
func refusalOutcome(reason call.Reason) call.Outcome {
	if reason == call.ReasonDuplicate {
		return call.OutcomeUnknown
	}
	return call.OutcomeNotRun
}

// parseCallStart validates a call and converts its deadlines to the local clock.
func (g *Guard) parseCallStart(c *wire.CallStart, offset *link.ClockOffset) (*call.Request, call.Reason) {
	id, err := call.IDFromBytes(c.GetId())
	if err != nil {
		return nil, call.ReasonBadRequest
	}
	if c.GetService() != g.self.Service || c.GetGuardIncarnation() != g.self.Incarnation {
		return nil, call.ReasonWrongService
	}
	r := &call.Request{
		ID:              id,
		Service:         c.GetService(),
		Route:           c.GetRoute(),
		Method:          c.GetMethod(),
		Class:           call.Class(c.GetClass()),
		Repeatable:      c.GetRepeatable(),
		Depth:           int(c.GetDepth()),
		Deadline:        offset.ToLocal(clock.Milli(c.GetDeadline())),
		Priority:        int(c.GetRank()),
		ClientRequestID: c.GetLabel(),
		MayQueue:        c.GetMayQueue(),
		Fingerprint:     c.GetFingerprint(),
		Workspace:       c.GetWorkspace(),
	}
	if c.GetAim() > 0 {
		r.SoftDeadline = offset.ToLocal(clock.Milli(c.GetAim()))
	}
	if g.clock.Now() >= r.Deadline {
		return nil, call.ReasonDeadline
	}
	return r, call.ReasonNone
}

// refusal says why a call gets no response of the upstream. Its outcome is unknown unless
// the call was certainly not run.
type refusal struct {
	outcome call.Outcome
	reason  call.Reason
	detail  string
	// retryIn is the time after which the guard accepts another call, zero if it is not
	// known.
	retryIn clock.Milli
}

// refuse logs and sends a refusal. It reports whether the stream can be used for
// another call.
func (s *stream) refuse(c *wire.CallStart, r refusal) bool {
	s.guard.log.Info().Hex("request", c.GetId()).Str("label", c.GetLabel()).Str("service", c.GetService()).
		Str("outcome", r.outcome.String()).Str("reason", r.reason.String()).Str("detail", r.detail).
		Float64("retry_in_ms", float64(r.retryIn)).Msg("call_refused")
	s.guard.onRefusal(r.reason)
	state := s.guard.UpstreamState()
	err := s.link.Send(&wire.Frame{Body: &wire.Frame_Refused{Refused: &wire.Refused{
		Id:      c.GetId(),
		Outcome: uint32(r.outcome),
		Reason:  uint32(r.reason),
		Detail:  r.detail,
		View:    link.EncodeUpstreamState(state),
		RetryIn: float64(r.retryIn),
	}}})
	return err == nil && c.GetBodyComplete()
}

// bodyReader reads the request body from the frames of the stream.
type bodyReader struct {
	ctx    context.Context
	stream *stream
	// account awaits the entry while that has to send.
	account *charge.Account
	unread  []byte
	// receivedLast is set when the last chunk was received. The exchange reads
	// it while the HTTP client may still read the body, as a response may start
	// before the end of its request.
	receivedLast atomic.Bool
	// trailer receives the values of the announced trailers.
	trailer http.Header
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.receivedLast.Load() {
			return 0, io.EOF
		}
		b.account.Expect(link.MaxChunkBytes)
		f := b.stream.nextFrame(b.ctx)
		b.account.SetAwaitsRemote(false)
		if f == nil || f.GetBodyChunk() == nil {
			return 0, errBodyTruncated
		}
		b.unread = f.GetBodyChunk().GetData()
		for _, t := range f.GetBodyChunk().GetTrailers() {
			if name := textproto.CanonicalMIMEHeaderKey(t.GetName()); b.trailer != nil {
				if _, ok := b.trailer[name]; ok {
					b.trailer[name] = t.GetValues()
				}
			}
		}
		b.receivedLast.Store(f.GetBodyChunk().GetLast())
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *bodyReader) Close() error {
	return nil
}
