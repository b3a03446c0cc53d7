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

// Guards against an error that a caller sees although another target could
// have answered, and against a second run of a booking that got an error.
func TestErrorIsTriedElsewhere(t *testing.T) {
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
				m := inproc.New(t, withPolicy(policy{}))
				var runs atomic.Int32
				for _, status := range []int{500, 200} {
					m.AddNode(inproc.NodeSpec{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						runs.Add(1)
						w.WriteHeader(status)
					})})
				}
				r := m.Do(m.Request(tt.method, "/", strings.NewReader("")))
				g.Expect(tt.statuses).To(ContainElement(r.Status))
				g.Expect(r.Header.Get(header.Outcome)).To(Equal("answered"))
				g.Expect(runs.Load()).To(BeNumerically("<=", tt.runs))
			}
		})
	}
}

// Guards against a "not run" for a lookup that was run and got an error.
func TestErrorThenRefusalIsNotNotRun(t *testing.T) {
	g := NewWithT(t)
	fail := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	// The first target is drawn, so that some of the calls meet the error first.
	for range 16 {
		m := inproc.New(t, withPolicy(policy{}))
		m.AddNode(inproc.NodeSpec{Handler: fail})
		m.AddNode(inproc.NodeSpec{Handler: fail}).Guard.StartDrain()
		r := m.Do(m.Request(http.MethodGet, "/", nil))
		g.Expect(r.Header.Get(header.Outcome)).NotTo(Equal("not_run"))
	}
}
