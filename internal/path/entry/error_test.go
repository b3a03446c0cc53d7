package entry_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/inproc"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/header"
)

// Guards against an error response to a lookup although another target could have
// answered it, and against a second run of a booking that got an error response.
func TestErrorResponseRetriedOnOtherTarget(t *testing.T) {
	tests := map[string]struct {
		method   string
		statuses []int
		runs     int32
	}{
		"lookup":  {http.MethodGet, []int{200}, 2},
		"booking": {http.MethodPost, []int{200, 500}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for range 8 {
				g := NewWithT(t)
				harness := inproc.New(t, withPolicy(fixedRetryPolicy{}))
				var runs atomic.Int32
				for _, status := range []int{500, 200} {
					harness.AddNode(inproc.NodeSpec{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						runs.Add(1)
						w.WriteHeader(status)
					})})
				}
				r := harness.Do(harness.Request(tt.method, "/", strings.NewReader("")))
				g.Expect(tt.statuses).To(ContainElement(r.Status))
				g.Expect(r.Header.Get(header.Outcome)).To(Equal("answered"))
				g.Expect(runs.Load()).To(BeNumerically("<=", tt.runs))
			}
		})
	}
}

// Guards against the outcome "not_run" for a lookup that got an error response from
// one target and a refusal from the next.
func TestRefusalAfterErrorIsNotReportedNotRun(t *testing.T) {
	g := NewWithT(t)
	fail := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	// The first target is random, so some of the calls get the error first.
	for range 16 {
		harness := inproc.New(t, withPolicy(fixedRetryPolicy{}))
		harness.AddNode(inproc.NodeSpec{Handler: fail})
		harness.AddNode(inproc.NodeSpec{Handler: fail}).Guard.StartDrain()
		r := harness.Do(harness.Request(http.MethodGet, "/", nil))
		g.Expect(r.Header.Get(header.Outcome)).NotTo(Equal("not_run"))
	}
}
