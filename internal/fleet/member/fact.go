// Package member implements the membership protocol of the fleet as a
// deterministic state machine: failure detection, gossip and anti-entropy. It
// does no I/O and reads no clock.
package member

import (
	"github.com/cespare/xxhash/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
)

// Status is the state of a member. Among facts with the same incarnation and
// sequence number, the higher status wins.
type Status int

// The statuses, in order of precedence.
//
//go:generate ../../../bin/stringer -type Status -linecomment
const (
	Alive   Status = iota // alive
	Suspect               // suspect
	Dead                  // dead
	Left                  // left
)

// DeadOrLeft reports whether the member is no longer part of the fleet.
func (s Status) DeadOrLeft() bool { return s >= Dead }

// Fact is a versioned statement about one member. Facts are immutable.
type Fact struct {
	// ID is the address of the peer listener, which is unique in the fleet.
	ID          string
	Incarnation uint64
	Seq         uint32
	Status      Status
	// Leaving is set by StartLeaving and stays set for the rest of an
	// incarnation.
	Leaving     bool
	Service     string
	Version     string
	Centre      string
	Region      string
	Slots       int
	Connections int
}

// Supersedes reports whether f is newer than old: by incarnation, then sequence
// number, then status.
func (f *Fact) Supersedes(old *Fact) bool {
	if f.Incarnation != old.Incarnation {
		return f.Incarnation > old.Incarnation
	}
	if f.Seq != old.Seq {
		return f.Seq > old.Seq
	}
	return f.Status > old.Status
}

// LacksDescription reports whether f has no service, version, place and
// capacity. Facts with a status other than alive are sent without them.
func (f *Fact) LacksDescription() bool { return f.Centre == "" }

// Sizes of encoded messages in bytes: upper bounds, excluding variable-length
// strings and payloads.
const (
	factBaseBytes        = 26
	descriptionBytes     = 16
	packetHeaderBytes    = 24
	topicUpdateBaseBytes = 16
	datagramHeaderBytes  = 28 // IPv4 and UDP headers
	// MaxPacketBytes is the maximum size of a packet, without IP and UDP
	// headers.
	MaxPacketBytes = 1200
)

// WireSize returns an upper bound of the encoded size in bytes.
func (f *Fact) WireSize() int {
	if f.Status != Alive {
		return factBaseBytes
	}
	return factBaseBytes + descriptionBytes + len(f.Service) + len(f.Version) + len(f.Centre) + len(f.Region)
}

func memberKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// versionHash hashes the incarnation and sequence number for digests. The
// status is excluded: a suspicion is either refuted or turns into a death
// within seconds, so it need not be synchronised.
func (f *Fact) versionHash(key uint32) uint32 {
	h := uint64(key)*0x9E3779B97F4A7C15 ^ f.Incarnation*0xBF58476D1CE4E5B9 ^ uint64(f.Seq)*0x94D049BB133111EB
	h ^= h >> 29
	h *= 0xBF58476D1CE4E5B9
	return uint32(h >> 32)
}

// TopicUpdate is a small versioned item that another package distributes along
// with the membership facts, such as "revision 7 exists". The highest version
// of a topic wins.
type TopicUpdate struct {
	Topic   string
	Version uint64
	// Centre is the data centre in which the update was published.
	Centre string
	Body   []byte
}

// WireSize returns an upper bound of the encoded size in bytes.
func (u *TopicUpdate) WireSize() int {
	return topicUpdateBaseBytes + len(u.Topic) + len(u.Centre) + len(u.Body)
}

// Priority orders updates when the send budget is short. Lower values are sent
// first.
type Priority int

// The priorities.
//
//go:generate ../../../bin/stringer -type Priority -linecomment
const (
	Vital    Priority = iota // vital
	Urgent                   // urgent
	Ordinary                 // ordinary
	Bulk                     // bulk
)

// priority returns the priority for gossip: departures and deaths go first, then
// other changes, then new members.
func (f *Fact) priority() Priority {
	switch {
	case f.Status.DeadOrLeft() || f.Leaving:
		return Vital
	case f.Status == Suspect || f.Seq > 0:
		return Urgent
	}
	return Bulk
}

// SendLimiter limits the bytes that the core sends.
type SendLimiter interface {
	// Allow reports whether that many bytes of a priority may be sent now. It
	// does not charge them.
	Allow(now clock.Milli, bytes int, priority Priority) bool
}
