package guard

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"sync/atomic"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// errBodyCut says that the entry stopped sending a request body.
var errBodyCut = errors.New("request body cut short")

// stream serves the calls of one entry, one after the other.
type stream struct {
	guard *Guard
	link  *link.Stream
	in    chan *wire.Frame
}

func (s *stream) serve(ctx context.Context, first *wire.Frame) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.loop(ctx, cancel)
	for f := first; f != nil; f = s.next(ctx) {
		var ok bool
		switch b := f.GetBody().(type) {
		case *wire.Frame_CallStart:
			ok = s.call(ctx, b.CallStart)
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

// loop reads frames. The end of the stream cancels the call in progress.
func (s *stream) loop(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	for {
		f, err := s.link.Receive()
		if err != nil {
			return
		}
		select {
		case s.in <- f:
		case <-ctx.Done():
			return
		}
	}
}

func (s *stream) next(ctx context.Context) *wire.Frame {
	select {
	case f := <-s.in:
		return f
	case <-ctx.Done():
		return nil
	}
}

// call serves one call. It reports whether the stream can be used for more.
func (s *stream) call(ctx context.Context, c *wire.CallStart) bool {
	g := s.guard
	now := g.clock.Now()
	off := s.link.Session().ClockOffset()
	off.Observe(now, clock.Milli(c.GetSentAt()))
	r, reason := g.parse(c, off)
	if reason != call.ReasonNone {
		return s.refuse(c, call.OutcomeNotRun, reason, "")
	}
	if !g.enter() {
		return s.refuse(c, call.OutcomeNotRun, call.ReasonLeaving, "")
	}
	defer g.exit()
	if reason = g.gate(now, r); reason != call.ReasonNone {
		return s.refuse(c, call.OutcomeNotRun, reason, "")
	}
	ctx, cancel := context.WithTimeout(ctx, (r.Deadline - now).Duration())
	defer cancel()
	g.before(ctx, r)
	if reason = g.acquire(ctx, r); reason != call.ReasonNone {
		return s.refuse(c, outcome(reason), reason, "")
	}
	x := &exchange{stream: s, start: c, request: r, arrived: now}
	return x.run(ctx)
}

// outcome is that of a call that was not handed over. The original of a
// duplicate may have run.
func outcome(reason call.Reason) call.Outcome {
	if reason == call.ReasonDuplicate {
		return call.OutcomeUnknown
	}
	return call.OutcomeNotRun
}

// parse checks a call and translates its deadline to the local clock.
func (g *Guard) parse(c *wire.CallStart, off *link.ClockOffset) (*call.Request, call.Reason) {
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
		Deadline:        off.ToLocal(clock.Milli(c.GetDeadline())),
		Priority:        int(c.GetRank()),
		ClientRequestID: c.GetLabel(),
		MayQueue:        c.GetMayQueue(),
	}
	if c.GetAim() > 0 {
		r.SoftDeadline = off.ToLocal(clock.Milli(c.GetAim()))
	}
	if g.clock.Now() >= r.Deadline {
		return nil, call.ReasonDeadline
	}
	return r, call.ReasonNone
}

func (s *stream) refuse(c *wire.CallStart, out call.Outcome, reason call.Reason, detail string) bool {
	s.guard.log.Info().Hex("request", c.GetId()).Str("label", c.GetLabel()).Str("service", c.GetService()).
		Str("outcome", out.String()).Str("reason", reason.String()).Str("detail", detail).Msg("call_refused")
	s.guard.refused(reason)
	v := s.guard.View()
	err := s.link.Send(&wire.Frame{Body: &wire.Frame_Refused{Refused: &wire.Refused{
		Id:      c.GetId(),
		Outcome: uint32(out),
		Reason:  uint32(reason),
		Detail:  detail,
		View:    link.EncodeUpstreamState(v),
	}}})
	return err == nil && c.GetBodyComplete()
}

// bodyReader reads the request body from the frames of the stream.
type bodyReader struct {
	ctx    context.Context
	stream *stream
	rest   []byte
	// done is also read by the exchange while the client still reads the body,
	// as a response may start before the end of its request.
	done atomic.Bool
	// trailer receives the values of the announced trailers.
	trailer http.Header
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.done.Load() {
			return 0, io.EOF
		}
		f := b.stream.next(b.ctx)
		if f == nil || f.GetBodyChunk() == nil {
			return 0, errBodyCut
		}
		b.rest = f.GetBodyChunk().GetData()
		for _, t := range f.GetBodyChunk().GetTrailers() {
			if name := textproto.CanonicalMIMEHeaderKey(t.GetName()); b.trailer != nil {
				if _, ok := b.trailer[name]; ok {
					b.trailer[name] = t.GetValues()
				}
			}
		}
		b.done.Store(f.GetBodyChunk().GetLast())
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *bodyReader) Close() error {
	return nil
}
