package gossip

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// SyncWith compares the membership with that of daemons that it does not contain,
// so that parts of the fleet that never met become one.
func (s *Membership) SyncWith(peers []string) {
	s.handle(member.SyncWith{Peers: peers}, budget.Sync)
}
