package mesh

import (
	"math/rand/v2"

	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
)

const (
	// ordersAge is how often, on average, one of all daemons reads the orders
	// anew, though the store told of none: answers of the store may be lost to
	// all of them, and the one that learns more tells its peers.
	ordersAge = clock.Second
	// ordersSpread keeps daemons that started together from reading together.
	ordersSpread = 0.5
)

// peerSink passes the records of daemons to the table.
type peerSink struct {
	table *peers.Table
	log   zerolog.Logger
	// found is called with the records that were new.
	found func([]peers.Record)
}

// Replace implements feed.Sink. What the topic lacks may have been written
// later than it was read, so nothing is forgotten.
func (s peerSink) Replace(items []feed.Item, end int64) {
	s.Apply(items, end)
}

// Apply implements feed.Sink.
func (s peerSink) Apply(items []feed.Item, _ int64) {
	s.found(s.table.Merge(decodePeers(items, s.log)...))
}

// decodePeers reads the records of daemons. One that can't be read is left out.
func decodePeers(items []feed.Item, log zerolog.Logger) []peers.Record {
	out := make([]peers.Record, 0, len(items))
	for _, i := range items {
		if i.Removed {
			continue
		}
		r, err := peers.Unmarshal(i.Value)
		if err != nil || r.ID != i.Key {
			log.Warn().Str("key", i.Key).Err(err).Msg("peer_record_unreadable")
			continue
		}
		out = append(out, r)
	}
	return out
}

// ordersWait is how long a read of the orders may wait for new ones. All
// daemons share the work.
func (n *Node) ordersWait() clock.Milli {
	spread := 1 + ordersSpread*(rand.Float64()-0.5)
	return ordersAge * clock.Milli(float64(len(n.table.LinkedIDs()))*spread)
}
