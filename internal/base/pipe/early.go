package pipe

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// earlyCall runs the handler of a request before its turn. It is the handler's
// http.ResponseWriter: it records the response until its turn comes and passes the
// rest on.
type earlyCall struct {
	next    http.Handler
	request *http.Request
	cancel  context.CancelFunc

	mu      sync.Mutex
	changed *sync.Cond
	// header belongs to the handler until done is set.
	header http.Header
	// status is 0 until the handler sends the head, which sets sentHeader.
	status     int
	sentHeader http.Header
	recorded   bytes.Buffer
	// target is the server's writer, nil until the turn of the request.
	target http.ResponseWriter
	done   bool
	// panicked is the value with which the handler panicked, nil if it did not.
	panicked any

	// turnMu protects turn and writeDeadline. A write to the target, which may block, does
	// not hold it.
	turnMu sync.Mutex
	// turn is equal to target.
	turn http.ResponseWriter
	// writeDeadline is the one that was set before the turn, zero if none was.
	writeDeadline time.Time
}

// startCall starts the handler for m.
func startCall(ctx context.Context, next http.Handler, m *message) *earlyCall {
	ctx, cancel := context.WithCancel(ctx)
	// The handler may change the headers, which are compared later.
	r := m.request.Clone(ctx)
	r.Body = http.NoBody
	if len(m.body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(m.body))
	}
	e := &earlyCall{next: next, request: r, cancel: cancel, header: make(http.Header)}
	e.changed = sync.NewCond(&e.mu)
	go e.run()
	return e
}

// run runs the handler. A panic ends only this response: respond repeats it, so that
// the server handles it like that of any other request.
func (e *earlyCall) run() {
	stop := context.AfterFunc(e.request.Context(), e.wake)
	defer func() {
		panicked := recover()
		stop()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.done, e.panicked = true, panicked
		e.changed.Broadcast()
	}()
	e.next.ServeHTTP(e, e.request)
}

func (e *earlyCall) wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changed.Broadcast()
}

// respond writes the response to w and waits for the end of the handler.
func (e *earlyCall) respond(w http.ResponseWriter) {
	defer e.cancel()
	e.takeTurn(w)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.target = w
	if e.status != 0 {
		e.sendRecorded()
	}
	e.changed.Broadcast()
	for !e.done {
		e.changed.Wait()
	}
	if e.panicked != nil {
		panic(e.panicked)
	}
	// The handler adds trailers to the header after the body.
	maps.Copy(w.Header(), e.header)
}

// takeTurn applies to w the write deadline that was set before.
func (e *earlyCall) takeTurn(w http.ResponseWriter) {
	e.turnMu.Lock()
	defer e.turnMu.Unlock()
	e.turn = w
	if !e.writeDeadline.IsZero() {
		_ = http.NewResponseController(w).SetWriteDeadline(e.writeDeadline)
	}
}

// SetWriteDeadline is used by http.ResponseController. Before the turn of the request, the
// connection carries other responses, so a deadline in the past ends only this call.
func (e *earlyCall) SetWriteDeadline(deadline time.Time) error {
	e.turnMu.Lock()
	defer e.turnMu.Unlock()
	if e.turn != nil {
		return http.NewResponseController(e.turn).SetWriteDeadline(deadline)
	}
	e.writeDeadline = deadline
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		e.cancel()
	}
	return nil
}

// sendRecorded sends the head and the recorded body to the target.
func (e *earlyCall) sendRecorded() {
	maps.Copy(e.target.Header(), e.sentHeader)
	e.target.WriteHeader(e.status)
	// A failed write ends the connection and thereby the handler.
	_, _ = e.target.Write(e.recorded.Bytes())
	e.recorded = bytes.Buffer{}
}

// Header implements http.ResponseWriter.
func (e *earlyCall) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter.
func (e *earlyCall) WriteHeader(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writeHeader(status)
}

func (e *earlyCall) writeHeader(status int) {
	if e.status != 0 {
		return
	}
	e.status, e.sentHeader = status, e.header.Clone()
	if e.target != nil {
		e.sendRecorded()
	}
}

// Write implements http.ResponseWriter. It waits while too many bytes are recorded.
func (e *earlyCall) Write(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writeHeader(http.StatusOK)
	for e.target == nil && e.recorded.Len() > 0 && e.recorded.Len()+len(p) > maxRecordedBytes {
		if err := e.request.Context().Err(); err != nil {
			return 0, err
		}
		e.changed.Wait()
	}
	if e.target == nil {
		return e.recorded.Write(p)
	}
	return e.target.Write(p)
}

// FlushError is used by http.ResponseController.
func (e *earlyCall) FlushError() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.target == nil {
		return nil
	}
	return http.NewResponseController(e.target).Flush()
}
