package link

import (
	"context"
	"net"
)

// SupervisedServer runs a Server on a listener as a service of a supervisor. Listener
// must be set before Serve is called.
type SupervisedServer struct {
	Server   *Server
	Listener net.Listener
}

// Serve implements suture.Service.
func (p *SupervisedServer) Serve(ctx context.Context) error {
	return p.Server.Serve(ctx, p.Listener)
}
