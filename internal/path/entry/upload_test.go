package entry_test

import (
	"bytes"
	"io"
	"log"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/inproc"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
)

// logBuffer collects the log output of a server. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Guards against a panic of the HTTP server when a response is sent before the
// upload was read: the server must not read the next request from the connection
// while the body is still being read.
func TestUploadAnsweredEarly(t *testing.T) {
	g := NewWithT(t)
	harness := inproc.New(t)
	var logged logBuffer
	harness.HTTP.ErrorLog = log.New(&logged, "", 0)
	harness.AddNode(inproc.NodeSpec{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "refused early", http.StatusInternalServerError)
	})})
	upload := strings.Repeat("x", 300<<10)
	for range 300 {
		req, err := http.NewRequest(http.MethodPost, harness.URL+"/upload", strings.NewReader(upload))
		g.Expect(err).NotTo(HaveOccurred())
		req.Host = inproc.Service
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal("refused early\n"))
	}
	time.Sleep(50 * time.Millisecond)
	g.Expect(logged.String()).NotTo(ContainSubstring("panic"))
}

// Guards against an upload that is refused like a malformed one because it is still arriving when
// its time is over: callers do not send a malformed request again.
func TestUploadIsTooSlow(t *testing.T) {
	g := NewWithT(t)
	harness := inproc.New(t)
	harness.AddNode(inproc.NodeSpec{Handler: func(http.ResponseWriter, *http.Request) {}})
	body, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	go func() { _, _ = io.WriteString(writer, "the first part") }()
	req := harness.Request(http.MethodPost, "/upload", body, header.TimeoutMs, "100")
	req.ContentLength = 1000
	r := harness.Do(req)
	g.Expect(r.Err).NotTo(HaveOccurred())
	g.Expect(r.Status).To(Equal(http.StatusGatewayTimeout))
	g.Expect(r.OutcomeAndReason()).To(Equal([2]string{"not_run", "deadline"}))
}
