package entry_test

import (
	"bufio"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/inproc"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/guard"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
)

// seen is a request as the upstream received it.
type seen struct {
	length   int64
	encoding string
	expect   string
	sum      [sha256.Size]byte
	trailer  string
}

// Guards against bodies that change on the way: length, framing, trailers.
func TestRequestBodies(t *testing.T) {
	large := strings.Repeat("large", 100<<10)
	tests := map[string]struct {
		method, body     string
		unknown, expect  bool
		trailer          string
		length           int64
		encoding         string
		trailerOnAnswer  bool
		wantTrailerValue string
	}{
		"lookup without a body":            {method: "GET"},
		"booking without a body":           {method: "POST"},
		"small":                            {method: "POST", body: "abc", length: 3},
		"large":                            {method: "POST", body: large, length: int64(len(large))},
		"chunked below the inline limit":   {method: "POST", body: "abc", unknown: true, length: 3},
		"chunked above the inline limit":   {method: "POST", body: large, unknown: true, length: -1, encoding: "chunked"},
		"small that expects 100":           {method: "PUT", body: "abc", expect: true, length: 3},
		"large that expects 100":           {method: "PUT", body: large, expect: true, length: int64(len(large))},
		"trailers on a small request":      {method: "POST", body: "abc", unknown: true, trailer: "sum", length: -1, encoding: "chunked"},
		"trailers on a large request":      {method: "POST", body: large, unknown: true, trailer: "sum", length: -1, encoding: "chunked"},
		"trailers on the answer to lookup": {method: "GET", trailerOnAnswer: true, wantTrailerValue: "done"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got := make(chan seen, 1)
			m := inproc.New(t)
			m.AddNode(inproc.NodeSpec{Handler: func(w http.ResponseWriter, r *http.Request) {
				if tt.trailerOnAnswer {
					w.Header().Set("Trailer", "X-End")
					_, _ = io.WriteString(w, "body")
					w.Header().Set("X-End", "done")
				}
				b, _ := io.ReadAll(r.Body)
				s := seen{length: r.ContentLength, expect: r.Header.Get("Expect"), sum: sha256.Sum256(b), trailer: r.Trailer.Get("X-Sum")}
				s.encoding = strings.Join(r.TransferEncoding, ",")
				got <- s
			}})
			var body io.Reader = strings.NewReader(tt.body)
			if tt.unknown {
				body = struct{ io.Reader }{body}
			}
			r := m.Request(tt.method, "/", body)
			if tt.expect {
				r.Header.Set("Expect", "100-continue")
			}
			if tt.trailer != "" {
				r.Trailer = http.Header{"X-Sum": {tt.trailer}}
			}
			reply := m.Do(r)
			g.Expect(reply.Err).NotTo(HaveOccurred())
			g.Expect(reply.Status).To(Equal(200))
			g.Expect(reply.Trailer.Get("X-End")).To(Equal(tt.wantTrailerValue))
			g.Expect(<-got).To(Equal(seen{tt.length, tt.encoding, "", sha256.Sum256([]byte(tt.body)), tt.trailer}))
		})
	}
}

// endless counts what was read of it.
type endless struct{ n atomic.Int64 }

func (e *endless) Read(p []byte) (int, error) {
	e.n.Add(int64(len(p)))
	return len(p), nil
}

// Guards against an upload held in memory when the upstream reads slowly.
func TestUploadBackpressure(t *testing.T) {
	// One yamux window, socket buffers of three connections and copies.
	const maxTaken, maxHeap = 24 << 20, 16 << 20
	g := NewWithT(t)
	m := inproc.New(t)
	reading, hold := make(chan struct{}), make(chan struct{})
	m.AddNode(inproc.NodeSpec{Handler: func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, 10))
		close(reading)
		<-hold
	}})
	heap := func() uint64 {
		runtime.GC()
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	before := heap()
	src := &endless{}
	r := m.Request("POST", "/", io.LimitReader(src, 256<<20), header.TimeoutMs, "1000")
	done := make(chan inproc.Reply, 1)
	go func() { done <- m.Do(r) }()
	<-reading
	time.Sleep(400 * time.Millisecond)
	taken, grown := src.n.Load(), int64(heap())-int64(before)
	close(hold)
	<-done
	t.Logf("taken_bytes=%d heap_growth_bytes=%d", taken, grown)
	g.Expect(taken).To(BeNumerically("<", maxTaken))
	g.Expect(grown).To(BeNumerically("<", maxHeap))
}

// Guards against a refused upload whose body was asked for by 100 Continue.
func TestRefusedUploadSendsNothing(t *testing.T) {
	g := NewWithT(t)
	m := inproc.New(t)
	n := m.AddNode(inproc.NodeSpec{Handler: http.NotFound})
	n.Guard.StartDrain()
	c, err := net.Dial("tcp", strings.TrimPrefix(m.URL, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: svc\r\nContent-Length: 1000000\r\nExpect: 100-continue\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	line, err := bufio.NewReader(c).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(line).To(HavePrefix("HTTP/1.1 503"))
}

// Guards against bookings that the HTTP client repeats by itself when the
// upstream closes a connection at the moment of its reuse.
func TestConnectionClosedOnReuse(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	m := inproc.New(t)
	m.AddNode(inproc.NodeSpec{UpstreamAddr: inproc.RawUpstream(t, func(c *net.TCPConn, _ *http.Request) bool {
		runs.Add(1)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return false
	})})
	answered := 0
	const calls = 200
	for range calls {
		r := m.Do(m.Request("POST", "/", strings.NewReader("x"), "Idempotency-Key", "k"))
		switch {
		case r.Status == 200:
			answered++
		case r.OutcomeAndReason()[0] != "not_run":
			g.Expect(r.Status).To(Equal(502))
		}
	}
	g.Expect(runs.Load()).To(BeNumerically("<=", calls))
	g.Expect(runs.Load()).To(BeNumerically(">=", answered))
	g.Expect(answered).To(BeNumerically(">", 0))
}

// Guards against a refused upload that can't go to another target.
func TestRefusedUploadGoesElsewhere(t *testing.T) {
	g := NewWithT(t)
	for range 4 {
		m := inproc.New(t)
		u := newUpstream(false)
		m.AddNode(inproc.NodeSpec{Handler: http.NotFound, GuardOptions: []guard.Option{guard.WithAdmissionCheck(refuseAll)}})
		m.AddNode(inproc.NodeSpec{Handler: u.serve})
		upload := strings.Repeat("u", 1<<20)
		r := m.Do(m.Request("POST", "/upload", strings.NewReader(upload)))
		g.Expect(r.Status).To(Equal(200))
		g.Expect(string(r.Body)).To(Equal("ran " + upload))
	}
}
