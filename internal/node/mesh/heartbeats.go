package mesh

import (
	"context"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/health"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
)

// HandleHeartbeat implements Heartbeats. An upstream that drains is noted in the store
// before its heartbeat is answered, as far as time allows.
func (n *Node) HandleHeartbeat(ctx context.Context, r health.Heartbeat) {
	n.upstream.update(func(now clock.Milli, k *health.Tracker) { k.HandleHeartbeat(now, r) })
	if r.Draining {
		n.awaitStored(ctx)
	}
}

// HandleDeregister implements Heartbeats.
func (n *Node) HandleDeregister(ctx context.Context, instance string, born clock.Milli) {
	n.log.Info().Str("upstream", instance).Msg("upstream_deregistered")
	n.upstream.update(func(_ clock.Milli, k *health.Tracker) { k.HandleDeregister(instance, born) })
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
	r.Instance, r.StartedAt, r.Version, r.Slots, r.Leaving = u.Instance, u.StartedAt, u.Version, u.Slots, u.Leaving
}

// upstreamFailed takes in a failure to reach the upstream.
func (n *Node) upstreamFailed(err error) {
	if refused(err) {
		n.upstream.update(func(_ clock.Milli, k *health.Tracker) { k.HandleConnectFailure() })
	}
}
