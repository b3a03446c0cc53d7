package mesh

import (
	"net/http"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/httpd"
)

func newServer(h http.Handler) *httpd.Server {
	return &httpd.Server{
		HTTP: &http.Server{
			Handler: h, ReadHeaderTimeout: httpHeaderTimeout.Duration(),
			IdleTimeout: httpIdleTimeout.Duration(), MaxHeaderBytes: maxHTTPHeaderBytes,
		},
		MaxConnections: maxHTTPConnections,
	}
}
