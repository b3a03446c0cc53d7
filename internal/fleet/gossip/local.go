package gossip

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// ErrNoPeer is returned by Local.Sync for a peer that is not registered.
var ErrNoPeer = errors.New("peer is not registered")

// Local connects the memberships of one process, for tests and measurements. It
// implements Syncer without links and Seeds without a log.
type Local struct {
	mu          sync.Mutex
	memberships map[string]*Membership
	// seedPeers holds the addresses that Peers returns.
	seedPeers []string
	// announced counts the records that would have been appended to the log.
	announced int
}

// NewLocal returns a Local without members or seed peers.
func NewLocal() *Local { return &Local{memberships: map[string]*Membership{}} }

// Add registers the membership of the daemon with this ID. A nil membership
// makes Sync to it fail.
func (l *Local) Add(id string, m *Membership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memberships[id] = m
}

// SetPeers replaces the addresses that Peers returns.
func (l *Local) SetPeers(ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seedPeers = ids
}

// Sync implements Syncer by calling the peer's ServeSync directly.
func (l *Local) Sync(_ context.Context, peer string, request []byte) ([]byte, error) {
	l.mu.Lock()
	m := l.memberships[peer]
	l.mu.Unlock()
	if m == nil {
		return nil, errors.Wrap(ErrNoPeer, peer)
	}
	return m.ServeSync("", request)
}

// Peers implements Seeds.
func (l *Local) Peers(context.Context) ([]string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.seedPeers...), nil
}

// Announce implements Seeds. It only increments AnnounceCount.
func (l *Local) Announce(context.Context, member.Fact) error { return l.countAnnouncement() }

// Leave implements Seeds. It only increments AnnounceCount.
func (l *Local) Leave(context.Context, member.Fact) error { return l.countAnnouncement() }

func (l *Local) countAnnouncement() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announced++
	return nil
}

// AnnounceCount returns how many records Announce and Leave would have appended
// to the log.
func (l *Local) AnnounceCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.announced
}
