package entry_test

import (
	"io"
	"net/http"
	"testing"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/inproc"
)

// BenchmarkCall runs lookups through entry and guard in one process.
func BenchmarkCall(b *testing.B) {
	m := inproc.New(b)
	m.AddNode(inproc.NodeSpec{Handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }})
	t := &http.Transport{}
	b.Cleanup(t.CloseIdleConnections)
	r := m.Request("GET", "/", nil)
	b.ReportAllocs()
	for b.Loop() {
		resp, err := t.RoundTrip(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if len(m.NextCallSummary().Request.Service) == 0 {
			b.Fatal("no service")
		}
	}
}
