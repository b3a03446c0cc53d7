package mesh

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/crash"
	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/peers"
	"gitlab.com/cranberrytack/cranberrytack/internal/wire/link"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

const (
	// testedRecords is the number of records of a fleet of several hundred daemons.
	testedRecords = 300
	// maxPushReplyBytes is the size of a reply that has no records.
	maxPushReplyBytes = 100
	// maxReplyPerRecord is the size of one record in a reply, and of those that share its
	// bucket.
	maxReplyPerRecord = 1000
)

// newTestSync returns the synchronisation of a daemon that knows testedRecords others.
func newTestSync(id string) *stateSync {
	clk := clock.NewReal()
	decode := func(string, []byte) (order.Directive, error) { return order.Directive{}, nil }
	s := &stateSync{
		clock: clk, log: zerolog.Nop(), table: peers.New(id), records: &recordsView{}, registry: order.NewRegistry(decode, clk, zerolog.Nop()),
		moves: newTestReporter(loopbackNet{}, id, []string{id}).moves, crashes: &crashLog{table: crash.New(), clock: clk},
		view:      newStoreView(id, clk),
		ownRecord: func() peers.Record { return peers.Record{ID: id, Incarnation: 1, Seq: 1} },
	}
	for i := range testedRecords {
		s.table.Merge(peers.Record{ID: fmt.Sprintf("10.1.%d.1:7000", i), Incarnation: 1, Seq: 1, Centre: "c", Service: "s", Instance: fmt.Sprintf("i-%d", i), Version: "v1"})
	}
	return s
}

// Guards against replies with all records to each daemon that announces a change: while many
// change, each sent all records to all others.
func TestChangedRecordsAloneAreSent(t *testing.T) {
	g := NewWithT(t)
	from, to := newTestSync("a"), newTestSync("b")
	for i := range 3 {
		to.table.Merge(peers.Record{ID: fmt.Sprintf("10.1.%d.1:7000", i), Incarnation: 2, Seq: 1, Leaving: true})
	}
	request := func(hash uint64, buckets []uint32) (*wire.ShareReply, int) {
		self := from.ownRecord()
		payload, err := proto.Marshal(&wire.ShareRequest{Member: "a", Self: self.Encode(), PeersHash: hash, PeersBuckets: buckets})
		g.Expect(err).NotTo(HaveOccurred())
		answer, err := to.handleRequest(context.Background(), link.Peer{}, payload)
		g.Expect(err).NotTo(HaveOccurred())
		reply := new(wire.ShareReply)
		g.Expect(proto.Unmarshal(answer, reply)).To(Succeed())
		return reply, len(answer)
	}
	reply, size := request(from.table.Hash(), nil)
	g.Expect(reply.GetPeersDiffer()).To(BeTrue())
	g.Expect(size).To(BeNumerically("<=", maxPushReplyBytes))
	reply, size = request(from.table.Hash(), from.table.BucketHashes())
	g.Expect(size).To(BeNumerically("<=", 3*maxReplyPerRecord))
	from.applyReply("b", reply)
	for i := range 3 {
		r, ok := from.table.Lookup(fmt.Sprintf("10.1.%d.1:7000", i))
		g.Expect(ok).To(BeTrue())
		g.Expect(r.Leaving).To(BeTrue())
	}
	// A daemon that knows nobody gets all records.
	reply, _ = request(0, peers.New("a").BucketHashes())
	g.Expect(len(reply.GetPeers())).To(BeNumerically(">=", testedRecords))
}
