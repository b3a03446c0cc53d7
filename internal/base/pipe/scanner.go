package pipe

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// maxHeadBytes is the size of the largest request head that is parsed ahead. A
// net/http server accepts heads of this size whatever its MaxHeaderBytes is.
const maxHeadBytes = 4 << 10

// message is a request that was read ahead.
type message struct {
	request *http.Request
	body    []byte
	// missing is the number of body bytes that did not arrive yet.
	missing int64
	// overlaps is set if the request may run at the same time as its neighbours.
	overlaps bool
	call     *earlyCall
	// headBytes is the size of the head.
	headBytes int
	// give gives back what is charged for the message.
	give func()
}

// scanner finds the requests in the bytes of a connection, up to one with a body that
// is large or of unknown length.
type scanner struct {
	head []byte
	// current is the message whose body is being received.
	current *message
}

// cost returns the bytes that the message takes. Its body grows by doubling, and its head is
// held as text and as headers.
func (m *message) cost() int64 {
	return messageBytes + 2*int64(m.headBytes) + 2*m.missing
}

// scanResult says what next consumed.
type scanResult struct {
	// consumed is the number of bytes that belong to the message.
	consumed int
	// message is set when the head of a request is complete.
	message *message
	// last is set if no further request can be found on the connection.
	last bool
}

// next consumes bytes of data up to the end of a head or of a body.
func (s *scanner) next(data []byte) scanResult {
	if s.current != nil {
		return scanResult{consumed: s.consumeBody(data)}
	}
	known := len(s.head)
	s.head = append(s.head, data...)
	end := headEnd(s.head, known)
	if end < 0 {
		return scanResult{consumed: len(data), last: len(s.head) > maxHeadBytes}
	}
	head := s.head[:end]
	s.head = nil
	result := scanResult{consumed: end - known}
	r, err := parseHead(head)
	if err != nil || end > maxHeadBytes || !isPlain(r, head) {
		result.last = true
		return result
	}
	result.message = &message{request: r, missing: r.ContentLength, headBytes: len(head)}
	result.last = r.Close || r.ContentLength > maxEarlyBodyBytes
	if r.ContentLength > 0 {
		s.current = result.message
	}
	return result
}

// consumeBody consumes and keeps bytes of the body of the current message.
func (s *scanner) consumeBody(data []byte) int {
	m := s.current
	n := int(min(m.missing, int64(len(data))))
	m.body = append(m.body, data[:n]...)
	m.missing -= int64(n)
	if m.missing == 0 {
		s.current = nil
	}
	return n
}

// headEnd returns the length of the head at the start of b, up to and including the
// empty line, or -1 if it is incomplete. The first known bytes contain no empty line.
func headEnd(b []byte, known int) int {
	for i := max(known-2, 0); i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		rest := b[i+1:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return i + len("\n\n")
		}
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			return i + len("\n\r\n")
		}
	}
	return -1
}

// parseHead parses a head with the parser that the server uses.
func parseHead(head []byte) (*http.Request, error) {
	src := bytes.NewReader(head)
	// The reader has the size of the head, so that parsing reads nothing else.
	buffered := bufio.NewReaderSize(src, max(len(head), 16))
	r, err := http.ReadRequest(buffered)
	if err != nil {
		return nil, err
	}
	if buffered.Buffered() > 0 || src.Len() > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	return r, nil
}

// isPlain reports whether the server accepts the request and the end of its body is
// known from the head. A request behind one that the server rejects must not run.
func isPlain(r *http.Request, head []byte) bool {
	if !r.ProtoAtLeast(1, 1) || r.ProtoMajor != 1 || r.Method == http.MethodConnect {
		return false
	}
	if len(r.TransferEncoding) > 0 || r.ContentLength < 0 || r.Header.Get("Expect") != "" || r.Header.Get("Upgrade") != "" {
		return false
	}
	if countHosts(head) != 1 || !httpguts.ValidHostHeader(r.Host) {
		return false
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return false
			}
		}
	}
	return true
}

// countHosts returns the number of Host headers.
func countHosts(head []byte) int {
	const name = "host:"
	n := 0
	for line := range bytes.Lines(head) {
		if len(line) >= len(name) && bytes.EqualFold(line[:len(name)], []byte(name)) {
			n++
		}
	}
	return n
}
