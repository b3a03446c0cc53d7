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

// maxEntryBytes keeps the entries of a message inside a frame of 256 KiB.
const maxEntryBytes = 160 << 10

// maxRounds bounds the exchanges in a row with a peer that is ahead.
const maxRounds = 16

// errGeneration says that a peer follows another log.
var errGeneration = errors.New("peer follows another generation of the log")

func (f *Follower) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.news:
		}
		f.mu.Lock()
		entries := f.unpushed
		f.unpushed = nil
		f.mu.Unlock()
		var wg sync.WaitGroup
		for _, p := range f.pick(fanout) {
			wg.Go(func() { f.tell(ctx, p, entries) })
		}
		wg.Wait()
	}
}

func (f *Follower) exchangeLoop(ctx context.Context) {
	for pause(ctx, f.jitter(f.o.ExchangeInterval), nil) {
		for _, p := range f.pick(1) {
			f.tell(ctx, p, nil)
		}
	}
}

func (f *Follower) tell(ctx context.Context, p Peer, entries []applog.Entry) {
	if err := f.exchange(ctx, p, entries, false); err != nil && ctx.Err() == nil {
		f.o.Logger.Debug().Str("peer", p.ID()).Err(err).Msg("exchange_failed")
	}
}

// pick returns up to n random live peers.
func (f *Follower) pick(n int) []Peer {
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

// exchange hands entries to a peer and takes what this daemon lacks.
func (f *Follower) exchange(ctx context.Context, p Peer, entries []applog.Entry, wantState bool) error {
	for range maxRounds {
		f.mu.Lock()
		st := f.q.State()
		m := &wire.ConfExchange{
			Member: f.o.Member, Generation: f.generation, Applied: st.AppliedOffset(),
			Revision: st.Config().Revision, Entries: toWire(entries), WantState: wantState,
		}
		f.mu.Unlock()
		cctx, cancel := context.WithTimeout(ctx, f.o.PeerTimeout)
		r, err := p.Exchange(cctx, m)
		cancel()
		if err != nil {
			return err
		}
		if err := f.take(p.ID(), r.Generation, r.Revision, r.Entries, r.State, r.StateHash); err != nil {
			return err
		}
		entries, wantState = nil, false
		now := f.AppliedOffset()
		if now >= r.Applied || now == m.Applied {
			return nil
		}
	}
	return nil
}

// HandleExchange answers the exchange of a peer.
func (f *Follower) HandleExchange(m *wire.ConfExchange) (*wire.ConfReply, error) {
	if err := f.take(m.Member, m.Generation, m.Revision, m.Entries, nil, 0); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	st := f.q.State()
	r := &wire.ConfReply{Generation: f.generation, Applied: st.AppliedOffset(), Revision: st.Config().Revision}
	if m.Applied >= st.AppliedOffset() {
		return r, nil
	}
	i := sort.Search(len(f.recent), func(i int) bool { return f.recent[i].Offset > m.Applied })
	reaches := i < len(f.recent) && f.recent[i].Offset == m.Applied+1
	if m.WantState || !reaches {
		r.State = compress(st.Snapshot())
		r.StateHash = st.Hash()
		return r, nil
	}
	r.Entries = toWire(f.recent[i:])
	return r, nil
}

// take accepts what a peer sent.
func (f *Follower) take(peer, generation string, revision int64, es []*wire.ConfEntry, state []byte, hash uint64) error {
	f.mu.Lock()
	if f.generation == "" {
		f.generation = generation
	}
	if generation != "" && generation != f.generation {
		f.mu.Unlock()
		return errors.Wrapf(errGeneration, "peer %s: %s, here %s", peer, generation, f.generation)
	}
	// A lower revision than before means that the peer began anew.
	f.known[peer] = revision
	f.mu.Unlock()
	if len(state) > 0 {
		if err := f.restore(state, hash); err != nil {
			return errors.Wrapf(err, "peer %s", peer)
		}
	}
	f.offer(fromWire(es))
	return nil
}

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
