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
	Target string
	Facts  []Fact
	News   []News
}

// WireSize is an upper bound of the encoded size without IP and UDP headers.
func (p *Packet) WireSize() int {
	n := packetBytes
	for i := range p.Facts {
		n += p.Facts[i].WireSize()
	}
	for i := range p.News {
		n += p.News[i].WireSize()
	}
	return n
}

// Stamp is the version of one member in a digest.
type Stamp struct{ Key, Hash uint32 }

// SyncRequest compares tables with a peer. Its steps are: root hash only;
// stamps of the buckets in Mask; facts that the peer wanted.
type SyncRequest struct {
	Self    Fact
	Root    uint64
	Compare bool
	Mask    uint64
	Stamps  []Stamp
	Facts   []Fact
	News    []News
}

// SyncReply answers a request.
type SyncReply struct {
	Equal bool
	// Busy says that the request was not served; Facts then name some members
	// to ask instead.
	Busy bool
	// Served are the buckets of the mask that the reply covers.
	Served  uint64
	Buckets []uint32
	Facts   []Fact
	Want    []uint32
	News    []News
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
	// Meet compares the table with peers that are not in it.
	Meet struct{ Peers []string }
	// Received is a packet from a peer.
	Received struct {
		From   string
		Packet Packet
	}
	// Asked is a peer's request; the core returns one Answer.
	Asked struct {
		From    string
		Request SyncRequest
	}
	// Synced is a peer's reply to an Ask.
	Synced struct {
		Peer    string
		Request SyncRequest
		Reply   SyncReply
	}
	// SyncFailed says that an Ask was not answered.
	SyncFailed struct {
		Peer    string
		Request SyncRequest
	}
	// Paused says that this process did not run for a while.
	Paused struct{ For clock.Milli }
	// Leave announces that this member takes no new work.
	Leave struct{}
	// Gone announces that this member has finished.
	Gone struct{}
	// Publish spreads an item of news.
	Publish struct{ News News }
	// Describe changes what this member announces of itself.
	Describe struct {
		Version            string
		Slots, Connections int
	}
)

func (Tick) event()       {}
func (Start) event()      {}
func (Meet) event()       {}
func (Received) event()   {}
func (Asked) event()      {}
func (Synced) event()     {}
func (SyncFailed) event() {}
func (Paused) event()     {}
func (Leave) event()      {}
func (Gone) event()       {}
func (Publish) event()    {}
func (Describe) event()   {}

// Action is an output of the core.
type Action interface{ action() }

// The actions.
type (
	// Send sends a packet.
	Send struct {
		To     string
		Packet Packet
	}
	// Ask sends a request over a link.
	Ask struct {
		Peer    string
		Request SyncRequest
	}
	// Answer replies to the request that was just handled.
	Answer struct{ Reply SyncReply }
	// Changed reports a change of the table.
	Changed struct{ Fact Fact }
	// Heard reports news that was not known before.
	Heard struct{ News News }
	// Reach reports that a data centre was lost or found by this relay. Its
	// members are kept.
	Reach struct {
		Centre    string
		Reachable bool
	}
	// Joined reports that the whole table was fetched.
	Joined struct{ Members int }
)

func (Send) action()    {}
func (Ask) action()     {}
func (Answer) action()  {}
func (Changed) action() {}
func (Heard) action()   {}
func (Reach) action()   {}
func (Joined) action()  {}
