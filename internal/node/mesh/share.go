package mesh

import (
	"context"
	"math/rand/v2"

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
	// shareInterval is the time between comparisons with a random peer, and
	// shareHungry the same while the store does not answer this daemon.
	shareInterval = clock.Second
	shareHungry   = 300 * clock.Millisecond
	// shareTimeout bounds one comparison.
	shareTimeout = clock.Second
)

// sharer compares what this daemon knows with its peers. It carries news to
// daemons that the store does not serve.
type sharer struct {
	clock  clock.Clock
	log    zerolog.Logger
	pool   *link.Pool
	table  *peers.Table
	book   *order.Registry
	moves  *moves
	orders *feed.Follower
	self   func() peers.Record
}

// Serve implements suture.Service.
func (s *sharer) Serve(ctx context.Context) error {
	return s.run(ctx)
}

func (s *sharer) run(ctx context.Context) error {
	for clock.Sleep(ctx, s.interval()) {
		if id, ok := s.random(); ok {
			s.compare(ctx, id)
		}
	}
	return ctx.Err()
}

// interval is the time until the next comparison.
func (s *sharer) interval() clock.Milli {
	if s.orders.Online() {
		return shareInterval
	}
	return shareHungry
}

// random draws a peer with an open link.
func (s *sharer) random() (string, bool) {
	live := s.table.LinkedIDs()
	self := s.self().ID
	others := live[:0]
	for _, id := range live {
		if id != self {
			others = append(others, id)
		}
	}
	if len(others) == 0 {
		return "", false
	}
	return others[rand.IntN(len(others))], true
}

// compare asks a peer for what this daemon lacks.
func (s *sharer) compare(ctx context.Context, id string) {
	self := s.self()
	now := s.clock.Now()
	req := &wire.ShareRequest{
		Member: self.ID, OrdersEnd: s.book.NextOffset(), PeersHash: s.table.Hash(), Moves: s.moves.encode(now),
		Self: self.Encode(),
	}
	payload, err := proto.Marshal(req)
	if err != nil {
		s.log.Error().Err(err).Msg("share_not_encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout.Duration())
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
	s.take(reply)
}

// take applies what a peer knew.
func (s *sharer) take(r *wire.ShareReply) {
	// Orders come first: an upstream of a new version must not be used before
	// the order that allows it is known.
	if r.GetOrdersWhole() && r.GetOrdersEnd() > s.book.NextOffset() {
		records := make([]feed.Item, 0, len(r.GetOrders()))
		for _, o := range r.GetOrders() {
			records = append(records, feed.Item{Key: o.GetKey(), Value: o.GetValue(), Offset: o.GetOffset(), Removed: o.GetRemoved()})
		}
		s.log.Info().Int64("end", r.GetOrdersEnd()).Int64("own_end", s.book.NextOffset()).Msg("orders_from_peer")
		s.book.Replace(records, r.GetOrdersEnd())
		// The read that should have brought them hangs or fails.
		s.orders.Restart()
	}
	s.moves.merge(s.clock.Now(), r.GetMoves())
	for _, p := range r.GetPeers() {
		s.table.Merge(peers.Decode(p))
	}
}

// serve answers a comparison.
func (s *sharer) serve(_ context.Context, _ link.Peer, payload []byte) ([]byte, error) {
	req := new(wire.ShareRequest)
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, err
	}
	s.table.Merge(peers.Decode(req.GetSelf()))
	now := s.clock.Now()
	s.moves.merge(now, req.GetMoves())
	reply := &wire.ShareReply{OrdersEnd: s.book.NextOffset(), Moves: s.moves.encode(now)}
	if req.GetPeersHash() != s.table.Hash() {
		for _, r := range s.table.All() {
			reply.Peers = append(reply.Peers, r.Encode())
		}
	}
	if req.GetOrdersEnd() < reply.GetOrdersEnd() {
		s.addOrders(reply)
	}
	return proto.Marshal(reply)
}

func (s *sharer) addOrders(reply *wire.ShareReply) {
	records, end := s.book.Records()
	reply.OrdersWhole, reply.OrdersEnd = true, end
	for _, r := range records {
		if r.Removed {
			continue
		}
		reply.Orders = append(reply.Orders, &wire.OrderRecord{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
}

// push tells all linked peers at once.
func (s *sharer) push(ctx context.Context) {
	self := s.self().ID
	for _, id := range s.table.LinkedIDs() {
		if id != self {
			go (&pusher{sharer: s, id: id}).run(ctx)
		}
	}
}

// pusher compares with one peer out of turn.
type pusher struct {
	sharer *sharer
	id     string
}

func (p *pusher) run(ctx context.Context) {
	p.sharer.compare(ctx, p.id)
}
