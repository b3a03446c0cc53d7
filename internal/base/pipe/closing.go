package pipe

import "net/http"

// closingWriter closes the connection after a response if the server is stopping and nothing
// that was read behind the request has to be answered. It decides so as late as possible, with
// the head of the response: the caller may send further requests until it gets that.
type closingWriter struct {
	http.ResponseWriter
	conn    *conn
	decided bool
}

// setClose sets the header Connection, unless the head has been written.
func (w *closingWriter) setClose() {
	if w.decided {
		return
	}
	w.decided = true
	if w.conn.pipeline.stopping() && w.conn.seal() {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.setClose()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.setClose()
	return w.ResponseWriter.Write(p)
}

// FlushError is used by http.ResponseController.
func (w *closingWriter) FlushError() error {
	w.setClose()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is used by http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
