package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/bench/inproc"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/memory"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/charge"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/entry"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
)

// Guards against a request that is refused as not run for lack of memory and runs, against
// one that finds room and is refused, and against bytes that stay charged.
func TestOutcomesWithoutRoom(t *testing.T) {
	tests := map[string]struct {
		limit, body int64
		path        string
		status      int
		runs        int64
	}{
		"room":                       {1 << 20, 300 << 10, "/upload", 200, 1},
		"no room for the call":       {16 << 10, 0, "/upload", 503, 0},
		"no room for the body":       {48 << 10, 40 << 10, "/upload", 503, 0},
		"no room for its stream":     {100 << 10, 300 << 10, "/upload", 503, 0},
		"short call, room for it":    {48 << 10, 10, "/upload", 200, 1},
		"no room for a long answer":  {100 << 10, 10, "/long", 0, 1},
		"room for a long answer too": {1 << 20, 10, "/long", 200, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			gate := charge.New(tt.limit, clock.NewReal(), zerolog.Nop())
			harness := inproc.New(t, entry.WithGate(gate), entry.WithBodyLimits(512<<10, 4<<10))
			var runs atomic.Int64
			harness.AddNode(inproc.NodeSpec{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				runs.Add(1)
				if r.URL.Path == "/long" {
					_, _ = io.WriteString(w, strings.Repeat("x", 200<<10))
				}
			})})
			// A reader of an unknown type makes the body chunked.
			got := harness.Do(harness.Request(http.MethodPost, tt.path, io.LimitReader(strings.NewReader(strings.Repeat("x", 1<<20)), tt.body)))
			g.Expect(got.Status).To(Equal(tt.status))
			g.Expect(runs.Load()).To(Equal(tt.runs))
			if tt.status == http.StatusServiceUnavailable {
				g.Expect(got.OutcomeAndReason()).To(Equal([2]string{"not_run", "memory"}))
				g.Expect(got.Header.Get("Retry-After")).NotTo(BeEmpty())
			}
			g.Eventually(func() int64 { return gate.Used() }).Should(BeZero())
		})
	}
}

// stalledWriter is a caller for which flushes wait until a write deadline is set.
type stalledWriter struct {
	*httptest.ResponseRecorder
	cut chan struct{}
}

func (w *stalledWriter) FlushError() error {
	<-w.cut
	return os.ErrDeadlineExceeded
}

func (w *stalledWriter) SetWriteDeadline(time.Time) error {
	close(w.cut)
	return nil
}

// Guards against a caller that takes a response of small pieces too slowly and keeps its room,
// as only flushes wait for it.
func TestStalledFlushIsCutOff(t *testing.T) {
	g := NewWithT(t)
	const limit = 1 << 20
	gate := charge.New(limit, clock.NewReal(), zerolog.Nop())
	harness := inproc.New(t, entry.WithGate(gate))
	harness.AddNode(inproc.NodeSpec{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "piece")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})})
	done := make(chan any, 1)
	go func() {
		defer func() { done <- recover() }()
		w := &stalledWriter{httptest.NewRecorder(), make(chan struct{})}
		harness.Entry.ServeHTTP(w, harness.Request(http.MethodGet, "/", nil, header.TimeoutMs, "10000"))
	}()
	time.Sleep(1500 * time.Millisecond)
	other := gate.Open("other", func() {})
	defer other.Close()
	g.Expect(other.Take(t.Context(), memory.Body, limit/2)).To(BeTrue())
	g.Expect(<-done).To(Equal(http.ErrAbortHandler))
}
