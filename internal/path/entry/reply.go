package entry

import (
	"net/http"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// reply passes the response on to the caller.
func (a *attempt) reply(res call.Result) {
	t := a.tries
	header.Decode(t.out.Header(), a.head.GetHeaders())
	t.writeHead(int(a.head.GetStatus()))
	end, cut := a.copyBody()
	now := t.entry.clock.Now()
	res.State = link.DecodeUpstreamState(end.GetView(), now)
	d := t.decision(call.OutcomeAnswered, cut, int(a.head.GetStatus()))
	a.clean = cut == call.ReasonNone && t.body.inline(t.entry.inline)
	if cut != call.ReasonNone {
		res.Failed = cut != call.ReasonCancelled
		res.Reason = cut
	}
	t.service.done(now, a.target.ID, res)
	t.entry.note(d)
	a.close()
	if cut != call.ReasonNone {
		// The only way to tell the caller that the response is cut short.
		panic(http.ErrAbortHandler)
	}
}

// copyBody copies the response body. It returns the reason why the response
// was cut short, or none.
func (a *attempt) copyBody() (*wire.ReplyEnd, call.Reason) {
	t := a.tries
	rc := http.NewResponseController(t.out)
	want := a.head.GetContentLength()
	var length int64
	for {
		f, err := a.stream.Receive()
		if err != nil {
			return nil, a.cutReason()
		}
		if c := f.GetBodyChunk(); c != nil {
			length += int64(len(c.GetData()))
			if want >= 0 && length > want {
				return nil, call.ReasonUpstreamFailed
			}
			if _, err := t.out.Write(c.GetData()); err != nil {
				return nil, call.ReasonCancelled
			}
			if want < 0 {
				_ = rc.Flush()
			}
			continue
		}
		end := f.GetReplyEnd()
		if end == nil || !a.own(end.GetId()) || end.GetError() != "" || length != end.GetLength() {
			return end, call.ReasonUpstreamFailed
		}
		setTrailers(t.out.Header(), end.GetTrailers())
		return end, call.ReasonNone
	}
}

// cutReason explains why the response stopped.
func (a *attempt) cutReason() call.Reason {
	t := a.tries
	switch {
	case t.in.Context().Err() != nil:
		return call.ReasonCancelled
	case t.entry.clock.Now() >= t.request.Deadline:
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
