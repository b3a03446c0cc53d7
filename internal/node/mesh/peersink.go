package mesh

import (
	"github.com/rs/zerolog"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
)

// peerSink merges the daemon records of a topic into the table.
type peerSink struct {
	table *peers.Table
	log   zerolog.Logger
	// onNew is called with the records that changed the table, also if there are none.
	onNew func([]peers.Record)
}

// Replace implements feed.Sink. It removes no records: one that is missing in the batch
// may have been received from a peer before the store had it.
func (s peerSink) Replace(items []feed.Item, end feed.Position) {
	s.Apply(items, end)
}

// Apply implements feed.Sink.
func (s peerSink) Apply(items []feed.Item, _ feed.Position) {
	s.onNew(s.table.Merge(decodePeers(items, s.log)...))
}

// decodePeers decodes daemon records. It logs and skips those that are invalid.
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
