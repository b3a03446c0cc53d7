// Package meter collects a daemon's metrics (calls, store calls, gauges such as
// the age of its state) and serves them in the Prometheus text format.
package meter

import (
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Meter holds the metrics of one daemon. It is safe for concurrent use.
type Meter struct {
	set *metrics.Set
}

// New returns a meter without metrics.
func New() *Meter {
	return &Meter{set: metrics.NewSet()}
}

// ObserveCall records a call that finished at the entry, where kind is the kind
// of its route. The number of label sets is bounded, as outcome and reason come
// from fixed lists.
func (m *Meter) ObserveCall(kind, outcome, reason string, duration clock.Milli) {
	m.set.GetOrCreateCounter(`calls_total{kind="` + kind + `",outcome="` + outcome + `",reason="` + reason + `"}`).Inc()
	m.set.GetOrCreateHistogram(`call_seconds{kind="` + kind + `",outcome="` + outcome + `"}`).Update(float64(duration / clock.Second))
}

// ObserveUpstreamCall records a call that finished at the daemon's own upstream.
func (m *Meter) ObserveUpstreamCall(failed bool, duration clock.Milli) {
	name := "upstream_seconds{failed=\"false\"}"
	if failed {
		name = "upstream_seconds{failed=\"true\"}"
	}
	m.set.GetOrCreateHistogram(name).Update(float64(duration / clock.Second))
}

// CountRefusal counts a call that the guard refused for the given reason.
func (m *Meter) CountRefusal(reason string) {
	m.set.GetOrCreateCounter(`guard_refusals_total{reason="` + reason + `"}`).Inc()
}

// CountStoreCall counts a call to the platform's store and its result.
func (m *Meter) CountStoreCall(call, result string) {
	m.set.GetOrCreateCounter(`store_calls_total{call="` + call + `",result="` + result + `"}`).Inc()
}

// CountWindow counts a window of usage that was settled, reported or missed.
func (m *Meter) CountWindow(result string) {
	m.set.GetOrCreateCounter(`usage_windows_total{result="` + result + `"}`).Inc()
}

// AddGauge registers a gauge whose value is obtained from read whenever the
// metrics are written.
func (m *Meter) AddGauge(name string, read func() float64) {
	m.set.NewGauge(name, read)
}

// Write writes all metrics to w in the Prometheus text format.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
}

// ServeHTTP implements http.Handler.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.Write(w)
}
