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
func (s *SupervisedServer) Serve(ctx context.Context) error {
	return s.Server.Serve(ctx, s.Listener)
}
