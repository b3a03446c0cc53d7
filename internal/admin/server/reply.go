package server

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/follow"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

// Code is the fixed word for an error.
type Code string

// The codes of errors.
const (
	CodeBadRequest     Code = "bad_request"
	CodeBadDocument    Code = "bad_document"
	CodeForbidden      Code = "forbidden"
	CodeNotFound       Code = "not_found"
	CodeConflict       Code = "conflict"
	CodeRefused        Code = "refused"
	CodeKeyReused      Code = "idempotency_key_reused"
	CodeLogNotFollowed Code = "log_not_followed"
	CodeLogRefused     Code = "log_refused"
	CodeNotReady       Code = "not_ready"
)

// Error is the body of every answer that is not a success.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// ID is that of the change.
	ID string `json:"id,omitempty"`
	// Winner is the change that a conflict was lost to.
	Winner         string `json:"winner,omitempty"`
	WinnerRevision int64  `json:"winner_revision,omitempty"`
	Document       string `json:"document,omitempty"`
	Key            string `json:"key,omitempty"`
	Value          string `json:"value,omitempty"`
	Allowed        string `json:"allowed,omitempty"`
}

// ErrorReply wraps an error, so that clients tell it from other answers.
type ErrorReply struct {
	Error Error `json:"error"`
}

// StatusNotKnown is the status of a change whose fate is not known yet.
const StatusNotKnown = "not_known_yet"

// Change is the answer to a change and to the question about one.
type Change struct {
	ID string `json:"id"`
	// Status is accepted, conflict, refused or not_known_yet.
	Status   string    `json:"status"`
	Revision int64     `json:"revision,omitempty"`
	Detail   string    `json:"detail,omitempty"`
	Winner   string    `json:"winner,omitempty"`
	InForce  *Coverage `json:"in_force,omitempty"`
}

// Coverage says where a revision is in force.
type Coverage struct {
	Everywhere bool     `json:"everywhere"`
	Live       int      `json:"live"`
	InForce    int      `json:"in_force"`
	Missing    []string `json:"missing"`
}

func newCoverage(c follow.Coverage) *Coverage {
	missing := c.Missing
	if missing == nil {
		missing = []string{}
	}
	return &Coverage{Everywhere: c.Complete(), Live: c.LiveMembers, InForce: c.MembersInForce, Missing: missing}
}

func newChange(o fold.Outcome) Change {
	c := Change{ID: o.ID, Status: o.Status.String(), Detail: o.Detail, Winner: o.Winner}
	if o.Status == fold.StatusAccepted {
		c.Revision = o.Offset
	}
	return c
}

func (s *Server) reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		s.logger.Debug().Err(err).Msg("reply_not_written")
	}
}

func (s *Server) fail(w http.ResponseWriter, r *http.Request, status int, e Error) {
	s.logger.Info().Str("path", r.URL.Path).Str("code", string(e.Code)).Str("id", e.ID).Msg("admin_request_failed")
	s.reply(w, status, ErrorReply{Error: e})
}

// failDocument explains why a document can't be published.
func (s *Server) failDocument(w http.ResponseWriter, r *http.Request, err error) {
	e := Error{Code: CodeBadDocument, Message: err.Error()}
	var value *policy.ValueError
	var key *policy.UnknownKeyError
	var server *policy.ServerSettingError
	switch {
	case errors.As(err, &value):
		e.Document, e.Key, e.Value, e.Allowed = value.Document, value.Key, value.Value, value.Allowed
	case errors.As(err, &key):
		e.Document, e.Key = key.Document, key.Key
	case errors.As(err, &server):
		e.Document, e.Key = server.Document, server.Key
	}
	s.fail(w, r, http.StatusUnprocessableEntity, e)
}

// failPublish answers a change whose fate was not decided.
func (s *Server) failPublish(w http.ResponseWriter, r *http.Request, id string, err error) {
	var notKnown *follow.OutcomeUnknownError
	var other *follow.IDReusedError
	var fault *follow.LogFault
	switch {
	case errors.As(err, &notKnown):
		s.reply(w, http.StatusAccepted, Change{ID: id, Status: StatusNotKnown, Detail: err.Error()})
	case errors.As(err, &other):
		s.fail(w, r, http.StatusConflict, Error{Code: CodeKeyReused, Message: err.Error(), ID: id})
	case errors.As(err, &fault):
		s.fail(w, r, http.StatusServiceUnavailable, Error{Code: CodeLogNotFollowed, Message: err.Error(), ID: id})
	default:
		s.fail(w, r, http.StatusBadGateway, Error{Code: CodeLogRefused, Message: err.Error(), ID: id})
	}
}
