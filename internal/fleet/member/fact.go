// Package member is the deterministic core of the fleet's membership. It
// decides which members are alive and whom to tell; it does no I/O.
package member

import (
	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Status is what is believed of a member. A later status wins over an earlier
// one with the same incarnation and sequence number.
type Status int

// The statuses.
//
//go:generate ../../../bin/stringer -type Status -linecomment
const (
	Alive   Status = iota // alive
	Suspect               // suspect
	Dead                  // dead
	Left                  // left
)

// DeadOrLeft says that the member no longer takes part.
func (s Status) DeadOrLeft() bool { return s >= Dead }

// Fact is one statement about a member. Facts are values and never change.
type Fact struct {
	// ID is the peer address.
	ID          string
	Incarnation uint64
	Seq         uint32
	Status      Status
	// Leaving stays set for the rest of an incarnation.
	Leaving     bool
	Service     string
	Version     string
	Centre      string
	Region      string
	Slots       int
	Connections int
}

// Supersedes says whether f replaces old.
func (f *Fact) Supersedes(old *Fact) bool {
	if f.Incarnation != old.Incarnation {
		return f.Incarnation > old.Incarnation
	}
	if f.Seq != old.Seq {
		return f.Seq > old.Seq
	}
	return f.Status > old.Status
}

// LacksDescription says that f carries no description of the member, which suspicions and
// deaths omit.
func (f *Fact) LacksDescription() bool { return f.Centre == "" }

// Sizes of the wire format, as upper bounds without the strings.
const (
	bareFactBytes    = 26
	describeBytes    = 16
	packetBytes      = 24
	newsOverhead     = 16
	datagramOverhead = 28 // IPv4 and UDP headers
	// MaxPacket is the largest packet, without IP and UDP headers.
	MaxPacketBytes = 1200
)

// WireSize is an upper bound of the encoded size.
func (f *Fact) WireSize() int {
	if f.Status != Alive {
		return bareFactBytes
	}
	return bareFactBytes + describeBytes + len(f.Service) + len(f.Version) + len(f.Centre) + len(f.Region)
}

func keyOf(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// stamp identifies the fact's version in digests. A suspicion does not change
// it, because it is either refuted or turns into a death within seconds.
func (f *Fact) stamp(key uint32) uint32 {
	h := uint64(key)*0x9E3779B97F4A7C15 ^ f.Incarnation*0xBF58476D1CE4E5B9 ^ uint64(f.Seq)*0x94D049BB133111EB
	h ^= h >> 29
	h *= 0xBF58476D1CE4E5B9
	return uint32(h >> 32)
}

// TopicUpdate is a small item of another package that travels with the membership
// updates, such as "revision 7 exists". The highest version of a topic wins.
type TopicUpdate struct {
	Topic   string
	Version uint64
	// Centre is where the item entered the fleet.
	Centre string
	Body   []byte
}

// WireSize is an upper bound of the encoded size.
func (n *TopicUpdate) WireSize() int {
	return newsOverhead + len(n.Topic) + len(n.Centre) + len(n.Body)
}

// Priority orders updates when the budget is short; lower goes first.
type Priority int

// The importances.
//
//go:generate ../../../bin/stringer -type Priority -linecomment
const (
	Vital    Priority = iota // vital
	Urgent                   // urgent
	Ordinary                 // ordinary
	Bulk                     // bulk
)

func (f *Fact) importance() Priority {
	switch {
	case f.Status.DeadOrLeft() || f.Leaving:
		return Vital
	case f.Status == Suspect || f.Seq > 0:
		return Urgent
	}
	return Bulk
}

// SendLimiter limits what the core sends.
type SendLimiter interface {
	// Allow reports whether bytes of an importance may be sent now.
	Allow(now clock.Milli, bytes int, imp Priority) bool
}
