package fold_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/applog"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/fold"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
)

const reason = "The power supply is replaced on Tuesday night."

func changeRecord(id string, base int64, body string) applog.Record {
	return applog.Record{ID: id, Kind: applog.KindChange, BaseRevision: base, Author: "crew/ana", Body: []byte(body)}
}

func centreOutRecord(id, name, centre string, base int64) applog.Record {
	return changeRecord(id, base, fmt.Sprintf("document = \"exception\"\nid = %q\neffect = \"centre_out\"\nreason = %q\nscope.centre = %q", name, reason, centre))
}

func versionMoveRecord(id, name, version string, base int64) applog.Record {
	return changeRecord(id, base, fmt.Sprintf("document = \"exception\"\nid = %q\neffect = \"version_move\"\nreason = %q\n"+
		"scope = {service = \"plan\", version = %q}\nmove.finish_by = 2026-12-05T00:00:00Z", name, reason, version))
}

func withdrawalRecord(id, name string, base int64) applog.Record {
	r := changeRecord(id, base, fmt.Sprintf("document = \"withdrawal\"\nof = \"exception\"\nid = %q\nreason = %q", name, reason))
	r.Kind = applog.KindWithdraw
	return r
}

func verdictRecord(name, ruling string, revision, base int64) applog.Record {
	r, err := (&shift.Verdict{Move: name, Revision: revision, Ruling: shift.Ruling(ruling), Judge: "m1", Evidence: "9 of 10 calls failed"}).Record(base)
	if err != nil {
		panic(err)
	}
	return r
}

// Guards against a change that is overwritten without a conflict, and against
// one that is refused although later changes modified only other items.
func TestConflicts(t *testing.T) {
	defaults := "document = \"defaults\"\ntimeout_ms = 900"
	cases := map[string]struct {
		records []applog.Record
		want    []fold.Status
		winner  string
	}{
		"same exception id":      {[]applog.Record{centreOutRecord("a", "x", "north", 0), centreOutRecord("b", "x", "south", 0)}, []fold.Status{fold.StatusAccepted, fold.StatusConflict}, "a"},
		"same scope and effect":  {[]applog.Record{centreOutRecord("a", "x", "north", 0), centreOutRecord("b", "y", "north", 0)}, []fold.Status{fold.StatusAccepted, fold.StatusConflict}, "a"},
		"unrelated on old base":  {[]applog.Record{centreOutRecord("a", "x", "north", 0), centreOutRecord("b", "y", "south", 0)}, []fold.Status{fold.StatusAccepted, fold.StatusAccepted}, ""},
		"based on the other":     {[]applog.Record{centreOutRecord("a", "x", "north", 0), centreOutRecord("b", "x", "south", 1)}, []fold.Status{fold.StatusAccepted, fold.StatusAccepted}, ""},
		"defaults twice":         {[]applog.Record{changeRecord("a", 0, defaults), changeRecord("b", 0, defaults)}, []fold.Status{fold.StatusAccepted, fold.StatusConflict}, "a"},
		"same id twice":          {[]applog.Record{centreOutRecord("a", "x", "north", 0), centreOutRecord("a", "x", "north", 1)}, []fold.Status{fold.StatusAccepted, fold.StatusDuplicate}, ""},
		"withdrawn meanwhile":    {[]applog.Record{centreOutRecord("a", "x", "north", 0), withdrawalRecord("b", "x", 1), centreOutRecord("c", "x", "south", 1)}, []fold.Status{fold.StatusAccepted, fold.StatusAccepted, fold.StatusConflict}, "b"},
		"withdrawn twice":        {[]applog.Record{centreOutRecord("a", "x", "north", 0), withdrawalRecord("b", "x", 1), withdrawalRecord("c", "x", 1)}, []fold.Status{fold.StatusAccepted, fold.StatusAccepted, fold.StatusConflict}, "b"},
		"withdrawal of nothing":  {[]applog.Record{withdrawalRecord("a", "x", 0)}, []fold.Status{fold.StatusRefused}, ""},
		"two moves of a service": {[]applog.Record{versionMoveRecord("a", "x", "v2", 0), versionMoveRecord("b", "y", "v3", 0)}, []fold.Status{fold.StatusAccepted, fold.StatusConflict}, "a"},
		"second move later":      {[]applog.Record{versionMoveRecord("a", "x", "v2", 0), versionMoveRecord("b", "y", "v3", 1)}, []fold.Status{fold.StatusAccepted, fold.StatusRefused}, ""},
		"move after verdict":     {[]applog.Record{versionMoveRecord("a", "x", "v2", 0), verdictRecord("x", string(shift.RulingTakenBack), 1, 1), versionMoveRecord("b", "y", "v3", 2)}, []fold.Status{fold.StatusAccepted, fold.StatusAccepted, fold.StatusAccepted}, ""},
		"second verdict":         {[]applog.Record{versionMoveRecord("a", "x", "v2", 0), verdictRecord("x", string(shift.RulingTakenBack), 1, 1), verdictRecord("x", string(shift.RulingDone), 1, 1)}, []fold.Status{fold.StatusAccepted, fold.StatusAccepted, fold.StatusConflict}, "verdict-x-1-taken_back"},
		"same verdict twice":     {[]applog.Record{versionMoveRecord("a", "x", "v2", 0), verdictRecord("x", string(shift.RulingDone), 1, 1), verdictRecord("x", string(shift.RulingDone), 1, 1)}, []fold.Status{fold.StatusAccepted, fold.StatusAccepted, fold.StatusDuplicate}, ""},
		"verdict on old move":    {[]applog.Record{versionMoveRecord("a", "x", "v2", 0), versionMoveRecord("b", "x", "v3", 1), verdictRecord("x", string(shift.RulingDone), 1, 2)}, []fold.Status{fold.StatusAccepted, fold.StatusAccepted, fold.StatusRefused}, ""},
		"base in the future":     {[]applog.Record{centreOutRecord("a", "x", "north", 5)}, []fold.Status{fold.StatusRefused}, ""},
		"bad document":           {[]applog.Record{changeRecord("a", 0, "weight = 1")}, []fold.Status{fold.StatusRefused}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := fold.New()
			var last fold.Result
			for i, r := range c.records {
				last = s.Apply(int64(i+1), r)
				g.Expect(last.Status).To(Equal(c.want[i]), "record %d: %s", i, last.Outcome.Detail)
			}
			g.Expect(last.Outcome.Winner).To(Equal(c.winner))
		})
	}
}

// Guards against a repeated change that takes effect again once its id was
// evicted from the outcome window.
func TestOldRepetitionIsRefused(t *testing.T) {
	g := NewWithT(t)
	s := fold.New()
	first := centreOutRecord("first", "x", "north", 0)
	s.Apply(1, first)
	s.Apply(2, withdrawalRecord("second", "x", 1))
	r := rand.New(rand.NewPCG(1, 2))
	for i := int64(3); i < fold.OutcomeWindow+10; i++ {
		id := fmt.Sprintf("%016x%016x", r.Uint64(), r.Uint64())
		s.Apply(i, centreOutRecord(id, fmt.Sprintf("e%d", i%200), fmt.Sprintf("c%d", i%200), i-1))
	}
	result := s.Apply(fold.OutcomeWindow+10, first)
	g.Expect(result.Status).To(Equal(fold.StatusRefused))
	_, exists := s.Config().Exception("x")
	g.Expect(exists).To(BeFalse())
}

// Guards against a table of seed peers that grows without bound, keeps daemons
// that left, or changes on a record of an older incarnation.
func TestSeedPeers(t *testing.T) {
	g := NewWithT(t)
	s := fold.New()
	n := int64(0)
	apply := func(kind applog.Kind, address string, incarnation uint64, at clock.Milli) {
		n++
		p := fold.SeedPeer{Address: address, Centre: "north", Incarnation: incarnation}
		r, err := fold.NewAnnouncement(p, kind == applog.KindLeave, float64(at))
		g.Expect(err).NotTo(HaveOccurred())
		s.Apply(n, r)
	}
	for i := range 6 {
		apply(applog.KindAnnounce, fmt.Sprintf("10.0.0.%d:1", i), 1, 0)
	}
	g.Expect(s.SeedPeers(0)).To(HaveLen(fold.SeedPeersPerCentre))
	apply(applog.KindLeave, "10.0.0.5:1", 1, 0)
	g.Expect(s.SeedPeers(0)).To(HaveLen(fold.SeedPeersPerCentre - 1))
	apply(applog.KindAnnounce, "10.0.0.4:1", 3, clock.Hour)
	apply(applog.KindLeave, "10.0.0.4:1", 2, clock.Hour)
	peers := s.SeedPeers(fold.SeedPeerTTL)
	g.Expect(peers).To(HaveLen(1))
	g.Expect(peers[0].Address).To(Equal("10.0.0.4:1"))
	g.Expect(s.Config().Revision).To(BeZero())
}

func drawRecords(t *rapid.T) []applog.Record {
	n := rapid.IntRange(1, 40).Draw(t, "records")
	records := make([]applog.Record, 0, n)
	for i := range n {
		base := int64(rapid.IntRange(0, i).Draw(t, "base"))
		id := fmt.Sprintf("id%d", rapid.IntRange(0, 30).Draw(t, "id"))
		name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name")
		centre := rapid.SampledFrom([]string{"north", "south"}).Draw(t, "centre")
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			records = append(records, withdrawalRecord(id, name, base))
		case 1:
			records = append(records, versionMoveRecord(id, name, centre, base))
		case 2:
			records = append(records, verdictRecord(name, rapid.SampledFrom([]string{string(shift.RulingDone), string(shift.RulingTakenBack)}).Draw(t, "ruling"), base, base))
		case 3:
			records = append(records, applog.Record{ID: id, Kind: applog.KindAnnounce, Body: fmt.Appendf(nil, `{"address":%q,"incarnation":%d}`, name, i)})
		case 4:
			records = append(records, applog.Record{ID: id, Kind: applog.KindSnapshot, Body: []byte("{}")})
		default:
			records = append(records, centreOutRecord(id, name, centre, base))
		}
	}
	return records
}

// Guards against daemons whose states differ although they received the same
// records: in any order, repeated, and with a snapshot restored at any point.
func TestSameRecordsSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		records := drawRecords(t)
		want := fold.New()
		for i, r := range records {
			want.Apply(int64(i+1), r)
		}
		offsets := make([]int64, 0, 2*len(records))
		for i := range records {
			offsets = append(offsets, int64(i+1))
		}
		repeated := rapid.SliceOf(rapid.SampledFrom(offsets)).Draw(t, "repeated")
		order := rapid.Permutation(append(offsets, repeated...)).Draw(t, "order")
		restoreAt := rapid.IntRange(0, len(order)).Draw(t, "restore at")

		buffer := fold.NewReorderBuffer(fold.New())
		revision := int64(0)
		for i, offset := range order {
			if i == restoreAt {
				s, err := fold.Restore(buffer.State().Snapshot())
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(s.Hash()).To(Equal(buffer.State().Hash()))
				buffer.Replace(s)
			}
			buffer.Add(applog.Entry{Offset: offset, Record: records[offset-1]})
			g.Expect(buffer.State().Config().Revision).To(BeNumerically(">=", revision))
			revision = buffer.State().Config().Revision
		}
		g.Expect(buffer.HasGap()).To(BeFalse())
		g.Expect(buffer.State().Hash()).To(Equal(want.Hash()))
	})
}

// Guards against reports that can't name the author of a withdrawn exception,
// and against a list of withdrawn exceptions that grows without bound.
func TestWithdrawnExceptionsAreKept(t *testing.T) {
	g := NewWithT(t)
	s := fold.New()
	for i := range 100 {
		id := fmt.Sprintf("x%d", i)
		base := int64(2 * i)
		g.Expect(s.Apply(base+1, centreOutRecord("out"+id, id, "north", base)).Outcome.Status).To(Equal(fold.StatusAccepted))
		r := withdrawalRecord("back"+id, id, base+1)
		r.AtMS = 5000
		g.Expect(s.Apply(base+2, r).Outcome.Status).To(Equal(fold.StatusAccepted))
	}
	past := s.Config().Past
	g.Expect(s.Config().Exceptions).To(BeEmpty())
	g.Expect(past).To(HaveLen(64))
	g.Expect(past[63].ID).To(Equal("x99"))
	g.Expect(past[63].End).To(BeEquivalentTo(5000))
	g.Expect(past[63].Withdrawn).To(ContainSubstring(reason))
}
