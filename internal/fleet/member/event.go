package member

import "gitlab.com/cranberrytack/cranberrytack/internal/base/clock"

// PacketKind says what a packet asks of its receiver.
type PacketKind int

// The kinds of packets.
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
	// Nonce matches an answer to its probe.
	Nonce uint32
	// Target is the member that a ping request is about.
	Target       string
	Facts        []Fact
	TopicUpdates []TopicUpdate
}

// WireSize is an upper bound of the encoded size without IP and UDP headers.
func (p *Packet) WireSize() int {
	n := packetBytes
	for i := range p.Facts {
		n += p.Facts[i].WireSize()
	}
	for i := range p.TopicUpdates {
		n += p.TopicUpdates[i].WireSize()
	}
	return n
}

// Stamp is the version of one member in a digest.
type Stamp struct{ Key, Hash uint32 }

// SyncRequest compares tables with a peer. Its steps are: root hash only;
// stamps of the buckets in Mask; facts that the peer wanted.
type SyncRequest struct {
	Self         Fact
	Root         uint64
	Compare      bool
	Mask         uint64
	Stamps       []Stamp
	Facts        []Fact
	TopicUpdates []TopicUpdate
}

// SyncReply answers a request.
type SyncReply struct {
	Equal bool
	// Busy says that the request was not served; Facts then name some members
	// to ask instead.
	Busy bool
	// Served are the buckets of the mask that the reply covers.
	Served       uint64
	Buckets      []uint32
	Facts        []Fact
	Want         []uint32
	TopicUpdates []TopicUpdate
}

// Event is an input of the core.
type Event interface{ event() }

// The events.
type (
	// Tick is sent when the time of Wake has come.
	Tick struct{}
	// Start begins joining through first peers; without any, the member is
	// the first of its fleet.
	Start struct{ Seeds []string }
	// SyncWith compares the table with peers that are not in it.
	SyncWith struct{ Peers []string }
	// PacketReceived is a packet from a peer.
	PacketReceived struct {
		From   string
		Packet Packet
	}
	// SyncRequestReceived is a peer's request; the core returns one Answer.
	SyncRequestReceived struct {
		From    string
		Request SyncRequest
	}
	// SyncReplyReceived is a peer's reply to an Ask.
	SyncReplyReceived struct {
		Peer    string
		Request SyncRequest
		Reply   SyncReply
	}
	// SyncFailed says that an Ask was not answered.
	SyncFailed struct {
		Peer    string
		Request SyncRequest
	}
	// ProcessPaused says that this process did not run for a while.
	ProcessPaused struct{ Duration clock.Milli }
	// StartLeaving announces that this member takes no new work.
	StartLeaving struct{}
	// FinishLeaving announces that this member has finished.
	FinishLeaving struct{}
	// Publish spreads an item of news.
	Publish struct{ Update TopicUpdate }
	// UpdateSelf changes what this member announces of itself.
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

// Action is an output of the core.
type Action interface{ action() }

// The actions.
type (
	// SendPacket sends a packet.
	SendPacket struct {
		To     string
		Packet Packet
	}
	// SendSyncRequest sends a request over a link.
	SendSyncRequest struct {
		Peer    string
		Request SyncRequest
	}
	// SendSyncReply replies to the request that was just handled.
	SendSyncReply struct{ Reply SyncReply }
	// FactChanged reports a change of the table.
	FactChanged struct{ Fact Fact }
	// TopicUpdated reports news that was not known before.
	TopicUpdated struct{ Update TopicUpdate }
	// ReachabilityChanged reports that a data centre was lost or found by this relay. Its
	// members are kept.
	ReachabilityChanged struct {
		Centre    string
		Reachable bool
	}
	// Joined reports that the whole table was fetched.
	Joined struct{ Members int }
)

func (SendPacket) action()          {}
func (SendSyncRequest) action()     {}
func (SendSyncReply) action()       {}
func (FactChanged) action()         {}
func (TopicUpdated) action()        {}
func (ReachabilityChanged) action() {}
func (Joined) action()              {}
