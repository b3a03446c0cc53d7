package entry

import (
	"context"
	"net/http"
	"os"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/memory"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/charge"
)

// openAccount opens the account of the call. The returned function closes it.
func (r *callRunner) openAccount() func() {
	r.cutOff = &cutOff{writer: r.respWriter}
	account, done := r.entry.gate.OpenCall(r.httpReq.Context(), r.cutOff.run)
	r.account = account
	return func() {
		r.cutOff.end()
		done()
	}
}

// receiveBody reads the body of the request, or the part of it that is read before the first
// attempt. It returns the reason to refuse the request, which has not run.
func (r *callRunner) receiveBody(ctx context.Context) call.Reason {
	if !r.account.Take(ctx, memory.Call, charge.CallBytes+headBytes(r.httpReq.Header)) {
		r.respWriter.Header().Set("Connection", "close")
		return call.ReasonMemory
	}
	var err error
	r.body, err = readBody(r.httpReq, r.entry.maxBufferedBytes, r.account)
	switch {
	case r.account.Ended() || errors.Is(err, errNoRoom):
		r.respWriter.Header().Set("Connection", "close")
		return call.ReasonMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		return call.ReasonDeadline
	case err != nil:
		return call.ReasonBadRequest
	default:
		return call.ReasonNone
	}
}

// headBytes returns the size of the headers, which the call and its message to the guard
// each hold.
func headBytes(h http.Header) int64 {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(2 * n)
}
