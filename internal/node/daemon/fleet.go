package daemon

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/httpd"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/gossip"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/roster"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// fleet provides the membership to the other parts of the daemon.
type fleet struct {
	membership *gossip.Membership
	table      *roster.Table
	conn       net.PacketConn
	version    atomic.Uint64

	mu            sync.Mutex
	cached        []call.Target
	cachedVersion uint64
}

// newFleet creates the membership on the UDP port with the number of the peer
// port. It sets Self, Conn and OnMemberChange of the settings.
func newFleet(self call.Target, s gossip.Settings) (*fleet, error) {
	conn, err := net.ListenPacket("udp", self.ID)
	if err != nil {
		return nil, errors.Wrap(httpd.ErrListen, err.Error())
	}
	f := &fleet{table: roster.New(self.ID, self.Centre), conn: conn}
	fact := member.Fact{
		ID: self.ID, Incarnation: self.Incarnation, Service: self.Service, Version: self.Version,
		Centre: self.Centre, Region: self.Region, Slots: self.Slots, Connections: self.MaxConnections,
	}
	s.Self, s.Conn, s.OnMemberChange = fact, conn, f.handleMemberChange
	f.membership = gossip.New(s)
	f.handleMemberChange(fact)
	return f, nil
}

// Serve implements suture.Service.
func (f *fleet) Serve(ctx context.Context) error {
	return f.membership.Serve(ctx)
}

// handleMemberChange applies a change of the membership. gossip.Membership
// calls it with its lock held.
func (f *fleet) handleMemberChange(m member.Fact) {
	f.table.Apply(m)
	f.version.Add(1)
}

// Targets implements entry.Roster.
func (f *fleet) Targets(service string) []call.Target {
	return f.table.Targets(service)
}

// Version implements entry.Roster.
func (f *fleet) Version() uint64 {
	return f.version.Load()
}

// Members implements memberSource. The caller must not modify the slice.
func (f *fleet) Members() []call.Target {
	v := f.version.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cached != nil && f.cachedVersion == v {
		return f.cached
	}
	f.cached, f.cachedVersion = nil, v
	for _, service := range f.table.Services() {
		f.cached = append(f.cached, f.table.All(service)...)
	}
	return f.cached
}

// syncer sends membership syncs over links.
type syncer struct {
	pool *link.Pool
}

// Sync implements gossip.Syncer.
func (s syncer) Sync(ctx context.Context, addr string, request []byte) ([]byte, error) {
	return s.pool.Control(ctx, addr, wire.ControlKind_CONTROL_KIND_SYNC, request)
}

// handleSync answers a membership sync of a peer.
func (f *fleet) handleSync(_ context.Context, from link.Peer, request []byte) ([]byte, error) {
	return f.membership.ServeSync(from.Member, request)
}
