package guard

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/memory"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/charge"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// exchange forwards one admitted call to the upstream and its response to the
// entry.
type exchange struct {
	stream    *stream
	callStart *wire.CallStart
	request   *call.Request
	// body is nil if CallStart contained the whole body.
	body *bodyReader
	// account is charged for what the call holds.
	account      *charge.Account
	trace        connTrace
	receivedAt   clock.Milli
	dispatchedAt clock.Milli
	result       admit.Result
	status       int
}

// run dispatches the request and forwards the response. It reports whether the
// stream can be used for another call.
func (x *exchange) run(ctx context.Context) bool {
	g := x.stream.guard
	defer x.finish()
	if !x.reserve() {
		x.result.NotRun = true
		return x.stream.refuse(x.callStart, refusal{outcome: call.OutcomeNotRun, reason: call.ReasonMemory})
	}
	body, ok := x.openBody(ctx)
	if !ok {
		return false
	}
	if reason := g.tryDispatch(x.request); reason != call.ReasonNone {
		return x.stream.refuse(x.callStart, refusal{outcome: refusalOutcome(reason), reason: reason})
	}
	x.dispatchedAt = g.clock.Now()
	g.log.Info().Str("request", x.request.ID.String()).Str("label", x.request.ClientRequestID).
		Float64("waited_ms", float64(x.dispatchedAt-x.receivedAt)).Float64("left_ms", float64(x.request.Deadline-x.dispatchedAt)).
		Msg("call_handed_over")
	req, err := g.upstream.newRequest(ctx, g.protocol, &x.trace, x.callStart, body, x.request, x.dispatchedAt)
	if err != nil {
		return x.stream.refuse(x.callStart, refusal{outcome: call.OutcomeNotRun, reason: call.ReasonBadRequest, detail: err.Error()})
	}
	if x.body != nil {
		req.Trailer = x.body.trailer
	}
	resp, err := g.upstream.transport.RoundTrip(req)
	if err != nil {
		return x.handleRequestError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if info := x.recordResponse(resp); info.NotRun || info.InvalidReason != "" {
		return x.refuseResponse(info)
	}
	if endsWithConn(resp) {
		resp.Body = &connBody{ReadCloser: resp.Body, conn: x.trace.conn.Load()}
	}
	ok = x.forwardResponse(resp)
	g.recordSample(Sample{Request: x.request, Status: x.status, Failed: x.result.Failed, Latency: x.result.Latency})
	return ok
}

// finish reports the end of the call to the admitter.
func (x *exchange) finish() {
	g := x.stream.guard
	if x.result.NotRun && x.dispatchedAt > 0 {
		g.onNotRun(x.dispatchedAt, x.request)
	}
	g.finishCall(x.request.ID, x.result)
}

// reserve charges what the exchange takes, and the window through which a body arrives unless
// CallStart contained it.
func (x *exchange) reserve() bool {
	if !x.account.TryTake(memory.Call, charge.ExchangeBytes) {
		return false
	}
	return x.callStart.GetBodyComplete() || x.account.TryTake(memory.Body, charge.WindowBytes)
}

// openBody returns the request body. If CallStart did not contain all of it, the
// entry sends the body after the message Admitted, which openBody sends.
func (x *exchange) openBody(ctx context.Context) (io.ReadCloser, bool) {
	if x.callStart.GetBodyComplete() {
		// For this type, the HTTP client sends head and body in one write.
		return io.NopCloser(bytes.NewReader(x.callStart.GetBody())), true
	}
	err := x.stream.link.Send(&wire.Frame{Body: &wire.Frame_Admitted{Admitted: &wire.Admitted{Id: x.callStart.GetId()}}})
	x.body = &bodyReader{ctx: ctx, stream: x.stream, account: x.account, trailer: announcedTrailers(x.callStart)}
	return x.body, err == nil
}

// recordResponse parses the head of the response and fills in the result of the
// call for the admitter.
func (x *exchange) recordResponse(resp *http.Response) ResponseInfo {
	x.status = resp.StatusCode
	info := x.parseResponse(resp)
	x.result.Latency = x.stream.guard.clock.Now() - x.dispatchedAt
	x.result.Failed = resp.StatusCode >= http.StatusInternalServerError
	x.result.NewConnection = !x.trace.reused.Load()
	x.result.Epoch, x.result.Load = info.Epoch, info.Load
	if info.InvalidReason == "" && info.Notice.Instance != "" {
		info.Notice.RequestedAt = x.dispatchedAt
		x.stream.guard.onNotice(info.Notice)
	}
	return info
}

func (x *exchange) parseResponse(resp *http.Response) ResponseInfo {
	if !header.IsFinalStatus(resp.StatusCode) {
		return ResponseInfo{InvalidReason: fmt.Sprintf("status %03d is not that of a response", resp.StatusCode)}
	}
	return x.stream.guard.protocol.ParseResponse(resp, x.request, x.trace.reused.Load())
}

// refuseResponse refuses a call whose response says that the upstream did not run
// it, or is invalid.
func (x *exchange) refuseResponse(info ResponseInfo) bool {
	if info.CloseConn {
		x.trace.closeConn()
	}
	if info.NotRun {
		x.result.NotRun, x.result.Failed = true, false
		return x.stream.refuse(x.callStart, refusal{outcome: call.OutcomeNotRun, reason: call.ReasonShed}) && x.bodyReceived()
	}
	x.trace.closeConn()
	return x.refuseUnusableResponse(call.ReasonInvalidAnswer, info.InvalidReason)
}

// refuseUnusableResponse refuses, with an unknown outcome, a call whose response
// can't be forwarded.
func (x *exchange) refuseUnusableResponse(reason call.Reason, detail string) bool {
	x.result.Failed = true
	x.stream.guard.recordSample(Sample{Request: x.request, Failed: true, Latency: x.result.Latency})
	return x.stream.refuse(x.callStart, refusal{reason: reason, detail: detail}) && x.bodyReceived()
}

// handleRequestError refuses a call whose request failed without a response. The
// outcome is unknown unless no byte of the request reached the upstream.
func (x *exchange) handleRequestError(ctx context.Context, err error) bool {
	g := x.stream.guard
	x.result.Failed = ctx.Err() == nil
	x.result.Cancelled = !x.result.Failed
	x.result.Latency = g.clock.Now() - x.dispatchedAt
	out, reason := call.OutcomeUnknown, call.ReasonUpstreamFailed
	if !x.trace.mayHaveReachedUpstream() {
		out, reason = call.OutcomeNotRun, call.ReasonDialFailed
		x.result.NotRun = true
	}
	if ctx.Err() != nil {
		reason = contextEndReason(ctx)
	}
	if x.result.Failed {
		g.onRequestError(err)
		g.recordSample(Sample{Request: x.request, Failed: true, Latency: x.result.Latency})
		if out == call.OutcomeUnknown && g.onBreak(x.request) {
			reason = call.ReasonCrashes
		}
	}
	return x.stream.refuse(x.callStart, refusal{outcome: out, reason: reason, detail: err.Error()}) && x.bodyReceived()
}

// bodyReceived reports whether all frames of the request body were received.
func (x *exchange) bodyReceived() bool {
	return x.body == nil || x.body.receivedLast.Load()
}

// forwardResponse forwards the response to the entry. If the upstream truncates the
// response, ReplyEnd contains an error, so that the entry aborts its own response
// too. It reports whether the stream can be used for another call.
func (x *exchange) forwardResponse(resp *http.Response) bool {
	g := x.stream.guard
	head := &wire.ReplyHead{
		Id:            x.callStart.GetId(),
		Status:        uint32(resp.StatusCode),
		Headers:       header.Encode(resp.Header),
		ContentLength: resp.ContentLength,
	}
	end := &wire.ReplyEnd{Id: x.callStart.GetId()}
	if (g.protocol.BufferResponses() || isShort(resp)) && x.reserveResponse(resp) {
		body, err := bufferResponse(resp)
		if err != nil {
			reason := call.ReasonUpstreamFailed
			if x.request.Deadline > g.clock.Now() && g.onBreak(x.request) {
				reason = call.ReasonCrashes
			}
			return x.refuseUnusableResponse(reason, err.Error())
		}
		resp.Body = io.NopCloser(body)
	}
	if err := x.sendResponse(head, end, resp); err != nil {
		x.result.Failed = true
		return false
	}
	assert.That(bytes.Equal(head.GetId(), x.request.ID[:]), assert.OwnAnswer, "response of request %x sent for request %s", head.GetId(), x.request.ID)
	g.log.Info().Str("request", x.request.ID.String()).Str("label", x.request.ClientRequestID).Int("status", x.status).
		Float64("ms", float64(x.result.Latency)).Int64("bytes", end.GetLength()).Msg("call_answered")
	return end.GetError() == "" && x.bodyReceived()
}

// reserveResponse charges what bufferResponse holds. A response that finds no room is
// passed on as it comes. One of a chunk is part of the cost of the call.
func (x *exchange) reserveResponse(resp *http.Response) bool {
	if isShort(resp) {
		return true
	}
	// A buffer of unknown length grows by doubling.
	n := int64(2 * maxBufferedResponseBytes)
	if resp.ContentLength >= 0 {
		n = min(maxBufferedResponseBytes, resp.ContentLength)
	}
	return x.account.TryTake(memory.Response, n)
}

// send sends frames to the entry, which has to take them.
func (x *exchange) send(frames []*wire.Frame) error {
	x.account.Expect(link.MaxChunkBytes)
	defer x.account.SetAwaitsRemote(false)
	return x.stream.link.Send(frames...)
}

// sendResponse sends head, body and end of the response. A short response of known
// length is sent with one write.
func (x *exchange) sendResponse(head *wire.ReplyHead, end *wire.ReplyEnd, resp *http.Response) error {
	headFrame := &wire.Frame{Body: &wire.Frame_ReplyHead{ReplyHead: head}}
	endFrame := &wire.Frame{Body: &wire.Frame_ReplyEnd{ReplyEnd: end}}
	frames := make([]*wire.Frame, 0, 3)
	frames = append(frames, headFrame)
	if !isShort(resp) {
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
			x.completeReplyEnd(end, err, resp)
			return x.send(append(frames, endFrame))
		}
		if err := x.send(frames); err != nil {
			return err
		}
		frames = frames[:0]
	}
}

// completeReplyEnd sets the fields of end after the body ended with err. An err
// other than io.EOF makes the call a failed one.
func (x *exchange) completeReplyEnd(end *wire.ReplyEnd, err error, resp *http.Response) {
	if !errors.Is(err, io.EOF) {
		end.Error = err.Error()
		x.result.Failed = true
	}
	end.Trailers = header.Encode(resp.Trailer)
	end.View = link.EncodeUpstreamState(x.stream.guard.UpstreamState())
}

// isShort reports whether the length of a response is known and fits one chunk. Such
// a response is forwarded only when it is complete, so a truncated one can still be
// replaced by an error response.
func isShort(resp *http.Response) bool {
	return resp.ContentLength >= 0 && resp.ContentLength <= link.MaxChunkBytes
}

// readChunk reads the whole body if the response is short, otherwise the next
// available part of it.
func readChunk(resp *http.Response, buf []byte) (int, error) {
	if !isShort(resp) {
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
