package server

import (
	"context"
	"net/http"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/auth"
)

// MoveLister lists data centre and version moves for GET /v1/moves.
type MoveLister interface {
	// Moves returns the moves as this daemon sees them, after it has queried the
	// members whose status it needs.
	Moves(ctx context.Context) []MoveState
}

// MoveState is the progress of a move.
type MoveState struct {
	ID string `json:"id"`
	// Kind is centre or version.
	Kind string `json:"kind"`
	// Service is empty for the move of a data centre.
	Service string `json:"service,omitempty"`
	Subject string `json:"subject"`
	State   string `json:"state"`
	// Share is the fraction of new work, 0 to 1, that goes to the data centre or
	// version.
	Share float64 `json:"share"`
	// WaitingFor lists the members that the move of a data centre waits for, each
	// with its cause. For a version move it holds "overdue" and the routes with
	// too little traffic.
	WaitingFor []string `json:"waiting,omitempty"`
	Detail     string   `json:"detail,omitempty"`
	Reason     string   `json:"reason"`
	Author     string   `json:"author"`
}

// WithMoves sets the source of GET /v1/moves. Without it, the list is empty.
func WithMoves(m MoveLister) Option { return func(s *Server) { s.moves = m } }

func (s *Server) listMoves(w http.ResponseWriter, r *http.Request) {
	items := []MoveState{}
	if s.moves != nil {
		ctx, cancel := context.WithTimeout(r.Context(), memberQueryTimeout)
		defer cancel()
		identity := auth.IdentityFrom(r.Context())
		for _, m := range s.moves.Moves(ctx) {
			if identity.CanRead(m.Service) {
				items = append(items, m)
			}
		}
	}
	replyPage(s, w, r, items, func(m MoveState) string { return m.ID })
}
