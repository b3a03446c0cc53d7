package mesh

import (
	"slices"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

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
