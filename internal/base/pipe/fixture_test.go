package pipe_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/httpd"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/pipe"
)

const testTimeout = 10 * time.Second

// fixture is a server with a pipeline. Its handler records the paths it runs, in order,
// and waits as long as the query "ms" says.
type fixture struct {
	server    *httpd.Server
	pipeline  *pipe.Pipeline
	addr      string
	stopping  atomic.Bool
	cancelled atomic.Int32
	running   atomic.Int32
	maxRuns   atomic.Int32
	cut       atomic.Int32

	mu   sync.Mutex
	runs []string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	g := NewWithT(t)
	f := &fixture{}
	f.pipeline = pipe.New(pipe.WithRepeatable(func(r *http.Request) bool { return r.Header.Get("Once") == "" }),
		pipe.WithStopping(f.stopping.Load))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	f.addr = l.Addr().String()
	f.server = &httpd.Server{
		HTTP: &http.Server{
			Handler: f.pipeline.Middleware(f), ReadHeaderTimeout: 400 * time.Millisecond, MaxHeaderBytes: 4 << 10,
		},
		Listener: l, MaxConnections: 100, Pipeline: f.pipeline,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.server.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		g.Expect(<-done).To(MatchError(context.Canceled))
	})
	return f
}

func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.runs = append(f.runs, r.URL.Path)
	f.mu.Unlock()
	f.maxRuns.Store(max(f.maxRuns.Load(), f.running.Add(1)))
	defer f.running.Add(-1)
	body, _ := io.ReadAll(r.Body)
	d, _ := time.ParseDuration(r.URL.Query().Get("ms") + "ms")
	select {
	case <-time.After(d):
	case <-r.Context().Done():
		f.cancelled.Add(1)
		return
	}
	switch r.URL.Path {
	case "/abort":
		panic(http.ErrAbortHandler)
	case "/cut":
		f.writeUntilCut(w)
		return
	case "/close":
		w.Header().Set("Connection", "close")
	case "/large":
		for range 100 {
			_, _ = io.WriteString(w, strings.Repeat("x", 10<<10))
		}
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
}

// writeUntilCut writes without end and sets a write deadline in the past meanwhile.
func (f *fixture) writeUntilCut(w http.ResponseWriter) {
	time.AfterFunc(300*time.Millisecond, func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0)) })
	var err error
	for err == nil {
		_, err = io.WriteString(w, strings.Repeat("x", 32<<10))
	}
	f.cut.Add(1)
}

func (f *fixture) allRuns() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.runs...)
}

func (f *fixture) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", f.addr)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c, bufio.NewReader(c)
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nOnce: 1\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// readBodies reads responses until the connection ends and returns their bodies.
func readBodies(r *bufio.Reader, limit int) []string {
	var out []string
	for len(out) < limit {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return out
		}
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			return out
		}
		if resp.StatusCode != http.StatusOK {
			b = []byte(resp.Status)
		}
		out = append(out, string(b))
	}
	return out
}
