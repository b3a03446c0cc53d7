package gossip

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// Rejoin fetches the tables of daemons that the membership does not know, so
// that parts of the fleet that never met become one.
func (s *Shell) Rejoin(peers []string) {
	s.handle(member.Start{Seeds: peers}, budget.Sync)
}
