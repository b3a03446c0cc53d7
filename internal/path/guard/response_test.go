package guard_test

import (
	"io"
	"net"
	"net/http"
	"testing"

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
