// Package peers holds the records that daemons announce of themselves and their
// upstreams, and derives from them the upstreams that can receive calls.
package peers

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// Record is one announcement of a daemon about itself and its upstream.
type Record struct {
	// ID is the peer address of the daemon.
	ID string
	// Incarnation is the daemon's start time in milliseconds. Seq increases with
	// each of its announcements.
	Incarnation uint64
	Seq         uint64
	// Stopped is set when the daemon has stopped as planned.
	Stopped bool
	Centre  string
	Region  string
	Service string
	// Instance is the id of the upstream's instance, empty while unknown.
	Instance string
	// StartedAt is the start time of that instance on its own clock, zero while
	// unknown.
	StartedAt clock.Milli
	Version   string
	Slots     int
	// Leaving is set when the upstream accepts no new work.
	Leaving bool
}

// Supersedes reports whether r is newer than o.
func (r *Record) Supersedes(o *Record) bool {
	if c := cmp.Compare(r.Incarnation, o.Incarnation); c != 0 {
		return c > 0
	}
	return r.Seq > o.Seq
}

// Target returns the record's upstream as a target for calls. It is leaving if the
// upstream is or the daemon has stopped.
func (r *Record) Target() call.Target {
	return call.Target{
		ID: r.ID, Incarnation: r.Incarnation, Service: r.Service, Version: r.Version,
		Centre: r.Centre, Region: r.Region, Slots: r.Slots, Leaving: r.Leaving || r.Stopped,
	}
}

// Encode returns the protobuf message of a record.
func (r *Record) Encode() *wire.PeerRecord {
	return &wire.PeerRecord{
		Id: r.ID, Incarnation: r.Incarnation, Seq: r.Seq, Gone: r.Stopped, Centre: r.Centre, Region: r.Region,
		Service: r.Service, Upstream: r.Instance, Version: r.Version, Slots: uint32(r.Slots), Leaving: r.Leaving,
		BornMs: float64(r.StartedAt),
	}
}

// Decode returns the record of a protobuf message. Missing fields are zero.
func Decode(w *wire.PeerRecord) Record {
	return Record{
		ID: w.GetId(), Incarnation: w.GetIncarnation(), Seq: w.GetSeq(), Stopped: w.GetGone(), Centre: w.GetCentre(),
		Region: w.GetRegion(), Service: w.GetService(), Instance: w.GetUpstream(), Version: w.GetVersion(),
		Slots: int(w.GetSlots()), Leaving: w.GetLeaving(),
		StartedAt: clock.Milli(w.GetBornMs()),
	}
}

// Marshal returns the protobuf encoding of a record, as written to the store.
func (r *Record) Marshal() ([]byte, error) {
	return proto.Marshal(r.Encode())
}

// Unmarshal decodes a record from its protobuf encoding.
func Unmarshal(b []byte) (Record, error) {
	w := new(wire.PeerRecord)
	if err := proto.Unmarshal(b, w); err != nil {
		return Record{}, err
	}
	return Decode(w), nil
}

// fingerprint returns a hash of the id, the incarnation and the sequence number,
// which together identify an announcement.
func (r *Record) fingerprint() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.ID)
	var buf [16]byte
	for i := range 8 {
		buf[i] = byte(r.Incarnation >> (8 * i))
		buf[8+i] = byte(r.Seq >> (8 * i))
	}
	_, _ = digest.Write(buf[:])
	return digest.Sum64()
}
