package guard_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/inproc"
)

// Guards against responses whose status is none of a final response: the caller would get it,
// or its connection would end without a response.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "+20", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			g := NewWithT(t)
			harness := inproc.New(t)
			harness.AddNode(inproc.NodeSpec{UpstreamAddr: inproc.RawUpstream(t, func(c *net.TCPConn, _ *http.Request) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 3\r\n\r\nabc")
				return true
			})})
			for range 2 {
				r := harness.Do(harness.Request(http.MethodPost, "/", nil))
				g.Expect(r.Err).NotTo(HaveOccurred())
				g.Expect(r.Status).To(Equal(http.StatusBadGateway))
				g.Expect(r.OutcomeAndReason()).To(Equal([2]string{"unknown", "invalid_answer"}))
			}
		})
	}
}

// earlyHead begins a response of unknown length, which ends with the connection.
const earlyHead = "HTTP/1.1 200 OK\r\n\r\n"

// earlyPart is the part of the response that the upstream sends.
var earlyPart = bytes.Repeat([]byte("x"), 800)

// slowReader returns its data in small parts.
type slowReader struct{ data io.Reader }

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return s.data.Read(p[:min(len(p), 8<<10)])
}

// Guards against a part of a response that is passed on as a whole one: the upstream resets
// the connection while the upload is still being written, and the write consumes the error, so
// that the read ends like that of a closed connection.
func TestResponseIsCutDuringUpload(t *testing.T) {
	const mib = 1 << 20
	upload := func(size int) io.Reader { return bytes.NewReader(make([]byte, size)) }
	tests := map[string]struct {
		body func() io.Reader
		runs int
	}{
		"long":    {func() io.Reader { return upload(8 * mib) }, 100},
		"slow":    {func() io.Reader { return slowReader{upload(400 << 10)} }, 20},
		"chunked": {func() io.Reader { return io.MultiReader(upload(900 << 10)) }, 50},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			harness := inproc.New(t)
			harness.AddNode(inproc.NodeSpec{UpstreamAddr: inproc.EarlyUpstream(t, func(c *net.TCPConn, r *http.Request) {
				_, _ = io.CopyN(io.Discard, r.Body, 64<<10)
				_, _ = c.Write(append([]byte(earlyHead), earlyPart...))
				time.Sleep(2 * time.Millisecond)
				_ = c.SetLinger(0)
			})})
			whole := 0
			for range tt.runs {
				r := harness.Do(harness.Request(http.MethodPost, "/", tt.body()))
				if r.Err == nil && r.Status == http.StatusOK {
					whole++
				}
			}
			NewWithT(t).Expect(whole).To(BeZero())
		})
	}
}

// Guards against the loss of a response that ends in order before the upload does.
func TestResponseEndsDuringUpload(t *testing.T) {
	const size = 4 << 20
	g := NewWithT(t)
	harness := inproc.New(t)
	harness.AddNode(inproc.NodeSpec{UpstreamAddr: inproc.EarlyUpstream(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, 64<<10)
		_, _ = c.Write(append([]byte(earlyHead), earlyPart...))
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	})})
	for range 20 {
		r := harness.Do(harness.Request(http.MethodPost, "/", bytes.NewReader(make([]byte, size))))
		g.Expect(r.Err).NotTo(HaveOccurred())
		g.Expect(r.Status).To(Equal(http.StatusOK))
		g.Expect(r.Body).To(Equal(earlyPart))
	}
}

// Guards against a booking that the HTTP client sends again by itself, because it takes a
// request without a body for one that may be repeated if a certain header is there, even an
// empty one, and the answer on a reused connection is lost.
func TestLostAnswerIsNotReplayed(t *testing.T) {
	tests := map[string][]string{
		"no key":            nil,
		"key":               {"Idempotency-Key", "k"},
		"empty key":         {"Idempotency-Key", ""},
		"other key":         {"X-Idempotency-Key", "k"},
		"empty other key":   {"X-Idempotency-Key", ""},
		"empty key, two":    {"Idempotency-Key", "", "X-Idempotency-Key", ""},
		"empty and filled":  {"Idempotency-Key", "", "X-Idempotency-Key", "k"},
		"key in lower case": {"idempotency-key", ""},
	}
	for name, headers := range tests {
		for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
			t.Run(name+" "+method, func(t *testing.T) {
				g := NewWithT(t)
				var mu sync.Mutex
				runs := map[string]int{}
				harness := inproc.New(t)
				harness.AddNode(inproc.NodeSpec{UpstreamAddr: inproc.RawUpstream(t, func(c *net.TCPConn, r *http.Request) bool {
					mu.Lock()
					defer mu.Unlock()
					runs[r.URL.Path]++
					if r.URL.Path == "/lost" {
						return false
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					return true
				})})
				for _, path := range []string{"/first", "/lost"} {
					harness.Do(harness.Request(method, path, nil, headers...))
				}
				mu.Lock()
				defer mu.Unlock()
				g.Expect(runs).To(Equal(map[string]int{"/first": 1, "/lost": 1}))
			})
		}
	}
}
