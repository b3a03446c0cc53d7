package entry_test

import (
	"io"
	"net/http"
	"testing"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/inproc"
)

// BenchmarkCall measures a lookup through an entry and a guard in one process.
func BenchmarkCall(b *testing.B) {
	harness := inproc.New(b)
	harness.AddNode(inproc.NodeSpec{Handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }})
	t := &http.Transport{}
	b.Cleanup(t.CloseIdleConnections)
	r := harness.Request("GET", "/", nil)
	b.ReportAllocs()
	for b.Loop() {
		resp, err := t.RoundTrip(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if len(harness.NextCallSummary().Request.Service) == 0 {
			b.Fatal("call summary without a service")
		}
	}
}
