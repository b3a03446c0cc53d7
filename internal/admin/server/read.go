package server

import (
	"context"
	"net/http"
	"slices"
	"strconv"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/auth"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
)

// Page sizes of lists.
const (
	defaultPageItems = 50
	maxPageItems     = 500
)

// Page is one page of a list. Next is the value of the parameter "after" for the
// next page; it is empty on the last page.
type Page[T any] struct {
	Revision int64  `json:"revision"`
	Items    []T    `json:"items"`
	Next     string `json:"next,omitempty"`
}

// replyPage replies with the page of a list that the parameters "limit" and
// "after" select. The items' keys must be distinct, as "after" is the key of the
// last item of the previous page.
func replyPage[T any](s *Server, w http.ResponseWriter, r *http.Request, items []T, key func(T) string) {
	limit := defaultPageItems
	if text := r.FormValue("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxPageItems {
			s.replyError(w, r, http.StatusBadRequest, Error{
				Code: CodeBadRequest, Message: "limit is not a number from 1 to 500: " + strconv.Quote(text),
				Key: "limit", Value: text, Allowed: "1 to 500",
			})
			return
		}
		limit = n
	}
	if after := r.FormValue("after"); after != "" {
		i := slices.IndexFunc(items, func(t T) bool { return key(t) == after })
		if i < 0 {
			s.replyError(w, r, http.StatusBadRequest, Error{
				Code: CodeBadRequest, Message: "after names no item of the list, start again at the first page: " + strconv.Quote(after),
				Key: "after", Value: after, Allowed: "next of the previous page",
			})
			return
		}
		items = items[i+1:]
	}
	p := Page[T]{Revision: s.follower.Config().Revision, Items: items[:min(limit, len(items))]}
	if len(items) > limit {
		p.Next = key(items[limit-1])
	}
	s.reply(w, http.StatusOK, p)
}

func (s *Server) listExceptions(w http.ResponseWriter, r *http.Request) {
	identity := auth.IdentityFrom(r.Context())
	now := s.clock.Now()
	items := []Exception{}
	for _, e := range s.follower.Config().Exceptions {
		if identity.CanRead(e.Scope.Service) {
			items = append(items, newException(&e, now))
		}
	}
	replyPage(s, w, r, items, func(e Exception) string { return e.ID })
}

func (s *Server) getException(w http.ResponseWriter, r *http.Request) {
	e, ok := s.follower.Config().Exception(r.PathValue("id"))
	if !ok || !auth.IdentityFrom(r.Context()).CanRead(e.Scope.Service) {
		s.replyError(w, r, http.StatusNotFound, Error{Code: CodeNotFound, Message: "no exception " + strconv.Quote(r.PathValue("id"))})
		return
	}
	s.reply(w, http.StatusOK, newException(&e, s.clock.Now()))
}

func (s *Server) getDefaults(w http.ResponseWriter, r *http.Request) {
	c := s.follower.Config()
	identity := auth.IdentityFrom(r.Context())
	d := Defaults{Revision: c.Revision, TimeoutMS: float64(c.Defaults.Timeout), Routes: []Route{}}
	for _, route := range c.Defaults.Routes {
		if identity.CanRead(route.Service) {
			d.Routes = append(d.Routes, newRoute(&route))
		}
	}
	s.reply(w, http.StatusOK, d)
}

func (s *Server) listHistory(w http.ResponseWriter, r *http.Request) {
	identity := auth.IdentityFrom(r.Context())
	items := []HistoryItem{}
	for _, e := range slices.Backward(s.follower.History()) {
		if identity.CanRead(e.Service) {
			items = append(items, newHistoryItem(e))
		}
	}
	replyPage(s, w, r, items, func(h HistoryItem) string { return h.ID })
}

func (s *Server) listTeams(w http.ResponseWriter, r *http.Request) {
	c := s.follower.Config()
	items := make([]Team, 0, len(c.Teams))
	for _, t := range c.Teams {
		team := Team{Name: t.Name, Services: t.Services, Tokens: []Token{}}
		for _, token := range c.Tokens {
			if token.Team == t.Name {
				team.Tokens = append(team.Tokens, Token{ID: token.ID, Roles: token.Roles, Expires: formatRFC3339(token.Expires)})
			}
		}
		items = append(items, team)
	}
	replyPage(s, w, r, items, func(t Team) string { return t.Name })
}

func (s *Server) getChange(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), outcomeTimeout)
	defer cancel()
	id := r.PathValue("id")
	o, err := s.follower.ResolveOutcome(ctx, id)
	if err != nil {
		s.replyPublishError(w, r, id, err)
		return
	}
	c := newChange(o)
	if o.Status == fold.StatusAccepted {
		coverageCtx, stop := context.WithTimeout(r.Context(), memberQueryTimeout)
		defer stop()
		c.InForce = newCoverage(s.follower.Coverage(coverageCtx, o.Offset))
	}
	s.reply(w, http.StatusOK, c)
}

func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	h := s.follower.Health()
	now := s.clock.Now()
	ctx, cancel := context.WithTimeout(r.Context(), memberQueryTimeout)
	defer cancel()
	v := Status{
		Ready: h.Ready, Revision: h.Revision, Applied: h.AppliedOffset, HasGap: h.HasGap,
		InForce: newCoverage(s.follower.Coverage(ctx, h.Revision)), Log: LogStatus{State: "up"},
	}
	if h.LastReadMS > 0 {
		v.Log.LastReadMS = float64(now) - h.LastReadMS
	}
	if h.ReadError != nil {
		v.Log.State, v.Log.Detail = "down", h.ReadError.Error()
	}
	if h.Fault != nil {
		v.Log.State, v.Log.Detail = h.Fault.Kind.String(), h.Fault.Detail
	}
	for _, e := range s.follower.Config().Exceptions {
		if e.Effect == policy.EffectCentreOut && e.Active(now) {
			v.CentresOut = append(v.CentresOut, e.Scope.Centre)
		}
	}
	s.reply(w, http.StatusOK, v)
}

func (s *Server) listMembers(w http.ResponseWriter, r *http.Request) {
	items := []Member{}
	if s.members != nil {
		items = append(items, s.members.Members()...)
	}
	replyPage(s, w, r, items, func(m Member) string { return m.ID })
}

func (s *Server) getExplain(w http.ResponseWriter, r *http.Request) {
	if s.explainHandler == nil {
		s.replyError(w, r, http.StatusNotFound, Error{Code: CodeNotFound, Message: "this daemon does not serve reports"})
		return
	}
	s.explainHandler.ServeHTTP(w, r)
}
