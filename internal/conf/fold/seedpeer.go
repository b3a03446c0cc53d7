package fold

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
)

// Limits of the table of seed peers.
const (
	// SeedPeersPerCentre is the maximum number of seed peers kept per data
	// centre. A new daemon needs only a few to try in each.
	SeedPeersPerCentre = 4
	maxSeedPeers       = 128
	// SeedPeerTTL is how long an announced daemon is offered as a seed peer.
	SeedPeerTTL = 24 * clock.Hour
)

// SeedPeer is a daemon from which a new daemon can request the state. Its JSON
// form is also the body of announce and leave records.
type SeedPeer struct {
	Address     string `json:"address"`
	Centre      string `json:"centre"`
	Incarnation uint64 `json:"incarnation"`
	// AtMS is the time of the announcement on the sender's clock.
	AtMS float64 `json:"at_ms,omitempty"`
	// Offset is the log offset of the announcement.
	Offset int64 `json:"offset,omitempty"`
}

// NewAnnouncement returns the record that announces a daemon or, if leave is
// set, its departure. The timestamp is in milliseconds.
func NewAnnouncement(p SeedPeer, leave bool, atMS float64) (applog.Record, error) {
	p.AtMS, p.Offset = 0, 0
	body, err := json.Marshal(p)
	if err != nil {
		return applog.Record{}, errors.Wrap(err, "encode announcement")
	}
	kind := applog.KindAnnounce
	if leave {
		kind = applog.KindLeave
	}
	id := fmt.Sprintf("%s-%s-%d", kind, p.Address, p.Incarnation)
	return applog.Record{ID: id, Kind: kind, AtMS: atMS, Author: p.Address, Body: body}, nil
}

// SeedPeers returns the daemons whose announcements are younger than
// SeedPeerTTL at now, the newest first. Apply can't drop expired ones because
// it is deterministic and reads no clock.
func (s *State) SeedPeers(now clock.Milli) []SeedPeer {
	peers := make([]SeedPeer, 0, len(s.data.Peers))
	for _, p := range slices.Backward(s.data.Peers) {
		if now-clock.Milli(p.AtMS) < SeedPeerTTL {
			peers = append(peers, p)
		}
	}
	return peers
}

// applyAnnouncement adds or removes a seed peer. It ignores a record from an
// older incarnation than the one in the table.
func (s *State) applyAnnouncement(offset int64, r applog.Record) {
	var p SeedPeer
	if json.Unmarshal(r.Body, &p) != nil || p.Address == "" {
		return
	}
	i := slices.IndexFunc(s.data.Peers, func(q SeedPeer) bool { return q.Address == p.Address })
	if i >= 0 {
		if s.data.Peers[i].Incarnation > p.Incarnation {
			return
		}
		s.data.Peers = slices.Delete(s.data.Peers, i, i+1)
	}
	if r.Kind == applog.KindLeave {
		return
	}
	p.AtMS, p.Offset = r.AtMS, offset
	s.data.Peers = append(s.data.Peers, p)
	slices.SortFunc(s.data.Peers, func(a, b SeedPeer) int { return cmp.Compare(a.Offset, b.Offset) })
	s.trimSeedPeers(p.Centre)
}

// trimSeedPeers removes the oldest seed peer of the data centre if it has more than
// SeedPeersPerCentre, and the oldest of the table if it has more than maxSeedPeers.
func (s *State) trimSeedPeers(centre string) {
	inCentre := func(q SeedPeer) bool { return q.Centre == centre }
	n := 0
	for _, q := range s.data.Peers {
		if inCentre(q) {
			n++
		}
	}
	if n > SeedPeersPerCentre {
		i := slices.IndexFunc(s.data.Peers, inCentre)
		s.data.Peers = slices.Delete(s.data.Peers, i, i+1)
	}
	if len(s.data.Peers) > maxSeedPeers {
		s.data.Peers = slices.Delete(s.data.Peers, 0, 1)
	}
}
