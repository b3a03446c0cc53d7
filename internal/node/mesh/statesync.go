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
	// A larger one may not fit a frame, so the peer reads it from the store or in parts.
	maxSharedOrderBytes = link.MaxFrameBytes / 2
	// farSyncShare is the share of synchronisations with other data centres.
	farSyncShare = 0.25
	// mergeInterval is the shortest time between pulls of orders that differ at the same
	// end.
	mergeInterval = 500 * clock.Millisecond
	// peerPullInterval is the shortest time between requests for records of daemons that
	// differ.
	peerPullInterval = 500 * clock.Millisecond
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
	records   *recordsView
	registry  *order.Registry
	moves     *moveTracker
	crashes   *crashLog
	view      *storeView
	ownRecord func() peers.Record
	// onReply is called after the reply of a peer was applied, not after one of this daemon
	// to itself.
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
	// lastPeerPullAt is when records of daemons that differ were last requested, in ms.
	lastPeerPullAt atomic.Int64
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

// syncWith sends a summary of the local state to a peer and applies what it returns. It gets
// the records of daemons that differ, too, unless it got some a short time ago.
func (s *stateSync) syncWith(ctx context.Context, id string) {
	if !s.exchange(ctx, id, nil) {
		return
	}
	now, last := s.clock.Now(), s.lastPeerPullAt.Load()
	if now-clock.Milli(last) >= peerPullInterval && s.lastPeerPullAt.CompareAndSwap(last, int64(now)) {
		s.exchange(ctx, id, s.table.BucketHashes())
	}
}

// exchange sends a summary of the local state to a peer and applies what it returns. With the
// hashes of the own records, this includes the records that differ. It reports whether there
// are some that it does not have yet.
func (s *stateSync) exchange(ctx context.Context, id string, buckets []uint32) (peersDiffer bool) {
	self := s.ownRecord()
	now := s.clock.Now()
	req := &wire.ShareRequest{
		Member: self.ID, OrdersEnd: int64(s.registry.End()), OrdersHash: s.registry.Hash(), PeersHash: s.table.Hash(), Moves: s.moves.encode(now),
		Self: self.Encode(), Store: s.view.encode(), CrashesHash: s.crashes.hash(),
		PeersBuckets: buckets, MovesComplete: s.moves.complete.Load(),
	}
	payload, err := proto.Marshal(req)
	if err != nil {
		s.log.Error().Err(err).Msg("share_not_encoded")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout.Duration())
	defer cancel()
	answer, err := s.pool.Control(ctx, id, wire.ControlKind_CONTROL_KIND_SHARE, payload)
	if err != nil {
		s.log.Debug().Str("peer", id).Err(err).Msg("share_failed")
		return false
	}
	reply := new(wire.ShareReply)
	if err := proto.Unmarshal(answer, reply); err != nil {
		s.log.Warn().Str("peer", id).Err(err).Msg("share_malformed")
		return false
	}
	s.view.observe(id, reply.GetStore())
	s.applyReply(id, reply)
	if id != self.ID {
		s.onReply()
	}
	return reply.GetPeersDiffer()
}

// applyReply applies the state that a peer returned.
func (s *stateSync) applyReply(id string, r *wire.ShareReply) {
	// Orders must be applied before records: an upstream of a new version must
	// not get calls before the order of its move is in force.
	s.applyOrders(id, r)
	s.moves.merge(s.clock.Now(), r.GetMoves(), r.GetMovesComplete())
	s.crashes.merge(r.GetCrashes())
	for _, p := range r.GetPeers() {
		s.mergePeer(peers.Decode(p))
	}
	if r.GetPeersComplete() && !r.GetPeersDiffer() {
		s.records.setComplete()
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
	s.moves.merge(now, req.GetMoves(), req.GetMovesComplete())
	reply := &wire.ShareReply{OrdersEnd: int64(s.registry.End()), Moves: s.moves.encode(now), MovesComplete: s.moves.complete.Load(), Store: s.view.encode(), PeersComplete: s.records.isComplete()}
	s.addPeers(reply, req)
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

// addPeers adds the records of daemons that differ from the requester's, or says only that
// some do if the request does not tell which.
func (s *stateSync) addPeers(reply *wire.ShareReply, req *wire.ShareRequest) {
	switch {
	case req.GetPeersHash() == s.table.Hash():
	case len(req.GetPeersBuckets()) == 0:
		reply.PeersDiffer = true
	default:
		for _, r := range s.table.Differing(req.GetPeersBuckets()) {
			reply.Peers = append(reply.Peers, r.Encode())
		}
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

// peerSync is one synchronisation that syncWithAll started.
type peerSync struct {
	sync *stateSync
	id   string
}

// run leaves records of daemons that differ to the synchronisations with random peers: after
// a change, all daemons would get them from all others.
func (p *peerSync) run(ctx context.Context) {
	p.sync.exchange(ctx, p.id, nil)
}
