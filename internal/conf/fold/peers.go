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

// Bounds of the table of first peers.
const (
	// PeersPerCentre gives a new daemon a few peers to try in each centre.
	SeedPeersPerCentre = 4
	maxPeers           = 128
	// PeerExpiry is how long an announcement is worth a try.
	SeedPeerTTL = 24 * clock.Hour
)

// SeedPeer is a daemon that a new one may ask for the state. It is also the
// body of announce and leave records.
type SeedPeer struct {
	Address     string `json:"address"`
	Centre      string `json:"centre"`
	Incarnation uint64 `json:"incarnation"`
	// AtMS is the time of the announcement on the sender's clock.
	AtMS   float64 `json:"at_ms,omitempty"`
	Offset int64   `json:"offset,omitempty"`
}

// NewAnnouncement returns the record that announces a daemon, or its leaving.
func NewAnnouncement(p SeedPeer, leave bool, at float64) (applog.Record, error) {
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
	return applog.Record{ID: id, Kind: kind, AtMS: at, Author: p.Address, Body: body}, nil
}

// SeedPeers returns the announced daemons that have not expired at now, the
// newest first. The expiry is applied here and not in the fold, which has no
// clock.
func (s *State) SeedPeers(now clock.Milli) []SeedPeer {
	peers := make([]SeedPeer, 0, len(s.d.Peers))
	for _, p := range slices.Backward(s.d.Peers) {
		if now-clock.Milli(p.AtMS) < SeedPeerTTL {
			peers = append(peers, p)
		}
	}
	return peers
}

func (s *State) announce(offset int64, r applog.Record) {
	var p SeedPeer
	if json.Unmarshal(r.Body, &p) != nil || p.Address == "" {
		return
	}
	i := slices.IndexFunc(s.d.Peers, func(q SeedPeer) bool { return q.Address == p.Address })
	if i >= 0 {
		if s.d.Peers[i].Incarnation > p.Incarnation {
			return
		}
		s.d.Peers = slices.Delete(s.d.Peers, i, i+1)
	}
	if r.Kind == applog.KindLeave {
		return
	}
	p.AtMS, p.Offset = r.AtMS, offset
	s.d.Peers = append(s.d.Peers, p)
	slices.SortFunc(s.d.Peers, func(a, b SeedPeer) int { return cmp.Compare(a.Offset, b.Offset) })
	s.dropPeers(p.Centre)
}

func (s *State) dropPeers(centre string) {
	same := func(q SeedPeer) bool { return q.Centre == centre }
	n := 0
	for _, q := range s.d.Peers {
		if same(q) {
			n++
		}
	}
	if n > SeedPeersPerCentre {
		i := slices.IndexFunc(s.d.Peers, same)
		s.d.Peers = slices.Delete(s.d.Peers, i, i+1)
	}
	if len(s.d.Peers) > maxPeers {
		s.d.Peers = slices.Delete(s.d.Peers, 0, 1)
	}
}
