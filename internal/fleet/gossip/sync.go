package gossip

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/budget"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// streamOverheadBytes is the overhead of a message over a link: the IP, TCP,
// yamux and frame headers in both directions of a short stream.
const streamOverheadBytes = 160

// Syncer sends a sync request to a peer over a link and returns the reply,
// which the peer produces with Membership.ServeSync.
type Syncer interface {
	Sync(ctx context.Context, peer string, request []byte) ([]byte, error)
}

func encodeRequest(fleet uint32, r *member.SyncRequest) ([]byte, error) {
	w := &wire.SyncRequest{
		Fleet: fleet, Root: r.Root, Compare: r.Compare, Mask: r.Mask,
		Facts: encodeFacts(r.Facts), News: encodeTopicUpdates(r.TopicUpdates),
	}
	if r.Self.ID != "" {
		w.Self = encodeFact(&r.Self)
	}
	for _, s := range r.Stamps {
		w.StampKeys = append(w.StampKeys, s.Key)
		w.StampHashes = append(w.StampHashes, s.Hash)
	}
	b, err := proto.Marshal(w)
	return b, errors.Wrap(err, "encode sync request")
}

func decodeRequest(fleet uint32, b []byte) (member.SyncRequest, error) {
	var w wire.SyncRequest
	if err := proto.Unmarshal(b, &w); err != nil {
		return member.SyncRequest{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if w.GetFleet() != fleet {
		return member.SyncRequest{}, ErrWrongFleet
	}
	if len(w.GetStampKeys()) != len(w.GetStampHashes()) {
		return member.SyncRequest{}, errors.Wrapf(ErrMalformed, "%d stamp keys with a different number of hashes", len(w.GetStampKeys()))
	}
	r := member.SyncRequest{Root: w.GetRoot(), Compare: w.GetCompare(), Mask: w.GetMask(), TopicUpdates: decodeTopicUpdates(w.GetNews())}
	for i, k := range w.GetStampKeys() {
		r.Stamps = append(r.Stamps, member.Stamp{Key: k, Hash: w.GetStampHashes()[i]})
	}
	var err error
	if w.GetSelf() != nil {
		if r.Self, err = decodeFact(w.GetSelf()); err != nil {
			return r, err
		}
	}
	r.Facts, err = decodeFacts(w.GetFacts())
	return r, err
}

func encodeReply(r *member.SyncReply) ([]byte, error) {
	b, err := proto.Marshal(&wire.SyncReply{
		Equal: r.Equal, Busy: r.Busy, Served: r.ServedMask, Buckets: r.BucketHashes,
		Facts: encodeFacts(r.Facts), Want: r.WantedKeys, News: encodeTopicUpdates(r.TopicUpdates),
	})
	return b, errors.Wrap(err, "encode sync reply")
}

func decodeReply(b []byte) (member.SyncReply, error) {
	var w wire.SyncReply
	if err := proto.Unmarshal(b, &w); err != nil {
		return member.SyncReply{}, errors.Wrap(ErrMalformed, err.Error())
	}
	r := member.SyncReply{
		Equal: w.GetEqual(), Busy: w.GetBusy(), ServedMask: w.GetServed(), BucketHashes: w.GetBuckets(),
		WantedKeys: w.GetWant(), TopicUpdates: decodeTopicUpdates(w.GetNews()),
	}
	var err error
	r.Facts, err = decodeFacts(w.GetFacts())
	return r, err
}

// Limits of sync requests: how many are sent concurrently, how many are queued,
// and the time for each.
const (
	syncWorkers           = 2
	maxQueuedSyncRequests = 16
	syncTimeout           = 2 * time.Second
)

// runSync sends the sync requests of the core to peers.
func (m *Membership) runSync(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-m.syncRequests:
			m.exchange(ctx, a)
		}
	}
}

func (m *Membership) exchange(ctx context.Context, a member.SendSyncRequest) {
	reply, err := m.roundTrip(ctx, a)
	if err != nil {
		m.settings.Log.Debug().Str("peer", a.Peer).Err(err).Msg("sync_failed")
		m.handle(member.SyncFailed(a), budget.Sync)
		return
	}
	m.handle(member.SyncReplyReceived{Peer: a.Peer, Request: a.Request, Reply: reply}, budget.Sync)
}

func (m *Membership) roundTrip(ctx context.Context, a member.SendSyncRequest) (member.SyncReply, error) {
	b, err := encodeRequest(m.fleet, &a.Request)
	if err != nil {
		return member.SyncReply{}, err
	}
	m.settings.Meter.AddSent(budget.Sync, len(b)+streamOverheadBytes)
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	b, err = m.settings.Syncer.Sync(ctx, a.Peer, b)
	if err != nil {
		return member.SyncReply{}, err
	}
	m.settings.Meter.AddReceived(budget.Sync, len(b)+streamOverheadBytes)
	return decodeReply(b)
}

// ServeSync handles a sync request that a peer sent over a link and returns the
// encoded reply. After an error the caller must close the link.
func (m *Membership) ServeSync(from string, request []byte) ([]byte, error) {
	m.settings.Meter.AddReceived(budget.Sync, len(request)+streamOverheadBytes)
	req, err := decodeRequest(m.fleet, request)
	if err != nil {
		m.countDropped(err)
		return nil, err
	}
	reply := m.handle(member.SyncRequestReceived{From: from, Request: req}, budget.Sync)
	b, err := encodeReply(reply)
	if err != nil {
		return nil, err
	}
	m.settings.Meter.AddSent(budget.Sync, len(b)+streamOverheadBytes)
	return b, nil
}
