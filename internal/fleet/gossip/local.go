package gossip

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// ErrNoPeer says that a local peer does not run.
var ErrNoPeer = errors.New("no such peer")

// Local connects the shells of one process for tests and measurements: it is
// a Syncer without links and a Seeds without a log.
type Local struct {
	mu     sync.Mutex
	shells map[string]*Membership
	// peers are announced addresses in their order.
	peers []string
	// Announced counts what the log would have been sent.
	announced int
}

// NewLocal returns an empty registry.
func NewLocal() *Local { return &Local{shells: map[string]*Membership{}} }

// Add registers a running shell; nil removes it.
func (l *Local) Add(id string, s *Membership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shells[id] = s
}

// SetPeers sets the first peers.
func (l *Local) SetPeers(ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = ids
}

// Sync implements Syncer.
func (l *Local) Sync(_ context.Context, peer string, request []byte) ([]byte, error) {
	l.mu.Lock()
	s := l.shells[peer]
	l.mu.Unlock()
	if s == nil {
		return nil, errors.Wrap(ErrNoPeer, peer)
	}
	return s.ServeSync("", request)
}

// Peers implements Seeds.
func (l *Local) Peers(context.Context) ([]string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.peers...), nil
}

// Announce implements Seeds.
func (l *Local) Announce(context.Context, member.Fact) error { return l.count() }

// Leave implements Seeds.
func (l *Local) Leave(context.Context, member.Fact) error { return l.count() }

func (l *Local) count() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announced++
	return nil
}

// AnnounceCount returns how many records the log would have been sent.
func (l *Local) AnnounceCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.announced
}
