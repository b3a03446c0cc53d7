package guard

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// exchange is one admitted call between the entry and the upstream.
type exchange struct {
	stream  *stream
	start   *wire.CallStart
	request *call.Request
	body    *bodyReader
	trace   trace
	arrived clock.Milli
	handed  clock.Milli
	result  admit.Result
	status  int
}

// run hands the request over and passes the response on. It reports whether
// the stream can be used for more.
func (x *exchange) run(ctx context.Context) bool {
	g := x.stream.guard
	defer func() { g.release(x.request.ID, x.result) }()
	body, ok := x.openBody(ctx)
	if !ok {
		return false
	}
	if reason := g.handOver(x.request); reason != call.ReasonNone {
		return x.stream.refuse(x.start, outcome(reason), reason, "")
	}
	x.handed = g.clock.Now()
	g.log.Info().Str("request", x.request.ID.String()).Str("label", x.request.ClientRequestID).
		Float64("waited_ms", float64(x.handed-x.arrived)).Float64("left_ms", float64(x.request.Deadline-x.handed)).
		Msg("call_handed_over")
	req, err := g.upstream.request(ctx, g.protocol, &x.trace, x.start, body, x.request, x.handed)
	if err != nil {
		return x.stream.refuse(x.start, call.OutcomeNotRun, call.ReasonBadRequest, err.Error())
	}
	if x.body != nil {
		req.Trailer = x.body.trailer
	}
	resp, err := g.upstream.transport.RoundTrip(req)
	if err != nil {
		return x.fail(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if head := x.observe(resp); head.NotRun || head.InvalidReason != "" {
		return x.rejected(head)
	}
	ok = x.reply(resp)
	g.sample(Sample{Request: x.request, Status: x.status, Failed: x.result.Failed, Latency: x.result.Latency})
	return ok
}

// openBody returns the request body. A body that is not complete yet is only
// sent by the entry after it knows that the call was admitted.
func (x *exchange) openBody(ctx context.Context) (io.ReadCloser, bool) {
	if x.start.GetBodyComplete() {
		// The client recognises this type and sends head and body in one write.
		return io.NopCloser(bytes.NewReader(x.start.GetBody())), true
	}
	err := x.stream.link.Send(&wire.Frame{Body: &wire.Frame_Admitted{Admitted: &wire.Admitted{Id: x.start.GetId()}}})
	x.body = &bodyReader{ctx: ctx, stream: x.stream, trailer: trailerOf(x.start)}
	return x.body, err == nil
}

func (x *exchange) observe(resp *http.Response) ResponseInfo {
	x.status = resp.StatusCode
	head := x.stream.guard.protocol.ParseResponse(resp, x.request)
	x.result.Latency = x.stream.guard.clock.Now() - x.handed
	x.result.Failed = resp.StatusCode >= http.StatusInternalServerError
	x.result.NewConnection = !x.trace.reused.Load()
	x.result.Epoch, x.result.Load = head.Epoch, head.Load
	return head
}

// rejected reports a response that is no answer to the call.
func (x *exchange) rejected(head ResponseInfo) bool {
	if head.NotRun {
		x.result.NotRun, x.result.Failed = true, false
		return x.stream.refuse(x.start, call.OutcomeNotRun, call.ReasonShed, "") && x.bodyDone()
	}
	return x.useless(call.ReasonInvalidAnswer, head.InvalidReason)
}

// useless reports a response that can't be passed on.
func (x *exchange) useless(reason call.Reason, detail string) bool {
	x.result.Failed = true
	x.stream.guard.sample(Sample{Request: x.request, Failed: true, Latency: x.result.Latency})
	return x.stream.refuse(x.start, call.OutcomeUnknown, reason, detail) && x.bodyDone()
}

// fail reports a request without a response.
func (x *exchange) fail(ctx context.Context, err error) bool {
	g := x.stream.guard
	x.result.Failed = ctx.Err() == nil
	x.result.Cancelled = !x.result.Failed
	x.result.Latency = g.clock.Now() - x.handed
	out, reason := call.OutcomeUnknown, call.ReasonUpstreamFailed
	if !x.trace.reached() {
		out, reason = call.OutcomeNotRun, call.ReasonDialFailed
		x.result.NotRun = true
	}
	if ctx.Err() != nil {
		reason = endReason(ctx)
	}
	if x.result.Failed {
		g.failed(err)
		g.sample(Sample{Request: x.request, Failed: true, Latency: x.result.Latency})
	}
	return x.stream.refuse(x.start, out, reason, err.Error()) && x.bodyDone()
}

// bodyDone reports whether no frame of the request body is outstanding.
func (x *exchange) bodyDone() bool {
	return x.body == nil || x.body.done.Load()
}

// reply passes the response on. A response that the upstream breaks off ends
// with an error in ReplyEnd, so that the entry breaks its own off too.
func (x *exchange) reply(resp *http.Response) bool {
	g := x.stream.guard
	head := &wire.ReplyHead{
		Id:            x.start.GetId(),
		Status:        uint32(resp.StatusCode),
		Headers:       header.Encode(resp.Header),
		ContentLength: resp.ContentLength,
	}
	end := &wire.ReplyEnd{Id: x.start.GetId()}
	if g.protocol.BufferResponses() {
		body, err := readWhole(resp)
		if err != nil {
			return x.useless(call.ReasonUpstreamFailed, err.Error())
		}
		resp.Body = io.NopCloser(body)
	}
	if err := x.send(head, end, resp); err != nil {
		x.result.Failed = true
		return false
	}
	assert.That(bytes.Equal(head.GetId(), x.request.ID[:]), assert.OwnAnswer, "reply %x to request %s", head.GetId(), x.request.ID)
	g.log.Info().Str("request", x.request.ID.String()).Str("label", x.request.ClientRequestID).Int("status", x.status).
		Float64("ms", float64(x.result.Latency)).Int64("bytes", end.GetLength()).Msg("call_answered")
	return end.GetError() == "" && x.bodyDone()
}

func (x *exchange) send(head *wire.ReplyHead, end *wire.ReplyEnd, resp *http.Response) error {
	headFrame := &wire.Frame{Body: &wire.Frame_ReplyHead{ReplyHead: head}}
	endFrame := &wire.Frame{Body: &wire.Frame_ReplyEnd{ReplyEnd: end}}
	frames := make([]*wire.Frame, 0, 3)
	frames = append(frames, headFrame)
	if resp.ContentLength < 0 || resp.ContentLength > link.MaxChunkBytes {
		if err := x.stream.link.Send(headFrame); err != nil {
			return err
		}
		frames = frames[:0]
	}
	buf := make([]byte, chunkSize(resp.ContentLength))
	for {
		n, err := readChunk(resp, buf)
		end.Length += int64(n)
		if n > 0 {
			frames = append(frames, &wire.Frame{Body: &wire.Frame_BodyChunk{BodyChunk: &wire.BodyChunk{Data: buf[:n]}}})
		}
		if err != nil {
			x.finish(end, err, resp)
			return x.stream.link.Send(append(frames, endFrame)...)
		}
		if err := x.stream.link.Send(frames...); err != nil {
			return err
		}
		frames = frames[:0]
	}
}

func (x *exchange) finish(end *wire.ReplyEnd, err error, resp *http.Response) {
	if !errors.Is(err, io.EOF) {
		end.Error = err.Error()
		x.result.Failed = true
	}
	end.Trailers = header.Encode(resp.Trailer)
	end.View = link.EncodeUpstreamState(x.stream.guard.View())
}

// readChunk reads a small body in one piece, and what is there of others.
func readChunk(resp *http.Response, buf []byte) (int, error) {
	if resp.ContentLength < 0 || resp.ContentLength > link.MaxChunkBytes {
		return resp.Body.Read(buf)
	}
	n, err := io.ReadFull(resp.Body, buf[:resp.ContentLength])
	if err == nil {
		err = io.EOF
	}
	return n, err
}

func chunkSize(length int64) int64 {
	if length < 0 || length > link.MaxChunkBytes {
		return link.MaxChunkBytes
	}
	return length
}
