package mesh

import (
	"context"
	"net"
	"net/http"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/httpd"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
)

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
			Handler: h, ReadHeaderTimeout: callerHeaderTimeout.Duration(),
			IdleTimeout: callerIdle.Duration(), MaxHeaderBytes: callerHeaderBytes,
		},
		Connections: callerConnections,
	}
}
