// Package mesh builds and runs the daemon of a deployment without a coordinator
// or a list of VMs: daemons find each other and the operators' orders in the
// platform's store, and tell each other what the store does not tell them.
package mesh

import (
	"context"
	"net/http"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/route"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/health"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/canary"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/entry"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/guard"
)

// Settings say what the daemon is and where it listens.
type Settings struct {
	// Name is the VM's name, for logs.
	Name    string
	Centre  string
	Region  string
	Service string
	Listen  ListenAddrs
	// Upstream is the address of the upstream beside the daemon.
	Upstream string
	// StopTimeout is how long a planned stop may take.
	StopTimeout clock.Milli
	// ColdOverage is the tolerated multiple of the stated rate of a cold
	// upstream, zero if not told.
	ColdOverage float64
	// MemoryBytes is what the process may use, in bytes.
	MemoryBytes int64
}

// ListenAddrs holds the daemon's addresses.
type ListenAddrs struct {
	// Callers accepts the requests of callers on this VM.
	Callers string
	// Peer accepts other daemons. It is the daemon's id.
	Peer string
	// Ready answers whether the daemon can serve.
	Ready string
	// Control accepts the upstream's heartbeats.
	Control string
	// Metrics serves counters and histograms as text.
	Metrics string
}

// Topics are the topics of the store that the daemon uses.
type Topics struct {
	// Directives is written by the operators only.
	Directives string
	// Peers has a record of each daemon.
	Peers string
	// Status tells operators how far version moves are.
	Status string
}

// HeartbeatHandler receives what an upstream says of itself.
type HeartbeatHandler interface {
	// HandleHeartbeat takes in a heartbeat.
	HandleHeartbeat(ctx context.Context, r health.Heartbeat)
	// HandleDeregister takes in that an instance ends; born is its start, zero if not told.
	HandleDeregister(ctx context.Context, instance string, born clock.Milli)
}

// Platform translates between the daemon and the platform it runs on.
type Platform interface {
	Store() feed.Store
	Topics() Topics
	// DecodeDirective is an order.Decoder.
	DecodeDirective(key string, value []byte) (order.Directive, error)
	// StatusKey is the key of the status of a service's version move.
	StatusKey(service string) string
	EncodeStatus(version string, p canary.Phase) ([]byte, error)
	DecodeStatus(value []byte) (version string, p canary.Phase, err error)
	// CallerProtocol is the protocol of callers, whose routes table returns.
	CallerProtocol(table func() *route.Table) entry.Protocol
	// UpstreamProtocol is the protocol of the upstream. Instance returns the one that
	// calls are meant for, and misdirected takes in that another one answered.
	UpstreamProtocol(instance func() string, misdirected func(instance string)) guard.Protocol
	// CheckHealth asks the upstream at an address for its health.
	CheckHealth(ctx context.Context, addr, path string) (health.CheckResult, error)
	// ControlHandler serves heartbeats.
	ControlHandler(h HeartbeatHandler) http.Handler
	// ReadinessHandler serves readiness checks; the daemon is ready while check returns
	// nil.
	ReadinessHandler(check func() error) http.Handler
}
