package mesh

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// A larger one may not fit a frame, so the peer reads it from the store or in parts.
	maxSharedOrderBytes = link.MaxFrameBytes / 2
	// farSyncShare is the share of synchronisations with other data centres.
	farSyncShare = 0.25
	// mergeInterval is the shortest time between pulls of orders that differ at the same
	// end.
	mergeInterval = 500 * clock.Millisecond
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
	crashes   *crashLog
	view      *storeView
	ownRecord func() peers.Record
	// onReply is called after the reply of a peer was applied.
	onReply func()
	// onPredecessor receives the record of an earlier daemon at the own address, as a peer
	// last had it.
	onPredecessor func(peers.Record)
	// pollOrders makes this daemon read the orders from the store once.
	pollOrders func()
	// storeFailing reports whether the last read of the orders failed.
	storeFailing func() bool
	puller       orderPuller
	// transfer gets orders from a peer that are too large for a reply.
	transfer *orderTransfer
	// lastMergeAt is when orders that differ at the same end were last pulled, in ms.
	lastMergeAt atomic.Int64
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
		Member: self.ID, OrdersEnd: int64(s.registry.End()), OrdersHash: s.registry.Hash(), PeersHash: s.table.Hash(), Moves: s.moves.encode(now),
		Self: self.Encode(), Store: s.view.encode(), CrashesHash: s.crashes.hash(),
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
	s.applyReply(id, reply)
	s.onReply()
}

// applyReply applies the state that a peer returned.
func (s *stateSync) applyReply(id string, r *wire.ShareReply) {
	// Orders must be applied before records: an upstream of a new version must
	// not get calls before the order of its move is in force.
	s.applyOrders(id, r)
	s.moves.merge(s.clock.Now(), r.GetMoves())
	s.crashes.merge(r.GetCrashes())
	for _, p := range r.GetPeers() {
		s.mergePeer(peers.Decode(p))
	}
}

// mergePeer merges a record of a daemon. That of an earlier daemon at the own address says
// whether the upstream is leaving; the store may have lost it.
func (s *stateSync) mergePeer(r peers.Record) {
	self := s.ownRecord()
	if r.ID == self.ID && r.Incarnation < self.Incarnation {
		s.onPredecessor(r)
		return
	}
	s.table.Merge(r)
}

// applyOrders applies the orders that a peer returned, or gets them if they are too large
// for its reply.
func (s *stateSync) applyOrders(id string, r *wire.ShareReply) {
	end, ownEnd := feed.Position(r.GetOrdersEnd()), s.registry.End()
	switch {
	case r.GetOrdersWhole():
		s.applyWholeOrders(r)
		return
	case end > ownEnd:
		s.pollOrders()
		s.transfer.requestUnlessRead(id, end)
	case end == ownEnd && r.GetOrdersDiffer():
		// The store can't resolve this: it was restored from a copy.
		s.transfer.request(id)
	default:
		return
	}
	s.log.Info().Bool("whole", false).Stringer("end", end).Stringer("own_end", ownEnd).Msg("orders_from_peer")
}

// applyWholeOrders applies all orders of a peer, if they are not older than the own ones.
func (s *stateSync) applyWholeOrders(r *wire.ShareReply) {
	end, ownEnd := feed.Position(r.GetOrdersEnd()), s.registry.End()
	switch {
	case end < ownEnd:
		return
	case end == ownEnd:
		s.registry.Merge(decodeOrders(r.GetOrders()))
	default:
		s.registry.ReplaceFromPeer(withoutRemoved(decodeOrders(r.GetOrders())), end)
	}
	s.log.Info().Bool("whole", true).Stringer("end", end).Stringer("own_end", ownEnd).Msg("orders_from_peer")
}

func decodeOrders(in []*wire.OrderRecord) []feed.Item {
	out := make([]feed.Item, 0, len(in))
	for _, o := range in {
		out = append(out, feed.Item{Key: o.GetKey(), Value: o.GetValue(), Position: feed.Position(o.GetOffset()), Removed: o.GetRemoved()})
	}
	return out
}

// withoutRemoved returns the records of keys that are in force.
func withoutRemoved(records []feed.Item) []feed.Item {
	return slices.DeleteFunc(records, func(r feed.Item) bool { return r.Removed })
}

// handleRequest answers a peer's synchronisation with the state that the peer lacks.
func (s *stateSync) handleRequest(_ context.Context, _ link.Peer, payload []byte) ([]byte, error) {
	req := new(wire.ShareRequest)
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, err
	}
	sender := peers.Decode(req.GetSelf())
	s.table.Merge(sender)
	s.view.observe(req.GetMember(), req.GetStore())
	now := s.clock.Now()
	s.pullIfBehind(now, req.GetMember(), orderState{end: feed.Position(req.GetOrdersEnd()), hash: req.GetOrdersHash()})
	s.moves.merge(now, req.GetMoves())
	reply := &wire.ShareReply{OrdersEnd: int64(s.registry.End()), Moves: s.moves.encode(now), Store: s.view.encode()}
	if req.GetPeersHash() != s.table.Hash() {
		for _, r := range s.table.Records() {
			reply.Peers = append(reply.Peers, r.Encode())
		}
	}
	if req.GetCrashesHash() != s.crashes.hash() {
		reply.Crashes = s.crashes.encode()
	}
	if old, ok := s.table.Predecessor(sender); ok {
		reply.Peers = append(reply.Peers, old.Encode())
	}
	if req.GetOrdersEnd() < reply.GetOrdersEnd() || s.differs(orderState{end: feed.Position(req.GetOrdersEnd()), hash: req.GetOrdersHash()}) {
		s.addOrders(reply)
	}
	return proto.Marshal(reply)
}

// orderState summarises the orders of a daemon.
type orderState struct {
	end  feed.Position
	hash uint64
}

// differs reports whether the orders of a peer differ from the own ones at the same end, as
// after a restore of the store.
func (s *stateSync) differs(peer orderState) bool {
	return peer.end == s.registry.End() && peer.hash != 0 && peer.hash != s.registry.Hash()
}

// pullIfBehind gets the orders of a peer that has newer ones. Those that differ at the same
// end may do so until both have settled, so they are not pulled at each message.
func (s *stateSync) pullIfBehind(now clock.Milli, id string, peer orderState) {
	last := clock.Milli(s.lastMergeAt.Load())
	mergeDue := now-last >= mergeInterval
	switch {
	case peer.end > s.registry.End():
	case s.differs(peer) && mergeDue && s.lastMergeAt.CompareAndSwap(int64(last), int64(now)):
	default:
		return
	}
	s.puller.request(id)
}

// addOrders adds all orders to a reply, or says only that there are some if they are too
// large.
func (s *stateSync) addOrders(reply *wire.ShareReply) {
	all, size := encodeOrders(s.registry)
	reply.OrdersEnd = all.GetOrdersEnd()
	reply.OrdersDiffer = true
	if size <= maxSharedOrderBytes {
		reply.OrdersWhole, reply.Orders = true, all.GetOrders()
	}
}

// encodeOrders returns all orders and the size of their keys and values.
func encodeOrders(reg *order.Registry) (all *wire.ShareReply, size int) {
	records, end := reg.Records()
	all = &wire.ShareReply{OrdersEnd: int64(end), OrdersWhole: true}
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
		all.Orders = append(all.Orders, &wire.OrderRecord{Key: r.Key, Value: r.Value, Offset: int64(r.Position), Removed: r.Removed})
	}
	return all, size
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

// peerSync is one synchronisation that syncWithAll started.
type peerSync struct {
	sync *stateSync
	id   string
}

func (p *peerSync) run(ctx context.Context) {
	p.sync.syncWith(ctx, p.id)
}
