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

// receivedRequest is a request as the upstream received it.
type receivedRequest struct {
	length   int64
	encoding string
	expect   string
	sum      [sha256.Size]byte
	trailer  string
}

// Guards against request bodies whose length, framing or trailers change between
// caller and upstream.
func TestRequestBodies(t *testing.T) {
	large := strings.Repeat("large", 100<<10)
	tests := map[string]struct {
		method, body                  string
		unknownLength, expectContinue bool
		trailer                       string
		length                        int64
		encoding                      string
		trailerOnAnswer               bool
		wantTrailerValue              string
	}{
		"lookup without a body":            {method: "GET"},
		"booking without a body":           {method: "POST"},
		"small":                            {method: "POST", body: "abc", length: 3},
		"large":                            {method: "POST", body: large, length: int64(len(large))},
		"chunked below the inline limit":   {method: "POST", body: "abc", unknownLength: true, length: 3},
		"chunked above the inline limit":   {method: "POST", body: large, unknownLength: true, length: -1, encoding: "chunked"},
		"small that expects 100":           {method: "PUT", body: "abc", expectContinue: true, length: 3},
		"large that expects 100":           {method: "PUT", body: large, expectContinue: true, length: int64(len(large))},
		"trailers on a small request":      {method: "POST", body: "abc", unknownLength: true, trailer: "sum", length: -1, encoding: "chunked"},
		"trailers on a large request":      {method: "POST", body: large, unknownLength: true, trailer: "sum", length: -1, encoding: "chunked"},
		"trailers on the answer to lookup": {method: "GET", trailerOnAnswer: true, wantTrailerValue: "done"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got := make(chan receivedRequest, 1)
			harness := inproc.New(t)
			harness.AddNode(inproc.NodeSpec{Handler: func(w http.ResponseWriter, r *http.Request) {
				if tt.trailerOnAnswer {
					w.Header().Set("Trailer", "X-End")
					_, _ = io.WriteString(w, "body")
					w.Header().Set("X-End", "done")
				}
				b, _ := io.ReadAll(r.Body)
				s := receivedRequest{length: r.ContentLength, expect: r.Header.Get("Expect"), sum: sha256.Sum256(b), trailer: r.Trailer.Get("X-Sum")}
				s.encoding = strings.Join(r.TransferEncoding, ",")
				got <- s
			}})
			var body io.Reader = strings.NewReader(tt.body)
			if tt.unknownLength {
				body = struct{ io.Reader }{body}
			}
			r := harness.Request(tt.method, "/", body)
			if tt.expectContinue {
				r.Header.Set("Expect", "100-continue")
			}
			if tt.trailer != "" {
				r.Trailer = http.Header{"X-Sum": {tt.trailer}}
			}
			reply := harness.Do(r)
			g.Expect(reply.Err).NotTo(HaveOccurred())
			g.Expect(reply.Status).To(Equal(200))
			g.Expect(reply.Trailer.Get("X-End")).To(Equal(tt.wantTrailerValue))
			g.Expect(<-got).To(Equal(receivedRequest{tt.length, tt.encoding, "", sha256.Sum256([]byte(tt.body)), tt.trailer}))
		})
	}
}

// infiniteReader provides unspecified bytes without end and counts them.
type infiniteReader struct{ n atomic.Int64 }

func (e *infiniteReader) Read(p []byte) (int, error) {
	e.n.Add(int64(len(p)))
	return len(p), nil
}

// Guards against buffering an upload in memory when the upstream does not read it.
func TestUploadBackpressure(t *testing.T) {
	// The limit covers a yamux window, the socket buffers of three connections
	// and copies.
	const maxReadBytes, maxHeapGrowthBytes = 24 << 20, 16 << 20
	g := NewWithT(t)
	harness := inproc.New(t)
	reading, release := make(chan struct{}), make(chan struct{})
	harness.AddNode(inproc.NodeSpec{Handler: func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, 10))
		close(reading)
		<-release
	}})
	heap := func() uint64 {
		runtime.GC()
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	before := heap()
	src := &infiniteReader{}
	r := harness.Request("POST", "/", io.LimitReader(src, 256<<20), header.TimeoutMs, "1000")
	done := make(chan inproc.Reply, 1)
	go func() { done <- harness.Do(r) }()
	<-reading
	time.Sleep(400 * time.Millisecond)
	readBytes, heapGrowthBytes := src.n.Load(), int64(heap())-int64(before)
	close(release)
	<-done
	t.Logf("read_bytes=%d heap_growth_bytes=%d", readBytes, heapGrowthBytes)
	g.Expect(readBytes).To(BeNumerically("<", maxReadBytes))
	g.Expect(heapGrowthBytes).To(BeNumerically("<", maxHeapGrowthBytes))
}

// Guards against sending 100 Continue for an upload that is then refused.
func TestRefusedUploadSendsNothing(t *testing.T) {
	g := NewWithT(t)
	harness := inproc.New(t)
	node := harness.AddNode(inproc.NodeSpec{Handler: http.NotFound})
	node.Guard.StartDrain()
	c, err := net.Dial("tcp", strings.TrimPrefix(harness.URL, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: svc\r\nContent-Length: 1000000\r\nExpect: 100-continue\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	line, err := bufio.NewReader(c).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(line).To(HavePrefix("HTTP/1.1 503"))
}

// Guards against bookings that the HTTP client replays when the upstream closes a
// connection while it is being reused.
func TestConnectionClosedOnReuse(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	harness := inproc.New(t)
	harness.AddNode(inproc.NodeSpec{UpstreamAddr: inproc.RawUpstream(t, func(c *net.TCPConn, _ *http.Request) bool {
		runs.Add(1)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return false
	})})
	answered := 0
	const calls = 200
	for range calls {
		r := harness.Do(harness.Request("POST", "/", strings.NewReader("x"), "Idempotency-Key", "k"))
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

// Guards against a refused upload that is not retried on another target.
func TestRefusedUploadRetriedOnOtherTarget(t *testing.T) {
	g := NewWithT(t)
	for range 4 {
		harness := inproc.New(t)
		u := newFakeUpstream(false)
		harness.AddNode(inproc.NodeSpec{Handler: http.NotFound, GuardOptions: []guard.Option{guard.WithAdmissionCheck(refuseAll)}})
		harness.AddNode(inproc.NodeSpec{Handler: u.serve})
		upload := strings.Repeat("u", 1<<20)
		r := harness.Do(harness.Request("POST", "/upload", strings.NewReader(upload)))
		g.Expect(r.Status).To(Equal(200))
		g.Expect(string(r.Body)).To(Equal("ran " + upload))
	}
}
