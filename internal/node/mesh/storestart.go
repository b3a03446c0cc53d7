package mesh

import (
	"context"
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/watch"
)

// firstOrdersFanout is the number of linked peers to which a daemon passes on its first
// orders. Links that open later compare the orders of both sides anyway.
const firstOrdersFanout = 4

// firstReadDelay returns how long after its start this daemon reads the orders from the store,
// unless a peer has given them to it. At the first start of the system, there are none yet.
func (s *storeWatch) firstReadDelay() clock.Milli {
	if s.firstStart {
		return firstWatchDelay
	}
	records := s.table.Records()
	duties := watch.Select(s.daemons(records), 0)
	return duties.StartReadDelay(s.self.ID, len(records))
}

// readFirstOrders reads the orders once if this daemon still has none.
func (s *storeWatch) readFirstOrders() {
	if s.firstStart || s.registry.End() > 0 {
		return
	}
	s.log.Info().Str("reason", "start").Int("peers_known", len(s.table.Records())).Msg("store_polled")
	s.orderFollower.Poll()
}

// passOnFirstOrders notifies some linked peers of the first orders since the start, when this
// daemon does not know its duties yet.
func (s *storeWatch) passOnFirstOrders(ctx context.Context) {
	if s.firstStart || s.passedOnFirst {
		return
	}
	s.passedOnFirst = true
	ids := s.linkedIDs(func(*peers.Record) bool { return true })
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	s.notify(ctx, ids[:min(firstOrdersFanout, len(ids))])
}

// discover reads the records of the other daemons after the own record is stored, unless
// others have opened links meanwhile: one that has read the records connects to all. Of two
// daemons that start at the same time, the later one sees the earlier one.
func (s *storeWatch) discover() {
	now := s.clock.Now()
	if s.discovered.Load() || !s.announcer.isStored() {
		return
	}
	if s.nextDiscoverAt == 0 {
		// At different times, so that a few read for all.
		s.nextDiscoverAt = now + clock.Milli(rand.Float64())*maxDiscoverDelay
	}
	if len(s.table.LinkedIDs()) >= discoveredLinks {
		s.discovered.Store(true)
		return
	}
	if now >= s.nextDiscoverAt {
		s.nextDiscoverAt = now + discoverRetryDelay
		s.peerFollower.Poll()
	}
}

// peersRead records a successful read of the other daemons' records.
func (s *storeWatch) peersRead() {
	if s.announcer.isStored() {
		s.discovered.Store(true)
	}
}
