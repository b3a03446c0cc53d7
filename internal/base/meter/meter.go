// Package meter counts calls, store calls and the ages of what a daemon
// believes, and serves the counts as text.
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

// New returns a meter without counts.
func New() *Meter {
	return &Meter{set: metrics.NewSet()}
}

// ObserveCall counts the end of a call at the entry. Kind is that of its route; the
// label sets are bounded by the fixed words of outcome and reason.
func (m *Meter) ObserveCall(kind, outcome, reason string, took clock.Milli) {
	m.set.GetOrCreateCounter(`calls_total{kind="` + kind + `",outcome="` + outcome + `",reason="` + reason + `"}`).Inc()
	m.set.GetOrCreateHistogram(`call_seconds{kind="` + kind + `",outcome="` + outcome + `"}`).Update(float64(took / clock.Second))
}

// ObserveUpstreamCall counts the end of a call at the upstream beside the daemon.
func (m *Meter) ObserveUpstreamCall(failed bool, took clock.Milli) {
	name := "upstream_seconds{failed=\"false\"}"
	if failed {
		name = "upstream_seconds{failed=\"true\"}"
	}
	m.set.GetOrCreateHistogram(name).Update(float64(took / clock.Second))
}

// CountRefusal counts a call that the guard refused.
func (m *Meter) CountRefusal(reason string) {
	m.set.GetOrCreateCounter(`guard_refusals_total{reason="` + reason + `"}`).Inc()
}

// CountStoreCall counts a call to the platform's store.
func (m *Meter) CountStoreCall(call, result string) {
	m.set.GetOrCreateCounter(`store_calls_total{call="` + call + `",result="` + result + `"}`).Inc()
}

// AddGauge adds a figure that is read whenever the metrics are.
func (m *Meter) AddGauge(name string, read func() float64) {
	m.set.NewGauge(name, read)
}

// Write writes all metrics as text.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
}

// ServeHTTP implements http.Handler.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.Write(w)
}
