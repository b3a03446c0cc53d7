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

// IdempotencyKey is the header that makes a repeated request the same change.
const IdempotencyKey = "Idempotency-Key"

const idBytes = 16

// changeID derives the id of a change, so that a request that is repeated at
// any daemon is the same change without a table of keys.
func changeID(r *http.Request) string {
	key := r.Header.Get(IdempotencyKey)
	if key == "" {
		key = rand.Text()
	}
	sum := sha256.Sum256([]byte(auth.IdentityFrom(r.Context()).Team.Name + "\x00" + key))
	return hex.EncodeToString(sum[:idBytes])
}

func (s *Server) putDocument(kind policy.DocumentKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, policy.MaxDocumentBytes))
		if err != nil {
			s.fail(w, r, http.StatusRequestEntityTooLarge, Error{Code: CodeBadRequest, Message: "document can't be read: " + err.Error()})
			return
		}
		d, err := policy.Parse(kind.String(), body)
		if err != nil {
			s.failDocument(w, r, err)
			return
		}
		if d.Kind != kind {
			s.failDocument(w, r, &policy.ValueError{
				Document: kind.String(), Key: "document", Value: d.Kind.String(), Allowed: kind.String() + " at this path",
			})
			return
		}
		s.publish(w, r, d, body)
	}
}

// WithdrawRequest is the body of a withdrawal.
type WithdrawRequest struct {
	Reason string `json:"reason"`
}

func (s *Server) withdraw(of policy.DocumentKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req WithdrawRequest
		if s.decode(w, r, &req) {
			s.publishWithdrawal(w, r, of, r.PathValue("id"), req.Reason)
		}
	}
}

func (s *Server) publishWithdrawal(w http.ResponseWriter, r *http.Request, of policy.DocumentKind, id, reason string) {
	s.encode(w, r, policy.Document{
		Kind:       policy.DocumentWithdrawal,
		Withdrawal: &policy.Withdrawal{Kind: of, ID: id, Reason: reason},
	})
}

// MoveRequest takes a data centre out of service or returns it.
type MoveRequest struct {
	Centre string `json:"centre"`
	// Direction is out or back.
	Direction string     `json:"direction"`
	Reason    string     `json:"reason"`
	Start     *time.Time `json:"start,omitempty"`
	End       *time.Time `json:"end,omitempty"`
}

// The directions of a move.
const (
	DirectionOut  = "out"
	DirectionBack = "back"
)

func (s *Server) moveCentre(w http.ResponseWriter, r *http.Request) {
	var req MoveRequest
	if !s.decode(w, r, &req) {
		return
	}
	id := "centre-out-" + req.Centre
	switch req.Direction {
	case DirectionOut:
		s.encode(w, r, policy.Document{Kind: policy.DocumentException, Exception: &policy.Exception{
			ID: id, Effect: policy.EffectCentreOut, Scope: policy.Scope{Centre: req.Centre},
			Reason: req.Reason, Start: instant(req.Start), End: instant(req.End),
		}})
	case DirectionBack:
		for _, e := range s.follower.Config().Exceptions {
			if e.Effect == policy.EffectCentreOut && e.Scope.Centre == req.Centre {
				id = e.ID
			}
		}
		s.publishWithdrawal(w, r, policy.DocumentException, id, req.Reason)
	default:
		s.fail(w, r, http.StatusBadRequest, Error{
			Code: CodeBadRequest, Message: "direction is neither out nor back: " + strconv.Quote(req.Direction),
			Key: "direction", Value: req.Direction, Allowed: "out, back",
		})
	}
}

// VersionMoveRequest moves the traffic of a service to a new version.
type VersionMoveRequest struct {
	// ID is made of service and version if it is empty.
	ID          string     `json:"id,omitempty"`
	Service     string     `json:"service"`
	Version     string     `json:"version"`
	Reason      string     `json:"reason"`
	Start       *time.Time `json:"start,omitempty"`
	FinishBy    *time.Time `json:"finish_by"`
	UnprovenCap float64    `json:"unproven_cap,omitempty"`
	Cap         float64    `json:"cap,omitempty"`
}

func (s *Server) moveVersion(w http.ResponseWriter, r *http.Request) {
	var req VersionMoveRequest
	if !s.decode(w, r, &req) {
		return
	}
	if req.ID == "" {
		req.ID = "move-" + req.Service + "-" + req.Version
	}
	s.encode(w, r, policy.Document{Kind: policy.DocumentException, Exception: &policy.Exception{
		ID: req.ID, Effect: policy.EffectVersionMove, Reason: req.Reason, Start: instant(req.Start),
		Scope: policy.Scope{Service: req.Service, Version: req.Version},
		Move:  &policy.VersionMove{FinishBy: instant(req.FinishBy), UnprovenCap: req.UnprovenCap, Cap: req.Cap},
	}})
}

func instant(t *time.Time) clock.Milli {
	if t == nil {
		return 0
	}
	return clock.FromTime(*t)
}

func (s *Server) decode(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, policy.MaxDocumentBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		s.fail(w, r, http.StatusBadRequest, Error{Code: CodeBadRequest, Message: "body is not the expected JSON: " + err.Error()})
		return false
	}
	return true
}

// encode publishes a document that was made from a shorthand. It is parsed
// again, so that shorthands pass the same checks as documents.
func (s *Server) encode(w http.ResponseWriter, r *http.Request, d policy.Document) {
	body, err := policy.Encode(d)
	if err == nil {
		d, err = policy.Parse(d.Kind.String(), body)
	}
	if err != nil {
		s.failDocument(w, r, err)
		return
	}
	s.publish(w, r, d, body)
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request, d policy.Document, body []byte) {
	who := auth.IdentityFrom(r.Context())
	if what, ok := s.mayChange(who, d); !ok {
		s.fail(w, r, http.StatusForbidden, Error{Code: CodeForbidden, Message: "team " + who.Team.Name + " does not own " + what})
		return
	}
	if !s.follower.Health().Ready {
		s.fail(w, r, http.StatusServiceUnavailable, Error{Code: CodeNotReady, Message: "the configuration is not read yet"})
		return
	}
	rec := applog.Record{
		ID: changeID(r), Kind: applog.KindChange, BaseRevision: s.follower.Config().Revision,
		AtMS: float64(s.clock.Now()), Author: who.Name(), Body: body,
	}
	if d.Kind == policy.DocumentWithdrawal {
		rec.Kind = applog.KindWithdraw
	}
	if text := r.FormValue("base"); text != "" {
		base, err := strconv.ParseInt(text, 10, 64)
		if err != nil || base < 0 {
			s.fail(w, r, http.StatusBadRequest, Error{Code: CodeBadRequest, Message: "base is not a revision: " + strconv.Quote(text)})
			return
		}
		rec.BaseRevision = base
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.timeout)
	defer cancel()
	o, err := s.follower.Publish(ctx, rec)
	if err != nil {
		s.failPublish(w, r, rec.ID, err)
		return
	}
	s.replyOutcome(w, r, o)
}

func (s *Server) replyOutcome(w http.ResponseWriter, r *http.Request, o fold.Outcome) {
	switch o.Status {
	case fold.StatusConflict:
		s.fail(w, r, http.StatusConflict, Error{
			Code: CodeConflict, Message: o.Detail, ID: o.ID, Winner: o.Winner, WinnerRevision: o.WinnerOffset,
		})
	case fold.StatusAccepted:
		s.reply(w, http.StatusOK, newChange(o))
	default:
		s.fail(w, r, http.StatusUnprocessableEntity, Error{Code: CodeRefused, Message: o.Detail, ID: o.ID})
	}
}

// mayChange reports whether a team may publish a document, or names what it
// does not own. An exception that replaces another needs both scopes.
func (s *Server) mayChange(who auth.Identity, d policy.Document) (string, bool) {
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
		// An unknown exception is refused by the fold, with its name.
		if !exists {
			return "", true
		}
	}
	if !who.Team.Owns(service) {
		return owned(service), false
	}
	if exists && !who.Team.Owns(old.Scope.Service) {
		return owned(old.Scope.Service), false
	}
	return "", true
}

func owned(service string) string {
	if service == "" {
		return "the whole fleet"
	}
	return "service " + service
}
