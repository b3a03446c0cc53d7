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
	// fewPeers is the number of announcements below which a starting daemon
	// announces itself at once, so that a new fleet finds itself quickly.
	fewPeers     = 3
	readyPoll    = 50 * clock.Millisecond
	readyTimeout = 5 * clock.Second
	// meetInterval is how often announced daemons are compared with the
	// membership; it joins parts of the fleet that never met.
	meetInterval = 5 * clock.Second
	// retryUnknown is how long an announced daemon that does not answer is
	// left alone.
	retryUnknown = clock.Minute
)

// seeds finds first peers in the platform log and announces this daemon.
type seeds struct {
	self  string
	log   applog.Log
	conf  *follow.Follower
	clock clock.Clock
	fleet *fleet
	asked map[string]clock.Milli
}

// Peers implements gossip.Seeds. While there are few announcements, it first
// adds its own: of daemons that start together, the later ones then find the
// earlier ones.
func (s *seeds) Peers(ctx context.Context) ([]string, error) {
	if err := s.wait(ctx, func() bool { return s.conf.Health().Ready }); err != nil {
		return nil, err
	}
	if peers := s.others(); len(peers) >= fewPeers {
		return peers, nil
	}
	offset, err := s.append(ctx, applog.KindAnnounce, s.fleet.shell.Self())
	if err != nil {
		return nil, err
	}
	if err := s.wait(ctx, func() bool { return s.conf.AppliedOffset() >= offset }); err != nil {
		return nil, err
	}
	return s.others(), nil
}

// Announce implements gossip.Seeds.
func (s *seeds) Announce(ctx context.Context, self member.Fact) error {
	_, err := s.append(ctx, applog.KindAnnounce, self)
	return err
}

// Leave implements gossip.Seeds.
func (s *seeds) Leave(ctx context.Context, self member.Fact) error {
	_, err := s.append(ctx, applog.KindLeave, self)
	return err
}

// Serve implements suture.Service.
func (s *seeds) Serve(ctx context.Context) error {
	return s.run(ctx)
}

// run joins announced daemons that the membership does not know.
func (s *seeds) run(ctx context.Context) error {
	return clock.Every(ctx, meetInterval, func() {
		if peers := s.unknown(s.clock.Now()); len(peers) > 0 {
			s.fleet.shell.SyncWith(peers)
		}
	})
}

// unknown returns announced daemons that this one should contact: all if it
// is alone, otherwise those that it is chosen for, so that a whole fleet does
// not contact the same daemon.
func (s *seeds) unknown(now clock.Milli) []string {
	members := s.fleet.Members()
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	var out []string
	for _, p := range s.conf.SeedPeers() {
		f, known := s.fleet.shell.Lookup(p.Address)
		stale := known && (!f.Status.DeadOrLeft() || f.Incarnation >= p.Incarnation)
		if p.Address == s.self || stale || now-s.asked[p.Address] < retryUnknown {
			continue
		}
		if len(ids) > 1 && !slices.Contains(shift.SelectJudges(p.Address, ids), s.self) {
			continue
		}
		s.asked[p.Address] = now
		out = append(out, p.Address)
	}
	return out
}

func (s *seeds) others() []string {
	var out []string
	for _, p := range s.conf.SeedPeers() {
		if p.Address != s.self {
			out = append(out, p.Address)
		}
	}
	return out
}

func (s *seeds) append(ctx context.Context, kind applog.Kind, f member.Fact) (int64, error) {
	body, err := json.Marshal(fold.SeedPeer{Address: f.ID, Centre: f.Centre, Incarnation: f.Incarnation})
	if err != nil {
		return 0, errors.Wrap(err, "encode announcement")
	}
	now := s.clock.Now()
	return s.log.Append(ctx, applog.Record{
		// The time makes a repeated announcement of a long-running daemon a
		// new record.
		ID:   fmt.Sprintf("%s-%s-%d-%.0f", kind, f.ID, f.Incarnation, float64(now)),
		Kind: kind, AtMS: float64(now), Author: f.ID, Body: body,
	})
}

// wait polls a condition until it holds.
func (s *seeds) wait(ctx context.Context, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout.Duration())
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "configuration is not ready")
		case <-time.After(readyPoll.Duration()):
		}
	}
	return nil
}
