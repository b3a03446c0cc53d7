package gossip

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gitlab.com/cranberrytack/cranberrytack/internal/fleet/member"
)

// Guards against encoded packets that exceed WireSize or that decode to
// different values.
func TestPacketRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		word := rapid.StringMatching(`[a-z]{1,20}`)
		p := member.Packet{
			Kind: member.Update, Nonce: rapid.Uint32().Draw(rt, "nonce"),
			TopicUpdates: []member.TopicUpdate{{Topic: word.Draw(rt, "topic"), Version: rapid.Uint64().Draw(rt, "version"), Centre: "a", Body: []byte("b")}},
		}
		for range rapid.IntRange(0, 8).Draw(rt, "facts") {
			f := member.Fact{
				ID: "10.1.2.3:65000", Incarnation: rapid.Uint64Max(1<<42).Draw(rt, "incarnation"),
				Seq: rapid.Uint32Max(1<<21).Draw(rt, "seq"), Status: member.Status(rapid.IntRange(0, 3).Draw(rt, "status")),
			}
			if f.Status == member.Alive {
				f.Service, f.Version = word.Draw(rt, "service"), word.Draw(rt, "version")
				f.Centre, f.Region, f.Slots, f.Connections = word.Draw(rt, "centre"), word.Draw(rt, "region"), 6, 240
			}
			p.Facts = append(p.Facts, f)
		}
		b, err := encodePacket(7, "10.0.0.1:7400", &p)
		if err != nil || len(b) > p.WireSize() {
			rt.Fatalf("%d bytes, WireSize %d, error %v", len(b), p.WireSize(), err)
		}
		from, q, err := decodePacket(7, b)
		if err != nil || from != "10.0.0.1:7400" || len(q.Facts) != len(p.Facts) {
			rt.Fatalf("decoded with sender %s and error %v, or with a wrong number of facts", from, err)
		}
		for i := range p.Facts {
			if p.Facts[i] != q.Facts[i] {
				rt.Fatalf("fact %v was decoded as %v", p.Facts[i], q.Facts[i])
			}
		}
	})
}

// Guards against panics on corrupted messages.
func TestDecodeCorrupted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(rt, "bytes")
		_, _, _ = decodePacket(7, b)
		_, _ = decodeRequest(7, b)
		_, _ = decodeReply(b)
	})
	g := NewWithT(t)
	_, _, err := decodePacket(7, nil)
	g.Expect(err).To(HaveOccurred())
}
