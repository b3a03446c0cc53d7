package mesh

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/route"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

// Targets returns the upstreams of a service that this daemon can reach.
func (n *Node) Targets(service string) []call.Target {
	return n.table.Targets(service)
}

// routes returns the routes in force, nil before the first configuration.
func (n *Node) routes() *route.Table {
	return n.registry.Current().Table
}

// callerRoutes returns the routes for callers, nil before the first configuration and while this
// daemon lacks the outcomes of earlier version moves.
func (n *Node) callerRoutes() *route.Table {
	if n.moves.awaitsHistory() {
		return nil
	}
	return n.routes()
}

// ownService returns the service of the upstream beside the daemon in the routes in force,
// the zero Service if there is none.
func (n *Node) ownService() route.Service {
	t := n.routes()
	if t == nil {
		return route.Service{}
	}
	return t.Services[n.settings.Service]
}
