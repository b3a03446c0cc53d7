package mesh

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	// syncInterval is the time between synchronisations with a random peer,
	// offlineSyncInterval the same while the store does not respond.
	syncInterval        = clock.Second
	offlineSyncInterval = 300 * clock.Millisecond
	// storeSilentAfter is the age of the last successful read of the orders, by any known
	// daemon, from which the store counts as unavailable.
	storeSilentAfter = 6 * clock.Second
	// maxSharedOrderBytes is the size of the largest set of orders that is sent to a peer.
	// A larger one may not fit a frame, so the peer reads it from the store.
	maxSharedOrderBytes = link.MaxFrameBytes / 2
	// farSyncShare is the share of synchronisations with other data centres.
	farSyncShare = 0.25
	// syncTimeout limits one synchronisation.
	syncTimeout = clock.Second
)

// stateSync synchronises orders, moves and daemon records with peers, so that updates
// reach daemons that the store does not respond to.
type stateSync struct {
	clock     clock.Clock
	log       zerolog.Logger
	pool      *link.Pool
	table     *peers.Table
	registry  *order.Registry
	moves     *moveTracker
	view      *storeView
	ownRecord func() peers.Record
	// pollOrders makes this daemon read the orders from the store once.
	pollOrders func()
	// pulling is set while a synchronisation that a peer's newer orders caused runs.
	pulling atomic.Bool
}

// Serve implements suture.Service.
func (s *stateSync) Serve(ctx context.Context) error {
	return s.run(ctx)
}

func (s *stateSync) run(ctx context.Context) error {
	for clock.Sleep(ctx, s.interval()) {
		if id, ok := s.randomPeer(); ok {
			s.syncWith(ctx, id)
		}
	}
	return ctx.Err()
}

// interval returns the time until the next synchronisation.
func (s *stateSync) interval() clock.Milli {
	if s.view.age() < storeSilentAfter {
		return syncInterval
	}
	return offlineSyncInterval
}

// randomPeer returns a random peer with an open link, false if there is none. Traffic
// between data centres has a cost, so most are of the own one.
func (s *stateSync) randomPeer() (string, bool) {
	self := s.ownRecord()
	near, far := make([]string, 0, 64), make([]string, 0, 64)
	for _, r := range s.table.Linked() {
		switch {
		case r.ID == self.ID:
		case r.Centre == self.Centre:
			near = append(near, r.ID)
		default:
			far = append(far, r.ID)
		}
	}
	others := near
	if len(near) == 0 || len(far) > 0 && rand.Float64() < farSyncShare {
		others = far
	}
	if len(others) == 0 {
		return "", false
	}
	return others[rand.IntN(len(others))], true
}

// syncWith sends a summary of the local state to a peer and applies what it returns.
func (s *stateSync) syncWith(ctx context.Context, id string) {
	self := s.ownRecord()
	now := s.clock.Now()
	req := &wire.ShareRequest{
		Member: self.ID, OrdersEnd: s.registry.NextOffset(), PeersHash: s.table.Hash(), Moves: s.moves.encode(now),
		Self: self.Encode(), Store: s.view.encode(),
	}
	payload, err := proto.Marshal(req)
	if err != nil {
		s.log.Error().Err(err).Msg("share_not_encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout.Duration())
	defer cancel()
	answer, err := s.pool.Control(ctx, id, wire.ControlKind_CONTROL_KIND_SHARE, payload)
	if err != nil {
		s.log.Debug().Str("peer", id).Err(err).Msg("share_failed")
		return
	}
	reply := new(wire.ShareReply)
	if err := proto.Unmarshal(answer, reply); err != nil {
		s.log.Warn().Str("peer", id).Err(err).Msg("share_malformed")
		return
	}
	s.view.observe(id, reply.GetStore())
	s.applyReply(reply)
}

// applyReply applies the state that a peer returned.
func (s *stateSync) applyReply(r *wire.ShareReply) {
	// Orders must be applied before records: an upstream of a new version must
	// not get calls before the order of its move is in force.
	if r.GetOrdersWhole() && r.GetOrdersEnd() > s.registry.NextOffset() {
		records := make([]feed.Item, 0, len(r.GetOrders()))
		for _, o := range r.GetOrders() {
			records = append(records, feed.Item{Key: o.GetKey(), Value: o.GetValue(), Offset: o.GetOffset(), Removed: o.GetRemoved()})
		}
		s.log.Info().Int64("end", r.GetOrdersEnd()).Int64("own_end", s.registry.NextOffset()).Msg("orders_from_peer")
		s.registry.Replace(records, r.GetOrdersEnd())
	}
	if !r.GetOrdersWhole() && r.GetOrdersEnd() > s.registry.NextOffset() {
		s.log.Info().Int64("end", r.GetOrdersEnd()).Int64("own_end", s.registry.NextOffset()).Msg("orders_too_large_for_peer")
		s.pollOrders()
	}
	s.moves.merge(s.clock.Now(), r.GetMoves())
	for _, p := range r.GetPeers() {
		s.table.Merge(peers.Decode(p))
	}
}

// handleRequest answers a peer's synchronisation with the state that the peer lacks.
func (s *stateSync) handleRequest(_ context.Context, _ link.Peer, payload []byte) ([]byte, error) {
	req := new(wire.ShareRequest)
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, err
	}
	s.table.Merge(peers.Decode(req.GetSelf()))
	s.view.observe(req.GetMember(), req.GetStore())
	if req.GetOrdersEnd() > s.registry.NextOffset() && s.pulling.CompareAndSwap(false, true) {
		go (&orderPull{sync: s, id: req.GetMember()}).run()
	}
	now := s.clock.Now()
	s.moves.merge(now, req.GetMoves())
	reply := &wire.ShareReply{OrdersEnd: s.registry.NextOffset(), Moves: s.moves.encode(now), Store: s.view.encode()}
	if req.GetPeersHash() != s.table.Hash() {
		for _, r := range s.table.Records() {
			reply.Peers = append(reply.Peers, r.Encode())
		}
	}
	if req.GetOrdersEnd() < reply.GetOrdersEnd() {
		s.addOrders(reply)
	}
	return proto.Marshal(reply)
}

// addOrders adds all orders to a reply, or only their end if they are too large.
func (s *stateSync) addOrders(reply *wire.ShareReply) {
	records, end := s.registry.Records()
	reply.OrdersEnd = end
	size := 0
	orders := make([]*wire.OrderRecord, 0, len(records))
	for _, r := range records {
		if r.Removed {
			continue
		}
		size += len(r.Key) + len(r.Value)
		orders = append(orders, &wire.OrderRecord{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	if size <= maxSharedOrderBytes {
		reply.OrdersWhole, reply.Orders = true, orders
	}
}

// syncWithAll starts a synchronisation with all linked peers and does not wait for it.
func (s *stateSync) syncWithAll(ctx context.Context) {
	s.syncWithEach(ctx, s.table.LinkedIDs())
}

// syncWithEach starts a synchronisation with some peers and does not wait for it.
func (s *stateSync) syncWithEach(ctx context.Context, ids []string) {
	self := s.ownRecord().ID
	for _, id := range ids {
		if id != self {
			go (&peerSync{sync: s, id: id}).run(ctx)
		}
	}
}

// recordPush sends the own record to all linked peers after a change.
type recordPush struct {
	sync *stateSync
}

func (p *recordPush) run() {
	p.sync.syncWithAll(context.Background())
}

// orderPull gets newer orders from a peer that reported them.
type orderPull struct {
	sync *stateSync
	id   string
}

func (p *orderPull) run() {
	defer p.sync.pulling.Store(false)
	p.sync.syncWith(context.Background(), p.id)
}

// peerSync is one synchronisation that syncWithAll started.
type peerSync struct {
	sync *stateSync
	id   string
}

func (p *peerSync) run(ctx context.Context) {
	p.sync.syncWith(ctx, p.id)
}
