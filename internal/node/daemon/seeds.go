package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/follow"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
)

const (
	// minSeedPeers is the number of announced peers below which a starting
	// daemon announces itself immediately, so that the daemons of a new fleet
	// find each other quickly.
	minSeedPeers      = 3
	readyPollInterval = 50 * clock.Millisecond
	readyTimeout      = 5 * clock.Second
	// syncInterval is the time between two comparisons of the announced daemons
	// with the membership. The comparison joins parts of a fleet that have had
	// no contact.
	syncInterval = 5 * clock.Second
	// contactRetryInterval is the minimum time between two attempts to contact
	// an announced daemon that is not a member.
	contactRetryInterval = clock.Minute
)

// seeds reads seed peers from the platform log and announces this daemon there.
type seeds struct {
	self        string
	log         applog.Log
	conf        *follow.Follower
	clock       clock.Clock
	fleet       *fleet
	contactedAt map[string]clock.Milli
}

// Peers implements gossip.Seeds. If few peers are announced, it first announces
// this daemon, so that of several daemons that start together the later ones
// find the earlier ones.
func (s *seeds) Peers(ctx context.Context) ([]string, error) {
	if err := s.waitUntil(ctx, func() bool { return s.conf.Health().Ready }); err != nil {
		return nil, err
	}
	if peers := s.otherPeers(); len(peers) >= minSeedPeers {
		return peers, nil
	}
	offset, err := s.appendRecord(ctx, applog.KindAnnounce, s.fleet.membership.Self())
	if err != nil {
		return nil, err
	}
	if err := s.waitUntil(ctx, func() bool { return s.conf.AppliedOffset() >= offset }); err != nil {
		return nil, err
	}
	return s.otherPeers(), nil
}

// Announce implements gossip.Seeds.
func (s *seeds) Announce(ctx context.Context, self member.Fact) error {
	_, err := s.appendRecord(ctx, applog.KindAnnounce, self)
	return err
}

// Leave implements gossip.Seeds.
func (s *seeds) Leave(ctx context.Context, self member.Fact) error {
	_, err := s.appendRecord(ctx, applog.KindLeave, self)
	return err
}

// Serve implements suture.Service.
func (s *seeds) Serve(ctx context.Context) error {
	return s.run(ctx)
}

// run contacts announced daemons that are not in the membership.
func (s *seeds) run(ctx context.Context) error {
	return clock.Every(ctx, syncInterval, func() {
		if peers := s.peersToContact(s.clock.Now()); len(peers) > 0 {
			s.fleet.membership.SyncWith(peers)
		}
	})
}

// peersToContact returns the announced daemons to contact that are not members.
// A daemon that is alone contacts all of them; otherwise each is contacted only
// by a few selected members, to limit its load.
func (s *seeds) peersToContact(now clock.Milli) []string {
	members := s.fleet.Members()
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	var out []string
	for _, p := range s.conf.SeedPeers() {
		f, known := s.fleet.membership.Lookup(p.Address)
		upToDate := known && (!f.Status.DeadOrLeft() || f.Incarnation >= p.Incarnation)
		if p.Address == s.self || upToDate || now-s.contactedAt[p.Address] < contactRetryInterval {
			continue
		}
		if len(ids) > 1 && !slices.Contains(shift.SelectJudges(p.Address, ids), s.self) {
			continue
		}
		s.contactedAt[p.Address] = now
		out = append(out, p.Address)
	}
	return out
}

func (s *seeds) otherPeers() []string {
	var out []string
	for _, p := range s.conf.SeedPeers() {
		if p.Address != s.self {
			out = append(out, p.Address)
		}
	}
	return out
}

func (s *seeds) appendRecord(ctx context.Context, kind applog.Kind, f member.Fact) (int64, error) {
	body, err := json.Marshal(fold.SeedPeer{Address: f.ID, Centre: f.Centre, Incarnation: f.Incarnation})
	if err != nil {
		return 0, errors.Wrap(err, "encode announcement")
	}
	now := s.clock.Now()
	return s.log.Append(ctx, applog.Record{
		// The time makes repeated announcements of a running daemon distinct
		// records.
		ID:   fmt.Sprintf("%s-%s-%d-%.0f", kind, f.ID, f.Incarnation, float64(now)),
		Kind: kind, AtMS: float64(now), Author: f.ID, Body: body,
	})
}

// waitUntil polls a condition until it is true, for at most readyTimeout.
func (s *seeds) waitUntil(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout.Duration())
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "configuration is not ready")
		case <-time.After(readyPollInterval.Duration()):
		}
	}
	return nil
}
