package httpd_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/httpd"
)

// Guards against a planned stop that drops a request on a connection which was
// accepted just before.
func TestStopServesAcceptedConnections(t *testing.T) {
	g := NewWithT(t)
	for range 10 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		h := &httpd.Server{
			HTTP:     &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})},
			Listener: l, MaxConnections: 100,
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- h.Serve(ctx) }()
		var wg sync.WaitGroup
		cut := make(chan error, 1000)
		for range 16 {
			wg.Go(func() { hammer(l.Addr().String(), cut) })
		}
		time.Sleep(20 * time.Millisecond)
		g.Expect(h.Stop(context.Background())).To(Succeed())
		wg.Wait()
		cancel()
		g.Expect(<-done).To(MatchError(context.Canceled))
		close(cut)
		for err := range cut {
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
}

// hammer opens a connection per request until none is accepted any more.
func hammer(addr string, cut chan<- error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get("http://" + addr)
		switch {
		case err == nil:
			_ = resp.Body.Close()
		case strings.Contains(err.Error(), "EOF"):
			cut <- err
			return
		default:
			return
		}
	}
}
