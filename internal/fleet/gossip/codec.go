package gossip

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
	wire "gitlab.com/cranberrytack/cranberrytack/internal/wire/proto"
)

// Errors for received messages. ErrMalformed covers messages that cannot be
// decoded or have invalid values.
var (
	ErrMalformed  = errors.New("malformed membership message")
	ErrWrongFleet = errors.New("message of another fleet")
)

// fleetHash identifies a fleet in messages.
func fleetHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func encodeAddr(id string) []byte {
	ap, err := netip.ParseAddrPort(id)
	if err != nil {
		return nil
	}
	b, err := ap.MarshalBinary()
	if err != nil {
		return nil
	}
	return b
}

func decodeAddr(b []byte) (string, error) {
	var ap netip.AddrPort
	if err := ap.UnmarshalBinary(b); err != nil || !ap.IsValid() {
		return "", errors.Wrapf(ErrMalformed, "invalid address of %d bytes", len(b))
	}
	return ap.String(), nil
}

func encodeFact(f *member.Fact) *wire.MemberFact {
	w := &wire.MemberFact{
		Addr: encodeAddr(f.ID), Incarnation: f.Incarnation, Seq: f.Seq,
		Status: uint32(f.Status), Leaving: f.Leaving,
	}
	if f.Status == member.Alive {
		w.Service, w.Version, w.Centre, w.Region = f.Service, f.Version, f.Centre, f.Region
		w.Slots, w.Connections = uint32(f.Slots), uint32(f.Connections)
	}
	return w
}

func decodeFact(w *wire.MemberFact) (member.Fact, error) {
	id, err := decodeAddr(w.GetAddr())
	if err != nil {
		return member.Fact{}, err
	}
	f := member.Fact{
		ID: id, Incarnation: w.GetIncarnation(), Seq: w.GetSeq(), Status: member.Status(w.GetStatus()),
		Leaving: w.GetLeaving(), Service: w.GetService(), Version: w.GetVersion(), Centre: w.GetCentre(),
		Region: w.GetRegion(), Slots: int(w.GetSlots()), Connections: int(w.GetConnections()),
	}
	if w.GetStatus() > uint32(member.Left) || f.Status == member.Alive && f.LacksDescription() {
		return f, errors.Wrapf(ErrMalformed, "fact about %s with status %d is invalid or lacks its description", id, w.GetStatus())
	}
	return f, nil
}

func encodeFacts(facts []member.Fact) []*wire.MemberFact {
	out := make([]*wire.MemberFact, len(facts))
	for i := range facts {
		out[i] = encodeFact(&facts[i])
	}
	return out
}

func decodeFacts(facts []*wire.MemberFact) ([]member.Fact, error) {
	out := make([]member.Fact, len(facts))
	for i, w := range facts {
		f, err := decodeFact(w)
		if err != nil {
			return nil, err
		}
		out[i] = f
	}
	return out, nil
}

func encodeTopicUpdates(updates []member.TopicUpdate) []*wire.NewsItem {
	out := make([]*wire.NewsItem, len(updates))
	for i, u := range updates {
		out[i] = &wire.NewsItem{Topic: u.Topic, Version: u.Version, Centre: u.Centre, Body: u.Body}
	}
	return out
}

func decodeTopicUpdates(updates []*wire.NewsItem) []member.TopicUpdate {
	out := make([]member.TopicUpdate, len(updates))
	for i, u := range updates {
		out[i] = member.TopicUpdate{Topic: u.GetTopic(), Version: u.GetVersion(), Centre: u.GetCentre(), Body: u.GetBody()}
	}
	return out
}

func encodePacket(fleet uint32, from string, p *member.Packet) ([]byte, error) {
	w := &wire.Packet{
		Fleet: fleet, Kind: uint32(p.Kind), Nonce: p.Nonce, From: encodeAddr(from),
		Facts: encodeFacts(p.Facts), News: encodeTopicUpdates(p.TopicUpdates),
	}
	if p.Target != "" {
		w.Target = encodeAddr(p.Target)
	}
	b, err := proto.Marshal(w)
	return b, errors.Wrap(err, "encode packet")
}

func decodePacket(fleet uint32, b []byte) (string, member.Packet, error) {
	var w wire.Packet
	if err := proto.Unmarshal(b, &w); err != nil {
		return "", member.Packet{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if w.GetFleet() != fleet {
		return "", member.Packet{}, ErrWrongFleet
	}
	p := member.Packet{Kind: member.PacketKind(w.GetKind()), Nonce: w.GetNonce(), TopicUpdates: decodeTopicUpdates(w.GetNews())}
	if w.GetKind() > uint32(member.Update) {
		return "", p, errors.Wrapf(ErrMalformed, "unknown packet kind %d", w.GetKind())
	}
	from, err := decodeAddr(w.GetFrom())
	if err != nil {
		return "", p, err
	}
	if p.Facts, err = decodeFacts(w.GetFacts()); err != nil {
		return "", p, err
	}
	if len(w.GetTarget()) > 0 || p.Kind == member.PingRequest {
		if p.Target, err = decodeAddr(w.GetTarget()); err != nil {
			return "", p, err
		}
	}
	return from, p, nil
}
