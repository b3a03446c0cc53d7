package member

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// PacketKind is the type of a packet. Its number is sent on the wire.
type PacketKind int

// The packet kinds. PingRequest asks the receiver to ping Target and to reply
// with Ack or, after a time-out, Nack. Update carries only facts and topic
// updates, without a reply.
//
//go:generate ../../../bin/stringer -type PacketKind -linecomment
const (
	Ping        PacketKind = iota // ping
	PingRequest                   // ping_request
	Ack                           // ack
	Nack                          // nack
	Update                        // update
)

// Packet is one datagram between members.
type Packet struct {
	Kind PacketKind
	// Nonce is copied from a Ping or PingRequest to its Ack or Nack.
	Nonce uint32
	// Target is the member to be pinged on behalf of the sender of a
	// PingRequest.
	Target       string
	Facts        []Fact
	TopicUpdates []TopicUpdate
}

// WireSize returns an upper bound of the encoded size in bytes without IP and
// UDP headers.
func (p *Packet) WireSize() int {
	n := packetHeaderBytes
	for i := range p.Facts {
		n += p.Facts[i].WireSize()
	}
	for i := range p.TopicUpdates {
		n += p.TopicUpdates[i].WireSize()
	}
	return n
}

// Stamp identifies the version of one member in a table: Key is the hash of its
// ID, Hash that of its incarnation and sequence number.
type Stamp struct{ Key, Hash uint32 }

// SyncRequest is one step of a table comparison with a peer (anti-entropy). The
// first step sends only Root (with Compare set), the second the Stamps of the
// buckets in Mask, the third the Facts that the peer requested.
type SyncRequest struct {
	Self         Fact
	Root         uint64
	Compare      bool
	Mask         uint64
	Stamps       []Stamp
	Facts        []Fact
	TopicUpdates []TopicUpdate
}

// SyncReply is the reply to a SyncRequest. If the request has Compare set,
// Equal reports whether the roots are equal. If they differ, Facts holds all
// live members of a small table, and BucketHashes is set for a larger one.
// WantedKeys holds the keys of members whose facts the peer requests.
type SyncReply struct {
	Equal bool
	// Busy is true if the peer did not serve the request because its send
	// budget is used up or it has left. Facts may then name some members to
	// request from instead.
	Busy bool
	// ServedMask is the bitmask of the buckets that the reply covers.
	ServedMask   uint64
	BucketHashes []uint32
	Facts        []Fact
	WantedKeys   []uint32
	TopicUpdates []TopicUpdate
}

// Event is an input of Core.Handle.
type Event interface{ event() }

// The events. From, Peer and Peers are member IDs, that is, peer addresses.
type (
	// Tick runs the work that is due. It is sent at the time that NextTick
	// returned.
	Tick struct{}
	// Start joins the fleet through seed peers. With no seeds, the member is
	// the first of its fleet.
	Start struct{ Seeds []string }
	// SyncWith compares the table with those of peers that are not live members
	// of it.
	SyncWith struct{ Peers []string }
	// PacketReceived delivers a packet from a peer.
	PacketReceived struct {
		From   string
		Packet Packet
	}
	// SyncRequestReceived delivers a peer's request. The core returns exactly
	// one SendSyncReply.
	SyncRequestReceived struct {
		From    string
		Request SyncRequest
	}
	// SyncReplyReceived delivers a peer's reply to a SendSyncRequest.
	SyncReplyReceived struct {
		Peer    string
		Request SyncRequest
		Reply   SyncReply
	}
	// SyncFailed reports that a SendSyncRequest got no reply.
	SyncFailed struct {
		Peer    string
		Request SyncRequest
	}
	// ProcessPaused reports that this process did not run for Duration, for
	// example while its VM was suspended.
	ProcessPaused struct{ Duration clock.Milli }
	// StartLeaving announces that this member accepts no new work.
	StartLeaving struct{}
	// FinishLeaving announces that this member has finished its work and has
	// left.
	FinishLeaving struct{}
	// Publish distributes a topic update to all members.
	Publish struct{ Update TopicUpdate }
	// UpdateSelf changes the description that this member announces of itself.
	UpdateSelf struct {
		Version            string
		Slots, Connections int
	}
)

func (Tick) event()                {}
func (Start) event()               {}
func (SyncWith) event()            {}
func (PacketReceived) event()      {}
func (SyncRequestReceived) event() {}
func (SyncReplyReceived) event()   {}
func (SyncFailed) event()          {}
func (ProcessPaused) event()       {}
func (StartLeaving) event()        {}
func (FinishLeaving) event()       {}
func (Publish) event()             {}
func (UpdateSelf) event()          {}

// Action is an output of Core.Handle that the caller must carry out.
type Action interface{ action() }

// The actions.
type (
	// SendPacket sends a datagram to the member with ID To.
	SendPacket struct {
		To     string
		Packet Packet
	}
	// SendSyncRequest sends a request over a link. The caller passes the
	// outcome back as SyncReplyReceived or SyncFailed.
	SendSyncRequest struct {
		Peer    string
		Request SyncRequest
	}
	// SendSyncReply replies to the SyncRequestReceived that was just handled.
	SendSyncReply struct{ Reply SyncReply }
	// FactChanged reports that a new fact about a member was stored in the
	// table.
	FactChanged struct{ Fact Fact }
	// TopicUpdated reports a topic update with a higher version than the
	// previous one.
	TopicUpdated struct{ Update TopicUpdate }
	// ReachabilityChanged reports that this relay lost or regained contact with
	// a data centre. The members of an unreachable data centre stay in the
	// table.
	ReachabilityChanged struct {
		Centre    string
		Reachable bool
	}
	// Joined reports that the whole table was fetched from peers.
	Joined struct{ Members int }
)

func (SendPacket) action()          {}
func (SendSyncRequest) action()     {}
func (SendSyncReply) action()       {}
func (FactChanged) action()         {}
func (TopicUpdated) action()        {}
func (ReachabilityChanged) action() {}
func (Joined) action()              {}
