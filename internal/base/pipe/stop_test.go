package pipe_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a planned stop that cuts requests that were started early. Shutdown
// closes connections between two responses.
func TestStopAnswersStartedRequests(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	conn, r := f.dial(t)
	_, err := io.WriteString(conn, get("/a?ms=900")+get("/b?ms=1200")+get("/c?ms=100"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(f.running.Load).Should(BeNumerically("==", 3))
	f.stopping.Store(true)
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Stop(context.Background()) }()
	g.Expect(readBodies(r, 9)).To(Equal([]string{"/a ", "/b ", "/c "}))
	g.Expect(<-stopped).To(Succeed())
}

// Guards against requests that a planned stop drops although they were read: those that wait
// behind another one on their connection and may not be started early.
func TestStopAnswersQueuedRequests(t *testing.T) {
	const stopDelay = 100 * time.Millisecond
	tests := map[string]struct {
		// first is sent before the stop begins, second stopDelay after that.
		first, second string
		want          []string
	}{
		"booking behind a lookup":    {"", get("/a?ms=300") + post("/b?ms=100", "x"), []string{"/a ", "/b x"}},
		"booking behind a booking":   {"", post("/a?ms=300", "x") + post("/b", "y") + post("/c", "z"), []string{"/a x", "/b y", "/c z"}},
		"sent before the stop":       {get("/a?ms=900") + post("/b", "x"), "", []string{"/a ", "/b x"}},
		"sent while the lookup runs": {get("/a?ms=400"), post("/b", "x"), []string{"/a ", "/b x"}},
		"more than may start early":  {"", strings.Repeat(get("/a?ms=100"), 12), slices.Repeat([]string{"/a "}, 12)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t)
			conn, r := f.dial(t)
			_, err := io.WriteString(conn, tt.first)
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(stopDelay)
			f.stopping.Store(true)
			stopped := make(chan error, 1)
			go func() { stopped <- f.server.Stop(context.Background()) }()
			time.Sleep(stopDelay)
			_, err = io.WriteString(conn, tt.second)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(readBodies(r, 99)).To(Equal(tt.want))
			g.Expect(<-stopped).To(Succeed())
		})
	}
}

// Guards against requests that run behind the response with which a planned stop closes the
// connection.
func TestNothingRunsBehindPlannedClose(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	f.stopping.Store(true)
	conn, r := f.dial(t)
	_, err := io.WriteString(conn, get("/a?ms=50")+post("/b", "x"))
	g.Expect(err).NotTo(HaveOccurred())
	for _, wantClose := range []bool{false, true} {
		resp, err := http.ReadResponse(r, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Close).To(Equal(wantClose))
		_, err = io.Copy(io.Discard, resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, _ = io.WriteString(conn, get("/c")+post("/d", "x"))
	g.Expect(readBodies(r, 1)).To(BeEmpty())
	time.Sleep(50 * time.Millisecond)
	g.Expect(f.allRuns()).To(Equal([]string{"/a", "/b"}))
}

// Guards against a planned stop that does not end because a caller always has another request
// on its way.
func TestStopEndsBesideRequestsWithoutEnd(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	conn, r := f.dial(t)
	go func() {
		var err error
		for err == nil {
			_, err = io.WriteString(conn, post("/a", "x"))
		}
	}()
	go func() { readBodies(r, 1<<20) }()
	g.Eventually(func() int { return len(f.allRuns()) }).Should(BeNumerically(">", 10))
	f.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	g.Expect(f.server.Stop(ctx)).To(Succeed())
}
