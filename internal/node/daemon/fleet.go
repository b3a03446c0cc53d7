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

// fleet is the membership as the other parts of the daemon see it.
type fleet struct {
	shell   *gossip.Membership
	table   *roster.Table
	conn    net.PacketConn
	version atomic.Uint64

	mu     sync.Mutex
	cached []call.Target
	at     uint64
}

// newFleet builds the membership on the UDP side of the peer port. It fills in
// what the settings of the shell lack.
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
	s.Self, s.Conn, s.OnMemberChange = fact, conn, f.changed
	f.shell = gossip.New(s)
	f.changed(fact)
	return f, nil
}

// Serve implements suture.Service.
func (f *fleet) Serve(ctx context.Context) error {
	return f.shell.Serve(ctx)
}

// changed takes in a change of the membership. The shell calls it under its
// own lock.
func (f *fleet) changed(m member.Fact) {
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

// Members implements Membership. The slice must not be changed.
func (f *fleet) Members() []call.Target {
	v := f.version.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cached != nil && f.at == v {
		return f.cached
	}
	f.cached, f.at = nil, v
	for _, service := range f.table.Services() {
		f.cached = append(f.cached, f.table.All(service)...)
	}
	return f.cached
}

// syncer carries comparisons of the membership over links.
type syncer struct {
	pool *link.Pool
}

// Sync implements gossip.Syncer.
func (s syncer) Sync(ctx context.Context, addr string, request []byte) ([]byte, error) {
	return s.pool.Control(ctx, addr, wire.ControlKind_CONTROL_KIND_SYNC, request)
}

// serveSync answers comparisons of peers.
func (f *fleet) serveSync(_ context.Context, from link.Peer, request []byte) ([]byte, error) {
	return f.shell.ServeSync(from.Member, request)
}
