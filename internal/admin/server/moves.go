package server

import (
	"context"
	"net/http"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/auth"
)

// Moves reports on data centre and version moves, for GET /v1/moves.
type Moves interface {
	// Moves returns the moves as this daemon sees them, after asking the
	// members whose status it needs.
	Moves(ctx context.Context) []MoveState
}

// MoveState is how far a move has come.
type MoveState struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Service string `json:"service,omitempty"`
	Subject string `json:"subject"`
	State   string `json:"state"`
	// Share is the share of new work that goes to the data centre or version.
	Share float64 `json:"share"`
	// Waiting says what keeps the move from being done.
	Waiting []string `json:"waiting,omitempty"`
	Detail  string   `json:"detail,omitempty"`
	Reason  string   `json:"reason"`
	Author  string   `json:"author"`
}

// WithMoves plugs in the moves.
func WithMoves(m Moves) Option { return func(s *Server) { s.moves = m } }

func (s *Server) listMoves(w http.ResponseWriter, r *http.Request) {
	items := []MoveState{}
	if s.moves != nil {
		ctx, cancel := context.WithTimeout(r.Context(), coverageTimeout)
		defer cancel()
		who := auth.IdentityFrom(r.Context())
		for _, m := range s.moves.Moves(ctx) {
			if who.CanRead(m.Service) {
				items = append(items, m)
			}
		}
	}
	page(s, w, r, items, func(m MoveState) string { return m.ID })
}
