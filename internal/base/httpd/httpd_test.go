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

// Guards against a planned stop that drops a request on a connection that was
// accepted just before the listener closed.
func TestStopServesAcceptedConnections(t *testing.T) {
	g := NewWithT(t)
	for range 10 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		server := &httpd.Server{
			HTTP:     &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})},
			Listener: l, MaxConnections: 100,
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- server.Serve(ctx) }()
		var wg sync.WaitGroup
		broken := make(chan error, 1000)
		for range 16 {
			wg.Go(func() { requestUntilRefused(l.Addr().String(), broken) })
		}
		time.Sleep(20 * time.Millisecond)
		g.Expect(server.Stop(context.Background())).To(Succeed())
		wg.Wait()
		cancel()
		g.Expect(<-done).To(MatchError(context.Canceled))
		close(broken)
		for err := range broken {
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
}

// requestUntilRefused sends requests, each on a new connection, until one fails.
// It sends the error to broken if a connection was accepted and then closed.
func requestUntilRefused(addr string, broken chan<- error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get("http://" + addr)
		switch {
		case err == nil:
			_ = resp.Body.Close()
		case strings.Contains(err.Error(), "EOF"):
			broken <- err
			return
		default:
			return
		}
	}
}
