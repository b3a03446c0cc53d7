// Package peers holds what daemons have announced of themselves and of their
// upstreams, and which of them can be reached.
package peers

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// Record is one announcement of a daemon.
type Record struct {
	// ID is the peer address of the daemon.
	ID string
	// Incarnation is the daemon's start time in ms, Seq grows with each of its
	// announcements.
	Incarnation uint64
	Seq         uint64
	// Gone says that the daemon ended as planned.
	Gone    bool
	Centre  string
	Region  string
	Service string
	// Instance is the id of the upstream's instance, empty while unknown.
	Instance string
	// StartedAt is the start of that instance, zero if it did not tell.
	StartedAt clock.Milli
	Version   string
	Slots     int
	// Leaving says that the upstream takes no new work.
	Leaving bool
}

// Supersedes reports whether r is newer than o.
func (r *Record) Supersedes(o *Record) bool {
	if c := cmp.Compare(r.Incarnation, o.Incarnation); c != 0 {
		return c > 0
	}
	return r.Seq > o.Seq
}

// Target returns the record as a target of calls.
func (r *Record) Target() call.Target {
	return call.Target{
		ID: r.ID, Incarnation: r.Incarnation, Service: r.Service, Version: r.Version,
		Centre: r.Centre, Region: r.Region, Slots: r.Slots, Leaving: r.Leaving || r.Gone,
	}
}

// Encode returns the wire form of a record.
func (r *Record) Encode() *wire.PeerRecord {
	return &wire.PeerRecord{
		Id: r.ID, Incarnation: r.Incarnation, Seq: r.Seq, Gone: r.Gone, Centre: r.Centre, Region: r.Region,
		Service: r.Service, Upstream: r.Instance, Version: r.Version, Slots: uint32(r.Slots), Leaving: r.Leaving,
		BornMs: float64(r.StartedAt),
	}
}

// Decode reads the wire form of a record.
func Decode(w *wire.PeerRecord) Record {
	return Record{
		ID: w.GetId(), Incarnation: w.GetIncarnation(), Seq: w.GetSeq(), Gone: w.GetGone(), Centre: w.GetCentre(),
		Region: w.GetRegion(), Service: w.GetService(), Instance: w.GetUpstream(), Version: w.GetVersion(),
		Slots: int(w.GetSlots()), Leaving: w.GetLeaving(),
		StartedAt: clock.Milli(w.GetBornMs()),
	}
}

// Marshal returns the bytes of a record for the store.
func (r *Record) Marshal() ([]byte, error) {
	return proto.Marshal(r.Encode())
}

// Unmarshal reads the bytes of a record.
func Unmarshal(b []byte) (Record, error) {
	w := new(wire.PeerRecord)
	if err := proto.Unmarshal(b, w); err != nil {
		return Record{}, err
	}
	return Decode(w), nil
}

// stamp is a hash of which announcement this is.
func (r *Record) stamp() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.ID)
	var b [16]byte
	for i := range 8 {
		b[i] = byte(r.Incarnation >> (8 * i))
		b[8+i] = byte(r.Seq >> (8 * i))
	}
	_, _ = d.Write(b[:])
	return d.Sum64()
}
