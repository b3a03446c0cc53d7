package entry

import (
	"net/http"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/memory"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/charge"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// forwardResponse forwards the response to the caller and ends the attempt. If the
// response is truncated, it panics with http.ErrAbortHandler.
func (a *attempt) forwardResponse(res call.Result) {
	runner := a.runner
	header.Decode(runner.respWriter.Header(), a.head.GetHeaders())
	runner.writeResponseHead(int(a.head.GetStatus()))
	end, truncation := a.copyBody()
	now := runner.entry.clock.Now()
	res.State = link.DecodeUpstreamState(end.GetView(), now)
	summary := runner.summary(call.OutcomeAnswered, truncation, int(a.head.GetStatus()))
	a.reusable = truncation == call.ReasonNone && runner.body.fitsInline(runner.entry.maxInlineBytes)
	if truncation != call.ReasonNone {
		res.Failed = truncation != call.ReasonCancelled && truncation != call.ReasonMemory
		res.Reason = truncation
	}
	runner.service.recordResult(now, a.target.ID, res)
	runner.entry.logAndRecord(summary)
	a.close()
	if truncation != call.ReasonNone {
		// After the response head, only a broken connection tells the caller
		// that the response is truncated.
		panic(http.ErrAbortHandler)
	}
}

// copyBody copies the response body to the caller. It returns the reason why the
// response was truncated, or ReasonNone if it is complete.
func (a *attempt) copyBody() (*wire.ReplyEnd, call.Reason) {
	runner := a.runner
	contentLength := a.head.GetContentLength()
	var received int64
	if !a.reserveResponse() {
		return nil, call.ReasonMemory
	}
	for {
		f, err := a.stream.Receive()
		if err != nil {
			return nil, a.truncationReason()
		}
		if c := f.GetBodyChunk(); c != nil {
			received += int64(len(c.GetData()))
			if contentLength >= 0 && received > contentLength {
				return nil, call.ReasonUpstreamFailed
			}
			if err := a.write(c.GetData(), contentLength < 0); err != nil {
				return nil, call.ReasonCancelled
			}
			continue
		}
		end := f.GetReplyEnd()
		if end == nil || !a.matchesRequest(end.GetId()) || end.GetError() != "" || received != end.GetLength() {
			return end, call.ReasonUpstreamFailed
		}
		setTrailers(runner.respWriter.Header(), end.GetTrailers())
		return end, call.ReasonNone
	}
}

// reserveResponse charges what the stream may receive before the caller takes it. A response
// of one chunk is part of the cost of the call.
func (a *attempt) reserveResponse() bool {
	runner := a.runner
	runner.cutOff.respond()
	n := a.head.GetContentLength()
	if n >= 0 && n <= link.MaxChunkBytes {
		return true
	}
	if n < 0 || n > charge.WindowBytes/2 {
		n = charge.WindowBytes / 2
	}
	// The buffer of a stream grows by doubling.
	n *= 2
	return runner.account.Take(runner.httpReq.Context(), memory.Response, n)
}

// write writes a part of the response to the caller, who has to take it. A flush may wait for
// the caller, too.
func (a *attempt) write(data []byte, flush bool) error {
	account := a.runner.account
	account.Expect(len(data))
	_, err := a.runner.respWriter.Write(data)
	if err == nil && flush {
		// A failed flush ends the connection, which the next write reports.
		_ = http.NewResponseController(a.runner.respWriter).Flush()
	}
	account.SetAwaitsRemote(false)
	if err == nil && account.Ended() {
		// The writes of a later request on the connection would fail, too.
		return errCutOff
	}
	return err
}

// truncationReason returns why the stream ended before the end of the response.
func (a *attempt) truncationReason() call.Reason {
	runner := a.runner
	switch {
	case runner.httpReq.Context().Err() != nil:
		return call.ReasonCancelled
	case runner.entry.clock.Now() >= runner.request.Deadline:
		return call.ReasonDeadline
	default:
		return call.ReasonUpstreamFailed
	}
}

func setTrailers(h http.Header, trailers []*wire.Header) {
	for _, tr := range trailers {
		for _, v := range tr.GetValues() {
			h.Add(http.TrailerPrefix+tr.GetName(), v)
		}
	}
}
