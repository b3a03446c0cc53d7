package mesh

import (
	"context"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/health"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
)

// HandleHeartbeat implements HeartbeatHandler. If the upstream drains, it returns
// once the record with this state is stored, at the latest after leaveStoreTimeout.
func (n *Node) HandleHeartbeat(ctx context.Context, r health.Heartbeat) error {
	lacksStart := false
	n.upstream.update(func(now clock.Milli, t *health.Tracker) {
		lacksStart = t.LacksStart(r)
		t.HandleHeartbeat(now, r)
	})
	if lacksStart {
		return errors.Errorf("heartbeat of %s without the start time that its upstream states", r.Instance)
	}
	if r.Draining {
		n.announceAndWait(ctx)
	}
	return nil
}

// HandleDeregister implements HeartbeatHandler. It returns once the end of the instance
// is stored, at the latest after leaveStoreTimeout.
func (n *Node) HandleDeregister(ctx context.Context, instance string, startedAt clock.Milli) {
	n.log.Info().Str("upstream", instance).Msg("upstream_deregistered")
	n.upstream.update(func(_ clock.Milli, t *health.Tracker) { t.HandleDeregister(instance, startedAt) })
	n.announceAndWait(ctx)
}

// announceAndWait announces the state of the upstream and waits for the store, at most
// leaveStoreTimeout.
func (n *Node) announceAndWait(ctx context.Context) {
	if !waitFor(ctx, n.announcer.update(n.setUpstreamFields), leaveStoreTimeout) {
		n.log.Warn().Msg("leave_acknowledged_before_stored")
	}
}

// announceUpstream announces the state of the upstream. It does nothing before the
// announcer exists.
func (n *Node) announceUpstream() {
	if n.announcer != nil {
		n.announcer.update(n.setUpstreamFields)
	}
}

// setUpstreamFields copies the state of the upstream to a record.
func (n *Node) setUpstreamFields(r *peers.Record) {
	u := n.upstream.state()
	r.Instance, r.StartedAt, r.Version, r.Slots, r.Leaving = u.Instance, u.StartedAt, u.Version, u.Slots, u.Leaving
}

// handleRequestError marks the upstream as down if it refused a connection.
func (n *Node) handleRequestError(err error) {
	if isConnRefused(err) {
		n.upstream.update(func(_ clock.Milli, t *health.Tracker) { t.HandleConnectFailure() })
	}
}
