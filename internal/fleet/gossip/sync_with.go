package gossip

import (
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// SyncWith compares the membership table with those of peers that are not live
// members of it, to merge parts of the fleet that have no member in common.
func (m *Membership) SyncWith(peers []string) {
	m.handle(member.SyncWith{Peers: peers}, budget.Sync)
}
