// Package server is the HTTP administration API.
package server

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/justinas/alice"
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/auth"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/follow"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

// Follower is what the API needs of the configuration.
type Follower interface {
	Config() *policy.Config
	Publish(ctx context.Context, r applog.Record) (fold.Outcome, error)
	AwaitOutcome(ctx context.Context, id string) (fold.Outcome, error)
	Outcome(id string) (fold.Outcome, bool)
	History() []fold.HistoryEntry
	Health() follow.Health
	Coverage(ctx context.Context, revision int64) follow.Coverage
}

// Members reports on the membership, for GET /v1/members and /v1/status.
type Members interface {
	Members() []Member
}

// Member is one live daemon.
type Member struct {
	ID       string `json:"id"`
	Centre   string `json:"centre"`
	Service  string `json:"service"`
	Version  string `json:"version"`
	State    string `json:"state"`
	Revision int64  `json:"revision"`
}

// Limits of requests.
const (
	// changeTimeout leaves the client time to read "not known yet" within its
	// own 10 s.
	changeTimeout   = 6 * time.Second
	coverageTimeout = 2 * time.Second
	resolveTimeout  = 3 * time.Second
)

// Server answers the requests of operators.
type Server struct {
	follower Follower
	keeper   *auth.Authenticator
	clock    clock.Clock
	logger   zerolog.Logger
	members  Members
	moves    Moves
	explain  http.Handler
	ready    []func() error
	timeout  time.Duration
}

// Option changes a server.
type Option func(*Server)

// WithMembers plugs in the membership.
func WithMembers(m Members) Option { return func(s *Server) { s.members = m } }

// WithExplain plugs in the handler of GET /v1/explain. It finds the caller
// with auth.From.
func WithExplain(h http.Handler) Option { return func(s *Server) { s.explain = h } }

// WithReady adds a condition of readiness.
func WithReady(check func() error) Option {
	return func(s *Server) { s.ready = append(s.ready, check) }
}

// WithChangeTimeout sets how long a request waits for the fate of a change.
func WithChangeTimeout(d time.Duration) Option { return func(s *Server) { s.timeout = d } }

// WithLogger sets the logger of requests.
func WithLogger(l zerolog.Logger) Option { return func(s *Server) { s.logger = l } }

// New returns a server.
func New(f Follower, k *auth.Authenticator, c clock.Clock, opts ...Option) *Server {
	s := &Server{follower: f, keeper: k, clock: c, logger: zerolog.Nop(), timeout: changeTimeout}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Handler returns the API. Health and readiness need no token and tell
// nothing but a status; every other path does.
func (s *Server) Handler() http.Handler {
	api := http.NewServeMux()
	read := func(pattern string, h http.HandlerFunc) { api.Handle(pattern, s.require(policy.RoleRead, h)) }
	write := func(pattern string, h http.HandlerFunc) { api.Handle(pattern, s.require(policy.RolePublish, h)) }
	read("GET /v1/status", s.status)
	read("GET /v1/defaults", s.getDefaults)
	read("GET /v1/exceptions", s.listExceptions)
	read("GET /v1/exceptions/{id}", s.getException)
	read("GET /v1/history", s.history)
	read("GET /v1/changes/{id}", s.getChange)
	read("GET /v1/teams", s.listTeams)
	read("GET /v1/members", s.listMembers)
	read("GET /v1/moves", s.listMoves)
	read("GET /v1/explain", s.getExplain)
	read("GET /debug/vars", expvar.Handler().ServeHTTP)
	write("PUT /v1/defaults", s.putDocument(policy.DocumentDefaults))
	write("POST /v1/exceptions", s.putDocument(policy.DocumentException))
	write("POST /v1/teams", s.putDocument(policy.DocumentTeam))
	write("POST /v1/tokens", s.putDocument(policy.DocumentToken))
	write("DELETE /v1/exceptions/{id}", s.withdraw(policy.DocumentException))
	write("DELETE /v1/teams/{id}", s.withdraw(policy.DocumentTeam))
	write("DELETE /v1/tokens/{id}", s.withdraw(policy.DocumentToken))
	write("POST /v1/moves", s.moveCentre)
	write("POST /v1/version-moves", s.moveVersion)
	api.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.fail(w, r, http.StatusNotFound, Error{Code: CodeNotFound, Message: "no such path: " + r.URL.Path})
	})

	root := http.NewServeMux()
	root.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	root.HandleFunc("GET /readyz", s.readyz)
	root.Handle("/", alice.New(s.keeper.Require, s.logged).Then(api))
	return root
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.follower.Health().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for _, check := range s.ready {
		if err := check(); err != nil {
			s.logger.Warn().Err(err).Msg("not_ready")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	w.WriteHeader(http.StatusOK)
}

// require lets only holders of a role pass.
func (s *Server) require(role string, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !auth.IdentityFrom(r.Context()).HasRole(role) {
			s.fail(w, r, http.StatusForbidden, Error{Code: CodeForbidden, Message: "the token lacks the role " + role})
			return
		}
		next(w, r)
	})
}

type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// logged writes one line per request. The query may hold anything, so it is
// left out.
func (s *Server) logged(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := s.clock.Now()
		sw := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(sw, r)
		s.logger.Info().Str("method", r.Method).Str("path", r.URL.Path).Int("status", sw.status).
			Str("by", auth.IdentityFrom(r.Context()).Name()).Float64("ms", float64(s.clock.Now()-start)).Msg("admin_request")
	})
}
