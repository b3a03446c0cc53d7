package server

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/auth"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

// IdempotencyKey is the request header whose value identifies a change. A
// repeated request with the same key does not publish a second change.
const IdempotencyKey = "Idempotency-Key"

const changeIDBytes = 16

// changeID derives the id of a change from the team and the idempotency key, so
// that any daemon recognises a repeated request without a table of keys. A
// request without a key gets a random id.
func changeID(r *http.Request) string {
	key := r.Header.Get(IdempotencyKey)
	if key == "" {
		key = rand.Text()
	}
	sum := sha256.Sum256([]byte(auth.IdentityFrom(r.Context()).Team.Name + "\x00" + key))
	return hex.EncodeToString(sum[:changeIDBytes])
}

func (s *Server) publishDocument(kind policy.DocumentKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, policy.MaxDocumentBytes))
		if err != nil {
			s.replyError(w, r, http.StatusRequestEntityTooLarge, Error{Code: CodeBadRequest, Message: "document can't be read: " + err.Error()})
			return
		}
		d, err := policy.Parse(kind.String(), body)
		if err != nil {
			s.replyDocumentError(w, r, err)
			return
		}
		if d.Kind != kind {
			s.replyDocumentError(w, r, &policy.ValueError{
				Document: kind.String(), Key: "document", Value: d.Kind.String(), Allowed: kind.String() + " at this path",
			})
			return
		}
		s.publish(w, r, d, body)
	}
}

// WithdrawRequest is the JSON body of the DELETE requests, which withdraw a
// document.
type WithdrawRequest struct {
	Reason string `json:"reason"`
}

func (s *Server) withdrawDocument(kind policy.DocumentKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req WithdrawRequest
		if s.decodeBody(w, r, &req) {
			s.publishWithdrawal(w, r, kind, r.PathValue("id"), req.Reason)
		}
	}
}

func (s *Server) publishWithdrawal(w http.ResponseWriter, r *http.Request, kind policy.DocumentKind, id, reason string) {
	s.encodeAndPublish(w, r, policy.Document{
		Kind:       policy.DocumentWithdrawal,
		Withdrawal: &policy.Withdrawal{Kind: kind, ID: id, Reason: reason},
	})
}

// MoveRequest is the JSON body of POST /v1/moves, which takes a data centre out
// of service or returns it.
type MoveRequest struct {
	Centre string `json:"centre"`
	// Direction is DirectionOut or DirectionBack.
	Direction string     `json:"direction"`
	Reason    string     `json:"reason"`
	Start     *time.Time `json:"start,omitempty"`
	End       *time.Time `json:"end,omitempty"`
}

// Values of MoveRequest.Direction.
const (
	DirectionOut  = "out"
	DirectionBack = "back"
)

func (s *Server) moveCentre(w http.ResponseWriter, r *http.Request) {
	var req MoveRequest
	if !s.decodeBody(w, r, &req) {
		return
	}
	id := "centre-out-" + req.Centre
	switch req.Direction {
	case DirectionOut:
		s.encodeAndPublish(w, r, policy.Document{Kind: policy.DocumentException, Exception: &policy.Exception{
			ID: id, Effect: policy.EffectCentreOut, Scope: policy.Scope{Centre: req.Centre},
			Reason: req.Reason, Start: milliOrZero(req.Start), End: milliOrZero(req.End),
		}})
	case DirectionBack:
		for _, e := range s.follower.Config().Exceptions {
			if e.Effect == policy.EffectCentreOut && e.Scope.Centre == req.Centre {
				id = e.ID
			}
		}
		s.publishWithdrawal(w, r, policy.DocumentException, id, req.Reason)
	default:
		s.replyError(w, r, http.StatusBadRequest, Error{
			Code: CodeBadRequest, Message: "direction is neither out nor back: " + strconv.Quote(req.Direction),
			Key: "direction", Value: req.Direction, Allowed: "out, back",
		})
	}
}

// VersionMoveRequest is the JSON body of POST /v1/version-moves, which moves the
// traffic of a service to a new version.
type VersionMoveRequest struct {
	// ID is the id of the exception; "move-SERVICE-VERSION" if empty.
	ID       string     `json:"id,omitempty"`
	Service  string     `json:"service"`
	Version  string     `json:"version"`
	Reason   string     `json:"reason"`
	Start    *time.Time `json:"start,omitempty"`
	FinishBy *time.Time `json:"finish_by"`
	// UnprovenCap and Cap are the maximum fractions, 0 to 1, of the traffic for
	// the new version: until it is proven, and at any time. Zero selects the
	// default.
	UnprovenCap float64 `json:"unproven_cap,omitempty"`
	Cap         float64 `json:"cap,omitempty"`
}

func (s *Server) moveVersion(w http.ResponseWriter, r *http.Request) {
	var req VersionMoveRequest
	if !s.decodeBody(w, r, &req) {
		return
	}
	if req.ID == "" {
		req.ID = "move-" + req.Service + "-" + req.Version
	}
	s.encodeAndPublish(w, r, policy.Document{Kind: policy.DocumentException, Exception: &policy.Exception{
		ID: req.ID, Effect: policy.EffectVersionMove, Reason: req.Reason, Start: milliOrZero(req.Start),
		Scope: policy.Scope{Service: req.Service, Version: req.Version},
		Move:  &policy.VersionMove{FinishBy: milliOrZero(req.FinishBy), UnprovenCap: req.UnprovenCap, Cap: req.Cap},
	}})
}

// milliOrZero converts an optional time; nil becomes 0, which means unset.
func milliOrZero(t *time.Time) clock.Milli {
	if t == nil {
		return 0
	}
	return clock.FromTime(*t)
}

// decodeBody decodes the JSON body of a request into v. If it fails, it replies
// with an error and returns false.
func (s *Server) decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, policy.MaxDocumentBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		s.replyError(w, r, http.StatusBadRequest, Error{Code: CodeBadRequest, Message: "body is not the expected JSON: " + err.Error()})
		return false
	}
	return true
}

// encodeAndPublish publishes a document that was built from a shorthand request.
// It parses the encoded document, so that shorthands pass the same checks as
// documents sent by clients.
func (s *Server) encodeAndPublish(w http.ResponseWriter, r *http.Request, d policy.Document) {
	body, err := policy.Encode(d)
	if err == nil {
		d, err = policy.Parse(d.Kind.String(), body)
	}
	if err != nil {
		s.replyDocumentError(w, r, err)
		return
	}
	s.publish(w, r, d, body)
}

// publish appends a document to the log, if the caller may publish it, and
// replies with the outcome.
func (s *Server) publish(w http.ResponseWriter, r *http.Request, d policy.Document, body []byte) {
	identity := auth.IdentityFrom(r.Context())
	if missingScope, ok := s.mayPublish(identity, d); !ok {
		s.replyError(w, r, http.StatusForbidden, Error{Code: CodeForbidden, Message: "team " + identity.Team.Name + " does not own " + missingScope})
		return
	}
	if !s.follower.Health().Ready {
		s.replyError(w, r, http.StatusServiceUnavailable, Error{Code: CodeNotReady, Message: "the configuration has not been read yet"})
		return
	}
	rec := applog.Record{
		ID: changeID(r), Kind: applog.KindChange, BaseRevision: s.follower.Config().Revision,
		AtMS: float64(s.clock.Now()), Author: identity.Name(), Body: body,
	}
	if d.Kind == policy.DocumentWithdrawal {
		rec.Kind = applog.KindWithdraw
	}
	if text := r.FormValue("base"); text != "" {
		base, err := strconv.ParseInt(text, 10, 64)
		if err != nil || base < 0 {
			s.replyError(w, r, http.StatusBadRequest, Error{Code: CodeBadRequest, Message: "base is not a revision: " + strconv.Quote(text)})
			return
		}
		rec.BaseRevision = base
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.changeTimeout)
	defer cancel()
	o, err := s.follower.Publish(ctx, rec)
	if err != nil {
		s.replyPublishError(w, r, rec.ID, err)
		return
	}
	s.replyOutcome(w, r, o)
}

func (s *Server) replyOutcome(w http.ResponseWriter, r *http.Request, o fold.Outcome) {
	switch o.Status {
	case fold.StatusConflict:
		s.replyError(w, r, http.StatusConflict, Error{
			Code: CodeConflict, Message: o.Detail, ID: o.ID, Winner: o.Winner, WinnerRevision: o.WinnerOffset,
		})
	case fold.StatusAccepted:
		s.reply(w, http.StatusOK, newChange(o))
	default:
		s.replyError(w, r, http.StatusUnprocessableEntity, Error{Code: CodeRefused, Message: o.Detail, ID: o.ID})
	}
}

// mayPublish reports whether the caller's team may publish a document. If not,
// it returns the name of the scope that the team does not own. An exception
// that replaces another requires ownership of both scopes.
func (s *Server) mayPublish(identity auth.Identity, d policy.Document) (string, bool) {
	service, id := "", ""
	switch d.Kind {
	case policy.DocumentException:
		service, id = d.Exception.Scope.Service, d.Exception.ID
	case policy.DocumentWithdrawal:
		if d.Withdrawal.Kind == policy.DocumentException {
			id = d.Withdrawal.ID
		}
	default:
	}
	old, exists := s.follower.Config().Exception(id)
	if d.Kind == policy.DocumentWithdrawal && id != "" {
		service = old.Scope.Service
		// Package fold refuses the withdrawal of an unknown exception with an
		// error that names it.
		if !exists {
			return "", true
		}
	}
	if !identity.Team.Owns(service) {
		return scopeName(service), false
	}
	if exists && !identity.Team.Owns(old.Scope.Service) {
		return scopeName(old.Scope.Service), false
	}
	return "", true
}

// scopeName names the scope of a service; an empty one is the whole fleet.
func scopeName(service string) string {
	if service == "" {
		return "the whole fleet"
	}
	return "service " + service
}
