package mesh

import (
	"context"
	"math"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	// orderPartBytes is the size of one part of a snapshot.
	orderPartBytes = maxSharedOrderBytes
	// maxOrderBytes is the size of the largest snapshot that is accepted.
	maxOrderBytes = 16 << 20
	// storeReadTime is how long a read of the store may take before the orders are got from a
	// peer. The store has more bandwidth than a peer.
	storeReadTime = 400 * clock.Millisecond
	// notInStore as the wanted end means that the store lacks what the peer has.
	notInStore = math.MaxInt64
	// orderTransferTimeout limits the transfer of one snapshot.
	orderTransferTimeout = 3 * clock.Second
)

// orderTransfer moves snapshots of the orders between daemons in parts. It serves daemons
// that the store does not answer, or whose store was restored from a copy.
type orderTransfer struct {
	sync *stateSync
	// puller runs one transfer at a time.
	puller orderPuller

	// wanted is the end of the orders that this daemon reads from the store.
	wanted atomic.Int64

	mu       sync.Mutex
	snapshot orderSnapshot
}

// orderSnapshot is an encoded snapshot of the orders.
type orderSnapshot struct {
	state orderState
	id    uint64
	data  []byte
}

func newOrderTransfer(s *stateSync) *orderTransfer {
	t := &orderTransfer{sync: s}
	t.puller.pull = t.fetch
	return t
}

// request gets the orders of a peer.
func (t *orderTransfer) request(id string) {
	t.wanted.Store(notInStore)
	t.puller.request(id)
}

// requestUnlessRead gets the orders of a peer, which end at a position, unless they are read
// from the store meanwhile.
func (t *orderTransfer) requestUnlessRead(id string, end feed.Position) {
	t.wanted.Store(int64(end))
	t.puller.request(id)
}

// handleRequest answers a peer with a part of the current snapshot.
func (t *orderTransfer) handleRequest(_ context.Context, _ link.Peer, payload []byte) ([]byte, error) {
	req := new(wire.OrdersRequest)
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, err
	}
	s, err := t.current()
	if err != nil {
		return nil, err
	}
	size := uint64(len(s.data))
	from := min(req.GetFrom(), size)
	if req.GetSnapshot() != s.id {
		from = 0
	}
	return proto.Marshal(&wire.OrdersReply{
		Snapshot: s.id, Size: size, From: from, Data: s.data[from:min(size, from+orderPartBytes)],
	})
}

// current returns a snapshot of the orders in force.
func (t *orderTransfer) current() (orderSnapshot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reg := t.sync.registry
	state := orderState{end: reg.End(), hash: reg.Hash()}
	if t.snapshot.data != nil && t.snapshot.state == state {
		return t.snapshot, nil
	}
	all, _ := encodeOrders(reg)
	data, err := proto.Marshal(all)
	if err != nil {
		return orderSnapshot{}, err
	}
	t.snapshot = orderSnapshot{state: state, id: xxhash.Sum64(data), data: data}
	return t.snapshot, nil
}

// fetch gets the snapshot of a peer and applies it.
func (t *orderTransfer) fetch(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, orderTransferTimeout.Duration())
	defer cancel()
	if t.isRead(ctx) {
		return
	}
	data, err := t.fetchParts(ctx, id)
	if err != nil {
		t.sync.log.Warn().Str("peer", id).Err(err).Msg("orders_not_transferred")
		return
	}
	all := new(wire.ShareReply)
	if err := proto.Unmarshal(data, all); err != nil {
		t.sync.log.Warn().Str("peer", id).Err(err).Msg("orders_not_transferred")
		return
	}
	t.sync.applyWholeOrders(all)
}

// isRead waits while the store may answer and reports whether the wanted orders were read.
func (t *orderTransfer) isRead(ctx context.Context) bool {
	if t.wanted.Load() != notInStore && !t.sync.storeFailing() {
		clock.Sleep(ctx, storeReadTime)
	}
	return int64(t.sync.registry.End()) >= t.wanted.Load()
}

// fetchParts gets all parts of a snapshot. It starts again if the peer's orders change.
func (t *orderTransfer) fetchParts(ctx context.Context, id string) ([]byte, error) {
	var data []byte
	var snapshot uint64
	for {
		part, err := t.fetchPart(ctx, id, &wire.OrdersRequest{Snapshot: snapshot, From: uint64(len(data))})
		if err != nil {
			return nil, err
		}
		if part.GetSnapshot() != snapshot {
			snapshot, data = part.GetSnapshot(), nil
		}
		if part.GetFrom() != uint64(len(data)) || part.GetSize() > maxOrderBytes || len(part.GetData()) == 0 {
			return nil, errors.Errorf("part of %d bytes at %d of %d, expected one at %d", len(part.GetData()), part.GetFrom(), part.GetSize(), len(data))
		}
		data = append(data, part.GetData()...)
		if uint64(len(data)) >= part.GetSize() {
			return data, nil
		}
	}
}

func (t *orderTransfer) fetchPart(ctx context.Context, id string, req *wire.OrdersRequest) (*wire.OrdersReply, error) {
	payload, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}
	answer, err := t.sync.pool.Control(ctx, id, controlOrders, payload)
	if err != nil {
		return nil, err
	}
	part := new(wire.OrdersReply)
	return part, proto.Unmarshal(answer, part)
}
