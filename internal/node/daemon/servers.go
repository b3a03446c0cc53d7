package daemon

import (
	"net/http"
	"slices"
	"strings"

	"github.com/justinas/alice"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/auth"
	"gitlab.com/cranberrytack/cranberrytack/internal/admin/server"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/config"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/httpd"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/pipe"
	"gitlab.com/cranberrytack/cranberrytack/internal/path/entry"
)

func newEntryServer(cfg config.Config, e *entry.Entry, ready *readiness) *httpd.Server {
	pipeline := pipe.New(pipe.WithRepeatable(e.MayRepeat), pipe.WithStopping(func() bool { return !ready.ok.Load() }))
	handler := alice.New(pipeline.Middleware).Then(e)
	return &httpd.Server{HTTP: newHTTPServer(cfg, handler), MaxConnections: cfg.Limits.MaxCallers, Pipeline: pipeline}
}

func newHTTPServer(cfg config.Config, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: cfg.Limits.HeaderTimeout.Duration(),
		IdleTimeout:       cfg.Limits.IdleTimeout.Duration(),
		MaxHeaderBytes:    cfg.Limits.MaxHeaderBytes,
	}
}

func newAdminServer(cfg config.Config, d *Daemon) *httpd.Server {
	authenticator := auth.New(d.conf.Config, d.clock, cfg.Admin.BootstrapHash)
	api := server.New(d.conf, authenticator, d.clock,
		server.WithLogger(d.log),
		server.WithMembers(d),
		server.WithExplainHandler(d.explainer),
		server.WithMoves(d.moves),
		server.WithReadinessCheck(d.ready.check))
	return &httpd.Server{HTTP: newHTTPServer(cfg, api.Handler()), MaxConnections: cfg.Limits.MaxCallers}
}

// Members implements server.MemberLister.
func (d *Daemon) Members() []server.Member {
	targets := d.fleet.Members()
	out := make([]server.Member, 0, len(targets))
	for _, t := range targets {
		m := server.Member{
			ID: t.ID, Centre: t.Centre, Service: t.Service, Version: t.Version,
			State: "live", Revision: d.conf.KnownRevision(t.ID),
		}
		if t.Leaving {
			m.State = "leaving"
		}
		if t.ID == d.self.ID {
			m.Revision = d.conf.Config().Revision
		}
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b server.Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}
