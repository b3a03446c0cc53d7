package follow

import (
	"context"
	"slices"
	"sort"
	"sync"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// maxEntryBytes limits the entries of a message so that it fits in a frame of
// 256 KiB.
const maxEntryBytes = 160 << 10

// maxExchangeRounds limits the consecutive exchanges with a peer that has more
// records.
const maxExchangeRounds = 16

// errOtherGeneration is returned if a peer follows another generation of the log. The
// log service starts a new generation when the log is recreated.
var errOtherGeneration = errors.New("peer follows another generation of the log")

// pushLoop sends new records to random peers as soon as they arrive.
func (f *Follower) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.pushSignal:
		}
		f.mu.Lock()
		entries := f.unpushed
		f.unpushed = nil
		f.mu.Unlock()
		var wg sync.WaitGroup
		for _, p := range f.randomPeers(pushFanout) {
			wg.Go(func() { f.tryExchange(ctx, p, entries) })
		}
		wg.Wait()
	}
}

// exchangeLoop periodically exchanges records with a random peer, which delivers
// the records that a push did not.
func (f *Follower) exchangeLoop(ctx context.Context) {
	for sleepOrSignal(ctx, f.jitter(f.options.ExchangeInterval), nil) {
		for _, p := range f.randomPeers(1) {
			f.tryExchange(ctx, p, nil)
		}
	}
}

// tryExchange runs an exchange and logs an error.
func (f *Follower) tryExchange(ctx context.Context, p Peer, entries []applog.Entry) {
	if err := f.exchange(ctx, p, entries, false); err != nil && ctx.Err() == nil {
		f.options.Logger.Debug().Str("peer", p.ID()).Err(err).Msg("exchange_failed")
	}
}

// randomPeers returns up to n random live peers.
func (f *Follower) randomPeers(n int) []Peer {
	peers := slices.Clone(f.peers())
	f.mu.Lock()
	defer f.mu.Unlock()
	n = min(n, len(peers))
	for i := range n {
		j := i + f.rand.IntN(len(peers)-i)
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers[:n]
}

// exchange sends entries to a peer and applies the records that the peer returns,
// in several rounds if they don't fit in one reply. With wantState it requests the
// whole state instead of records.
func (f *Follower) exchange(ctx context.Context, p Peer, entries []applog.Entry, wantState bool) error {
	for range maxExchangeRounds {
		f.mu.Lock()
		st := f.buffer.State()
		m := &wire.ConfExchange{
			Member: f.options.Member, Generation: f.generation, Applied: st.AppliedOffset(),
			Revision: st.Config().Revision, Entries: toWire(entries), WantState: wantState,
		}
		f.mu.Unlock()
		exchangeCtx, cancel := context.WithTimeout(ctx, f.options.PeerTimeout)
		r, err := p.Exchange(exchangeCtx, m)
		cancel()
		if err != nil {
			return err
		}
		if err := f.applyPeerMessage(p.ID(), r.Generation, r.Revision, r.Entries, r.State, r.StateHash); err != nil {
			return err
		}
		entries, wantState = nil, false
		applied := f.AppliedOffset()
		if applied >= r.Applied || applied == m.Applied {
			return nil
		}
	}
	return nil
}

// HandleExchange applies the records in the message of a peer and returns those
// that the peer lacks, or the whole state if the peer requests it or the records
// are no longer kept.
func (f *Follower) HandleExchange(m *wire.ConfExchange) (*wire.ConfReply, error) {
	if err := f.applyPeerMessage(m.Member, m.Generation, m.Revision, m.Entries, nil, 0); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	st := f.buffer.State()
	r := &wire.ConfReply{Generation: f.generation, Applied: st.AppliedOffset(), Revision: st.Config().Revision}
	if m.Applied >= st.AppliedOffset() {
		return r, nil
	}
	i := sort.Search(len(f.recent), func(i int) bool { return f.recent[i].Offset > m.Applied })
	contiguous := i < len(f.recent) && f.recent[i].Offset == m.Applied+1
	if m.WantState || !contiguous {
		r.State = compress(st.Snapshot())
		r.StateHash = st.Hash()
		return r, nil
	}
	r.Entries = toWire(f.recent[i:])
	return r, nil
}

// applyPeerMessage applies the state and the entries in a message of a peer and
// records its revision. It rejects the message of a peer with another log.
func (f *Follower) applyPeerMessage(peer, generation string, revision int64, entries []*wire.ConfEntry, state []byte, hash uint64) error {
	f.mu.Lock()
	if f.generation == "" {
		f.generation = generation
	}
	if generation != "" && generation != f.generation {
		f.mu.Unlock()
		return errors.Wrapf(errOtherGeneration, "peer %s has generation %s, this daemon %s", peer, generation, f.generation)
	}
	// The revision of a peer decreases if it restarted with an empty state.
	f.memberRevisions[peer] = revision
	f.mu.Unlock()
	if len(state) > 0 {
		if err := f.restore(state, hash); err != nil {
			return errors.Wrapf(err, "peer %s", peer)
		}
	}
	f.ingest(fromWire(entries))
	return nil
}

// toWire encodes the first entries whose total size is within maxEntryBytes, at
// least one.
func toWire(entries []applog.Entry) []*wire.ConfEntry {
	out := make([]*wire.ConfEntry, 0, len(entries))
	size := 0
	for _, e := range entries {
		r := e.Record
		size += len(r.Body) + len(r.ID) + len(r.Author)
		if size > maxEntryBytes && len(out) > 0 {
			break
		}
		out = append(out, &wire.ConfEntry{
			Offset: e.Offset, Id: r.ID, Kind: string(r.Kind), Base: r.BaseRevision, AtMs: r.AtMS, Author: r.Author, Body: r.Body,
		})
	}
	return out
}

func fromWire(entries []*wire.ConfEntry) []applog.Entry {
	out := make([]applog.Entry, 0, len(entries))
	for _, e := range entries {
		out = append(out, applog.Entry{Offset: e.Offset, Record: applog.Record{
			ID: e.Id, Kind: applog.Kind(e.Kind), BaseRevision: e.Base, AtMS: e.AtMs, Author: e.Author, Body: e.Body,
		}})
	}
	return out
}
