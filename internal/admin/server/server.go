// Package server implements the HTTP administration API.
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

// Follower reads the configuration in force and publishes changes to it. It is
// implemented by follow.Follower.
type Follower interface {
	Config() *policy.Config
	Publish(ctx context.Context, r applog.Record) (fold.Outcome, error)
	ResolveOutcome(ctx context.Context, id string) (fold.Outcome, error)
	Outcome(id string) (fold.Outcome, bool)
	History() []fold.HistoryEntry
	Health() follow.Health
	Coverage(ctx context.Context, revision int64) follow.Coverage
}

// MemberLister lists the live daemons for GET /v1/members.
type MemberLister interface {
	Members() []Member
}

// Member is one live daemon in the response to GET /v1/members.
type Member struct {
	ID       string `json:"id"`
	Centre   string `json:"centre"`
	Service  string `json:"service"`
	Version  string `json:"version"`
	State    string `json:"state"`
	Revision int64  `json:"revision"`
}

// Time limits of requests.
const (
	// defaultChangeTimeout is below the client's time limit of 10 s, so that the
	// client still receives the reply that the outcome is unknown.
	defaultChangeTimeout = 6 * time.Second
	// memberQueryTimeout bounds the queries to other members, for the members
	// at which a revision is in force and for the state of moves.
	memberQueryTimeout = 2 * time.Second
	// outcomeTimeout bounds how long GET /v1/changes/{id} waits for an outcome.
	outcomeTimeout = 3 * time.Second
)

// Server serves the administration API of one daemon.
type Server struct {
	follower        Follower
	authenticator   *auth.Authenticator
	clock           clock.Clock
	logger          zerolog.Logger
	members         MemberLister
	moves           MoveLister
	explainHandler  http.Handler
	readinessChecks []func() error
	changeTimeout   time.Duration
}

// Option configures a Server.
type Option func(*Server)

// WithMembers sets the source of GET /v1/members. Without it, the list is empty.
func WithMembers(m MemberLister) Option { return func(s *Server) { s.members = m } }

// WithExplainHandler sets the handler of GET /v1/explain, which can get the caller
// from auth.IdentityFrom. Without it, the path returns 404.
func WithExplainHandler(h http.Handler) Option { return func(s *Server) { s.explainHandler = h } }

// WithReadinessCheck adds a readiness check. GET /readyz fails if the check
// returns an error.
func WithReadinessCheck(check func() error) Option {
	return func(s *Server) { s.readinessChecks = append(s.readinessChecks, check) }
}

// WithChangeTimeout sets how long a request waits for the outcome of a change.
func WithChangeTimeout(d time.Duration) Option { return func(s *Server) { s.changeTimeout = d } }

// WithLogger sets the logger of requests. Without it, nothing is logged.
func WithLogger(l zerolog.Logger) Option { return func(s *Server) { s.logger = l } }

// New returns a server that authenticates requests with a and publishes changes
// through f.
func New(f Follower, a *auth.Authenticator, c clock.Clock, opts ...Option) *Server {
	s := &Server{follower: f, authenticator: a, clock: c, logger: zerolog.Nop(), changeTimeout: defaultChangeTimeout}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Handler returns the handler of the API. The paths /healthz and /readyz need no
// token and return a status without a body; every other path needs a token.
func (s *Server) Handler() http.Handler {
	api := http.NewServeMux()
	read := func(pattern string, h http.HandlerFunc) { api.Handle(pattern, s.requireRole(policy.RoleRead, h)) }
	write := func(pattern string, h http.HandlerFunc) { api.Handle(pattern, s.requireRole(policy.RolePublish, h)) }
	read("GET /v1/status", s.getStatus)
	read("GET /v1/defaults", s.getDefaults)
	read("GET /v1/exceptions", s.listExceptions)
	read("GET /v1/exceptions/{id}", s.getException)
	read("GET /v1/history", s.listHistory)
	read("GET /v1/changes/{id}", s.getChange)
	read("GET /v1/teams", s.listTeams)
	read("GET /v1/members", s.listMembers)
	read("GET /v1/moves", s.listMoves)
	read("GET /v1/explain", s.getExplain)
	read("GET /debug/vars", expvar.Handler().ServeHTTP)
	write("PUT /v1/defaults", s.publishDocument(policy.DocumentDefaults))
	write("POST /v1/exceptions", s.publishDocument(policy.DocumentException))
	write("POST /v1/teams", s.publishDocument(policy.DocumentTeam))
	write("POST /v1/tokens", s.publishDocument(policy.DocumentToken))
	write("DELETE /v1/exceptions/{id}", s.withdrawDocument(policy.DocumentException))
	write("DELETE /v1/teams/{id}", s.withdrawDocument(policy.DocumentTeam))
	write("DELETE /v1/tokens/{id}", s.withdrawDocument(policy.DocumentToken))
	write("POST /v1/moves", s.moveCentre)
	write("POST /v1/version-moves", s.moveVersion)
	api.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.replyError(w, r, http.StatusNotFound, Error{Code: CodeNotFound, Message: "no such path: " + r.URL.Path})
	})

	root := http.NewServeMux()
	root.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	root.HandleFunc("GET /readyz", s.readyz)
	root.Handle("/", alice.New(s.authenticator.Require, s.logRequests).Then(api))
	return root
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.follower.Health().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for _, check := range s.readinessChecks {
		if err := check(); err != nil {
			s.logger.Warn().Err(err).Msg("not_ready")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	w.WriteHeader(http.StatusOK)
}

// requireRole replies with 403 to callers without a role.
func (s *Server) requireRole(role string, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !auth.IdentityFrom(r.Context()).HasRole(role) {
			s.replyError(w, r, http.StatusForbidden, Error{Code: CodeForbidden, Message: "the token lacks the role " + role})
			return
		}
		next(w, r)
	})
}

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// logRequests logs one line per request. It leaves out the query string, which
// may contain secrets.
func (s *Server) logRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := s.clock.Now()
		sw := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(sw, r)
		s.logger.Info().Str("method", r.Method).Str("path", r.URL.Path).Int("status", sw.status).
			Str("by", auth.IdentityFrom(r.Context()).Name()).Float64("ms", float64(s.clock.Now()-start)).Msg("admin_request")
	})
}
