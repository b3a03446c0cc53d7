package server

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/follow"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

// ErrorCode identifies an error to clients. Messages may change, codes do not.
type ErrorCode string

// Error codes.
const (
	CodeBadRequest     ErrorCode = "bad_request"
	CodeBadDocument    ErrorCode = "bad_document"
	CodeForbidden      ErrorCode = "forbidden"
	CodeNotFound       ErrorCode = "not_found"
	CodeConflict       ErrorCode = "conflict"
	CodeRefused        ErrorCode = "refused"
	CodeKeyReused      ErrorCode = "idempotency_key_reused"
	CodeLogNotFollowed ErrorCode = "log_not_followed"
	CodeLogRefused     ErrorCode = "log_refused"
	CodeNotReady       ErrorCode = "not_ready"
)

// Error describes why a request failed. Document, Key, Value and Allowed are set
// for invalid documents and parameters.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// ID is the id of the change, if the request was about one.
	ID string `json:"id,omitempty"`
	// Winner is the id of the change that was accepted instead, on a conflict.
	Winner         string `json:"winner,omitempty"`
	WinnerRevision int64  `json:"winner_revision,omitempty"`
	Document       string `json:"document,omitempty"`
	Key            string `json:"key,omitempty"`
	Value          string `json:"value,omitempty"`
	Allowed        string `json:"allowed,omitempty"`
}

// ErrorReply is the body of every failed request. Its only field distinguishes it
// from the bodies of other responses.
type ErrorReply struct {
	Error Error `json:"error"`
}

// StatusOutcomeUnknown is the status of a change while the daemon does not know
// whether it was accepted.
const StatusOutcomeUnknown = "not_known_yet"

// Change is the body of the responses to a change and to GET /v1/changes/{id}.
type Change struct {
	ID string `json:"id"`
	// Status is accepted, conflict, refused or not_known_yet.
	Status   string    `json:"status"`
	Revision int64     `json:"revision,omitempty"`
	Detail   string    `json:"detail,omitempty"`
	Winner   string    `json:"winner,omitempty"`
	InForce  *Coverage `json:"in_force,omitempty"`
}

// Coverage is the number of live members at which a revision is in force, and
// the ids of those where it is not.
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
	return &Coverage{Everywhere: c.Complete(), Live: c.LiveMembers, InForce: c.MembersWithRevision, Missing: missing}
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

func (s *Server) replyError(w http.ResponseWriter, r *http.Request, status int, e Error) {
	s.logger.Info().Str("path", r.URL.Path).Str("code", string(e.Code)).Str("id", e.ID).Msg("admin_request_failed")
	s.reply(w, status, ErrorReply{Error: e})
}

// replyDocumentError replies with the reason why a document is invalid.
func (s *Server) replyDocumentError(w http.ResponseWriter, r *http.Request, err error) {
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
	s.replyError(w, r, http.StatusUnprocessableEntity, e)
}

// replyPublishError replies to a change without an outcome. If the change may
// have been accepted, it replies with 202 and StatusOutcomeUnknown.
func (s *Server) replyPublishError(w http.ResponseWriter, r *http.Request, id string, err error) {
	var unknown *follow.OutcomeUnknownError
	var reused *follow.IDReusedError
	var fault *follow.LogFault
	switch {
	case errors.As(err, &unknown):
		s.reply(w, http.StatusAccepted, Change{ID: id, Status: StatusOutcomeUnknown, Detail: err.Error()})
	case errors.As(err, &reused):
		s.replyError(w, r, http.StatusConflict, Error{Code: CodeKeyReused, Message: err.Error(), ID: id})
	case errors.As(err, &fault):
		s.replyError(w, r, http.StatusServiceUnavailable, Error{Code: CodeLogNotFollowed, Message: err.Error(), ID: id})
	default:
		s.replyError(w, r, http.StatusBadGateway, Error{Code: CodeLogRefused, Message: err.Error(), ID: id})
	}
}
