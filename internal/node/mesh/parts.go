package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"

	"github.com/justinas/alice"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/httpd"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/route"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/place"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/retry"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/beat"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/entry"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	controlShare = wire.ControlKind_CONTROL_KIND_SHARE

	// retryShare is what a first attempt earns of a further one, and retryMost
	// what is saved up. All daemons together stay below a fifth of the calls.
	retryShare = 0.1
	retryMost  = 3
	// errorCost is what a retry after an upstream's error takes: the upstream
	// makes its calls to other services again, and those count there.
	errorCost = 2
	// tries bounds the targets that one call is offered to.
	tries = 6

	// memberCalm is the pause between reads of other daemons' records. What is
	// urgent in them, peers tell each other.
	memberCalm = 2 * clock.Second

	// heldBytes is the largest body that is read whole before the first
	// attempt, so that a refused upload can go elsewhere. inlineBytes is the
	// largest that travels before the call was admitted.
	heldBytes   = 512 << 10
	inlineBytes = 4 << 10

	// upstreamIdle is how long a connection to the upstream is kept without a
	// request.
	upstreamIdle = 4 * clock.Second

	// callerHeaderTimeout bounds how long a caller may take to send its header.
	callerHeaderTimeout = 10 * clock.Second
	// callerIdle is how long a caller's connection is kept without a request.
	// It is longer than callers keep theirs, so that none crosses the close.
	callerIdle = 2 * clock.Minute
	// callerConnections and callerHeaderBytes bound what callers use.
	callerConnections = 1500
	callerHeaderBytes = 64 << 10
)

func newPicker(r *rand.Rand) entry.Picker {
	return place.New(r)
}

func newRetrier() entry.Retrier {
	return retry.New(retry.WithShare(retryShare, retryMost), retry.WithFreeMoves(tries), retry.WithErrorCost(errorCost))
}

// peerServer runs the peer port under the supervisor.
type peerServer struct {
	server   *link.Server
	listener net.Listener
}

// Serve implements suture.Service.
func (p *peerServer) Serve(ctx context.Context) error {
	return p.server.Serve(ctx, p.listener)
}

func newServer(h http.Handler) *httpd.Server {
	return &httpd.Server{
		HTTP: &http.Server{
			Handler: alice.New().Then(h), ReadHeaderTimeout: callerHeaderTimeout.Duration(),
			IdleTimeout: callerIdle.Duration(), MaxHeaderBytes: callerHeaderBytes,
		},
		Connections: callerConnections,
	}
}

// Targets returns the upstreams of a service that this daemon can reach.
func (n *Node) Targets(service string) []call.Target {
	return n.table.Targets(service)
}

// routes returns the routes in force, nil before the first configuration.
func (n *Node) routes() *route.Table {
	return n.book.Orders().Table
}

// ownService describes the service of the upstream beside the daemon.
func (n *Node) ownService() route.Service {
	t := n.routes()
	if t == nil {
		return route.Service{}
	}
	return t.Services[n.settings.Service]
}

// Beat implements Heartbeats. An upstream that drains is noted in the store
// before its heartbeat is answered, as far as time allows.
func (n *Node) Beat(ctx context.Context, r beat.Report) {
	n.upstream.update(func(now clock.Milli, k *beat.Keeper) { k.Beat(now, r) })
	if r.Draining {
		n.awaitStored(ctx)
	}
}

// Leave implements Heartbeats.
func (n *Node) Leave(ctx context.Context, instance string, born clock.Milli) {
	n.log.Info().Str("upstream", instance).Msg("upstream_deregistered")
	n.upstream.update(func(_ clock.Milli, k *beat.Keeper) { k.Leave(instance, born) })
	n.awaitStored(ctx)
}

func (n *Node) awaitStored(ctx context.Context) {
	if !await(ctx, n.announce.change(n.describe), leaveWait) {
		n.log.Warn().Msg("leave_acknowledged_before_stored")
	}
}

// upstreamChanged announces a change of the upstream.
func (n *Node) upstreamChanged() {
	if n.announce != nil {
		n.announce.change(n.describe)
	}
}

// describe sets what the record says of the upstream.
func (n *Node) describe(r *peers.Record) {
	u := n.upstream.state()
	r.Upstream, r.Born, r.Version, r.Slots, r.Leaving = u.Instance, u.Born, u.Version, u.Slots, u.Leaving
}

// upstreamFailed takes in a failure to reach the upstream.
func (n *Node) upstreamFailed(err error) {
	if refused(err) {
		n.upstream.update(func(_ clock.Milli, k *beat.Keeper) { k.Failed() })
	}
}
