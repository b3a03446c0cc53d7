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
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/beat"
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
	Listen  Listen
	// Upstream is the address of the upstream beside the daemon.
	Upstream string
	// Grace is how long a planned stop may take.
	Grace clock.Milli
	// ColdOverage is the tolerated multiple of the stated rate of a cold
	// upstream, zero if not told.
	ColdOverage float64
	// Memory is what the process may use, in bytes.
	Memory int64
}

// Listen holds the daemon's addresses.
type Listen struct {
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
	// Orders is written by the operators only.
	Orders string
	// Peers has a record of each daemon.
	Peers string
	// Status tells operators how far version moves are.
	Status string
}

// Heartbeats receives what an upstream says of itself.
type Heartbeats interface {
	// Beat takes in a heartbeat.
	Beat(ctx context.Context, r beat.Report)
	// Leave takes in that an instance ends; born is its start, zero if not told.
	Leave(ctx context.Context, instance string, born clock.Milli)
}

// Platform translates between the daemon and the platform it runs on.
type Platform interface {
	Store() feed.Store
	Topics() Topics
	// DecodeOrder is an order.Decoder.
	DecodeOrder(key string, value []byte) (order.Order, error)
	// StatusKey is the key of the status of a service's version move.
	StatusKey(service string) string
	EncodeStatus(version string, p canary.Phase) ([]byte, error)
	DecodeStatus(value []byte) (version string, p canary.Phase, err error)
	// Callers is the protocol of callers, whose routes table returns.
	Callers(table func() *route.Table) entry.Protocol
	// Upstream is the protocol of the upstream. Instance returns the one that
	// calls are meant for, and misdirected takes in that another one answered.
	Upstream(instance func() string, misdirected func(instance string)) guard.Protocol
	// Health asks the upstream at an address for its health.
	Health(ctx context.Context, addr, path string) (beat.Health, error)
	// Control serves heartbeats.
	Control(h Heartbeats) http.Handler
	// Ready serves readiness checks; the daemon is ready while check returns
	// nil.
	Ready(check func() error) http.Handler
}
