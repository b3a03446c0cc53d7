// Package mesh builds and runs the daemon of a deployment without a coordinator or a
// list of VMs. Daemons read each other's records and the operators' orders from the
// platform's store, and synchronise with each other what the store does not deliver.
package mesh

import (
	"context"
	"net/http"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/route"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/usage"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/health"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/canary"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/entry"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/guard"
)

// Settings describe the daemon, its addresses and its limits.
type Settings struct {
	// Name is the VM's name, for logs.
	Name    string
	Centre  string
	Region  string
	Service string
	Listen  ListenAddrs
	// UpstreamAddr is the address of the upstream beside the daemon.
	UpstreamAddr string
	// StopTimeout limits a planned stop, including the exit of the process.
	StopTimeout clock.Milli
	// ColdOverage is the tolerated multiple of the stated call rate of a cold
	// upstream; zero means that it is not configured.
	ColdOverage float64
	// ColdSlack is the number of calls beyond that rate that a cold upstream tolerates in one
	// second; zero means that it is not configured.
	ColdSlack float64
	// RetryReserve is the number of retries that all daemons together may send to a
	// service within a few seconds, beyond a fraction of its calls. Zero means that it
	// is not limited.
	RetryReserve int
	// FirstStart is set when the whole system starts for the first time, so that the
	// store has no records of daemons.
	FirstStart bool
	// Usage describes the reports of usage, nil if the deployment has none.
	Usage *UsageSettings
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
}

// UsageSettings describe the duty to report usage.
type UsageSettings struct {
	Timing usage.Timing
	// Lease limits how soon the reports of two holders follow each other.
	Lease clock.Milli
	// MinInterval is the least time between two reports.
	MinInterval clock.Milli
}

// UsageReport says how many requests of each workspace upstreams began in a window.
type UsageReport struct {
	// Holder is the name of the daemon that reports, Token its fencing token.
	Holder string
	Token  int64
	Window usage.Window
}

// ListenAddrs holds the addresses that the daemon listens on.
type ListenAddrs struct {
	// Callers serves the requests of callers on this VM.
	Callers string
	// Peer serves other daemons. The address is also the daemon's id.
	Peer string
	// Readiness serves readiness checks.
	Readiness string
	// Control serves the upstream's heartbeats.
	Control string
	// Metrics serves counters and histograms as text.
	Metrics string
}

// Topics are the names of the store's topics that the daemon uses.
type Topics struct {
	// Directives has the operators' orders. Daemons only read it.
	Directives string
	// Peers has one record of each daemon.
	Peers string
	// Status has the status of the latest version move of each service, for operators and for
	// daemons that start.
	Status string
	// Usage has the lease and the settled counts of the duty to report usage.
	Usage string
}

// HeartbeatHandler handles what an upstream reports of itself.
type HeartbeatHandler interface {
	// HandleHeartbeat records a heartbeat. It returns an error if the heartbeat is not one of
	// this daemon's upstream.
	HandleHeartbeat(ctx context.Context, r health.Heartbeat) error
	// HandleDeregister records the end of an instance that started at startedAt, which
	// is zero if the upstream does not state it.
	HandleDeregister(ctx context.Context, instance string, startedAt clock.Milli)
}

// Platform adapts the daemon to the store, the protocols and the formats of its platform.
type Platform interface {
	Store() feed.Store
	// ReportUsage sends a report. Reports may be repeated.
	ReportUsage(ctx context.Context, r UsageReport) error
	Topics() Topics
	// DecodeDirective is an order.Decoder.
	DecodeDirective(key string, value []byte) (order.Directive, error)
	// StatusKey returns the key in the status topic for a service's version move.
	StatusKey(service string) string
	EncodeStatus(s canary.Status) ([]byte, error)
	DecodeStatus(value []byte) (canary.Status, error)
	// CallerProtocol returns the protocol of callers. The table function returns the
	// routes in force, nil before the first configuration.
	CallerProtocol(table func() *route.Table) entry.Protocol
	// UpstreamProtocol returns the protocol of the upstream. The instance function
	// returns the instance that calls are meant for; misdirected is called if
	// another one answers.
	UpstreamProtocol(instance func() string, misdirected func(instance string)) guard.Protocol
	// CheckHealth sends one health check to the upstream at an address.
	CheckHealth(ctx context.Context, addr, path string) (health.CheckResult, error)
	// ControlHandler returns a handler that decodes heartbeats and passes them to h.
	ControlHandler(h HeartbeatHandler) http.Handler
	// ReadinessHandler returns a handler for readiness checks. The daemon is ready while
	// check returns nil.
	ReadinessHandler(check func() error) http.Handler
}
