package shift_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
)

func moveException() policy.Exception {
	return policy.Exception{ID: "m1", Effect: policy.EffectVersionMove, Revision: 7, Move: &policy.VersionMove{
		ID: "m1", Service: "s", NewVersion: "v2", Start: 1000, FinishBy: 101000, UnprovenCap: 0.1,
	}}
}

// Guards against a share above what the state of the move allows.
func TestDecide(t *testing.T) {
	ample := shift.Capacity{Known: true, NewSlots: 100, Offered: 10}
	cases := map[string]struct {
		change     func(*policy.VersionMove)
		now        clock.Milli
		milestones shift.Milestones
		capacity   shift.Capacity
		want       float64
		limit      shift.Limit
	}{
		"before the start":             {now: 999, capacity: ample, want: 0},
		"at the start":                 {now: 1000, capacity: ample, want: 0.01},
		"unproven at the end":          {now: 101000, capacity: ample, want: 0.1, limit: shift.LimitUnprovenCap},
		"proven early, at the cap":     {now: 21000, milestones: shift.Milestones{ProvenAt: 2000}, capacity: ample, want: 0.1},
		"proven early, fully grown":    {now: 81000, milestones: shift.Milestones{ProvenAt: 2000}, capacity: ample, want: 0.9},
		"proven late":                  {now: 100500, milestones: shift.Milestones{ProvenAt: 100000}, capacity: ample, want: 0.9},
		"done, verdict not in the log": {now: 90000, milestones: shift.Milestones{ProvenAt: 2000, DoneAt: 89000}, capacity: ample, want: 1},
		"worse after done":             {now: 90000, milestones: shift.Milestones{ProvenAt: 2000, DoneAt: 89000, WorseAt: 89500}, capacity: ample, limit: shift.LimitBrake},
		"taken back":                   {change: func(m *policy.VersionMove) { m.TakenBack = true }, now: 90000, milestones: shift.Milestones{ProvenAt: 1}, capacity: ample, limit: shift.LimitVerdict},
		"done":                         {change: func(m *policy.VersionMove) { m.Done = true }, now: 90000, milestones: shift.Milestones{WorseAt: 1}, capacity: ample, want: 1, limit: shift.LimitVerdict},
		"few new upstreams":            {now: 81000, milestones: shift.Milestones{ProvenAt: 2000}, capacity: shift.Capacity{Known: true, NewSlots: 2, Offered: 10}, want: 0.16, limit: shift.LimitCapacity},
		"no new upstream":              {now: 81000, milestones: shift.Milestones{ProvenAt: 2000}, capacity: shift.Capacity{Known: true, Offered: 10}, limit: shift.LimitCapacity},
		"unknown load":                 {now: 81000, milestones: shift.Milestones{ProvenAt: 2000}, want: 0.1, limit: shift.LimitCapacity},
		"no cap configured":            {change: func(m *policy.VersionMove) { m.UnprovenCap = 0 }, now: 90000, capacity: ample, want: shift.DefaultUnprovenCap, limit: shift.LimitUnprovenCap},
		"finish before start":          {change: func(m *policy.VersionMove) { m.FinishBy = 0 }, now: 90000, capacity: ample, want: 0.1, limit: shift.LimitUnprovenCap},
		"proven after the end":         {now: 150000, milestones: shift.Milestones{ProvenAt: 120000}, capacity: ample, want: 0.9},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := moveException().Move
			if c.change != nil {
				c.change(m)
			}
			d := shift.Decide(m, c.now, c.milestones, c.capacity)
			g.Expect(d.Share).To(BeNumerically("~", c.want, 1e-9))
			g.Expect(d.Limit).To(Equal(c.limit))
		})
	}
}

// Guards against a settled move that changes by a later verdict or by one on
// another move or revision.
func TestFirstValidVerdictCounts(t *testing.T) {
	g := NewWithT(t)
	e := moveException()
	verdict := func(move string, revision int64, r shift.Ruling) *shift.Verdict {
		v := shift.Verdict{Move: move, Revision: revision, Ruling: r, Judge: "d1", At: 5, Evidence: "Too many calls failed."}
		rec, err := v.Record(9)
		g.Expect(err).NotTo(HaveOccurred())
		parsed, err := shift.ParseVerdict(rec.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(parsed).To(Equal(v))
		return &parsed
	}
	g.Expect(shift.ApplyVerdict(&e, verdict("m2", 7, shift.RulingDone))).To(BeFalse())
	g.Expect(shift.ApplyVerdict(&e, verdict("m1", 6, shift.RulingDone))).To(BeFalse())
	g.Expect(shift.ApplyVerdict(&e, verdict("m1", 7, shift.RulingTakenBack))).To(BeTrue())
	g.Expect(shift.ApplyVerdict(&e, verdict("m1", 7, shift.RulingDone))).To(BeFalse())
	g.Expect(e.Move.TakenBack).To(BeTrue())
	g.Expect(e.Move.Done).To(BeFalse())
	for _, body := range []string{"x", `move="m1"`, "move='m1'\nruling='maybe'\nevidence='e'", "move='m1'\nruling='done'"} {
		_, err := shift.ParseVerdict([]byte(body))
		g.Expect(err).To(MatchError(shift.ErrInvalidVerdict), body)
	}
}

// Guards against requests that belong to both versions or to neither, a
// fraction of requests that differs from the share, and allocations per call.
func TestAssignment(t *testing.T) {
	g := NewWithT(t)
	core := shift.New("d1")
	core.Configure(90000, &policy.Config{Exceptions: []policy.Exception{moveException()}})
	table, r, newCalls := core.Table(), rand.New(rand.NewPCG(1, 2)), 0
	id := call.NewID(r)
	for range 20000 {
		id = call.NewID(r)
		isNew := table.Allow("s", "v2", id)
		g.Expect(table.Allow("s", "v1", id)).To(Equal(!isNew))
		if isNew {
			newCalls++
		}
	}
	g.Expect(newCalls).To(BeNumerically("~", 2000, 150))
	g.Expect(table.Allow("other", "v1", id)).To(BeTrue())
	g.Expect(testing.AllocsPerRun(100, func() {
		table.Allow("s", "v2", id)
		table.AssertDispatch(99000, "s", "v2")
	})).To(BeZero())
}

// Guards against a move without a start whose schedule spans decades or
// restarts at each configuration change, and against a future start that is
// ignored.
func TestStart(t *testing.T) {
	const now = 1796378400000
	for name, c := range map[string]struct{ moveStart, exceptionStart, halfway clock.Milli }{
		"no start":               {halfway: 50000},
		"start of the move":      {moveStart: now + 7000, halfway: 57000},
		"start of the exception": {exceptionStart: now + 7000, halfway: 57000},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := moveException()
			e.Move.Start, e.Start, e.Move.FinishBy = c.moveStart, c.exceptionStart, now+c.halfway+50000
			core := shift.New("d1")
			core.Configure(now, &policy.Config{Revision: 7, Exceptions: []policy.Exception{e}})
			core.Configure(now+6000, &policy.Config{Revision: 8, Exceptions: []policy.Exception{e}})
			core.Step(now + 6500)
			g.Expect(core.Progress()[0].Decision.Phase == shift.Waiting).To(Equal(name != "no start"))
			core.Step(now + c.halfway)
			g.Expect(core.Progress()[0].Decision.Share).To(BeNumerically("~", 0.1, 1e-9))
		})
	}
}

// Guards against replacing all judges when one member leaves.
func TestJudges(t *testing.T) {
	g := NewWithT(t)
	members := []string{"a", "b", "c", "d", "e", "f"}
	judges := shift.SelectJudges("s", members)
	g.Expect(judges).To(HaveLen(shift.JudgeCount))
	var rest []string
	for _, m := range members {
		if m != judges[0] {
			rest = append(rest, m)
		}
	}
	g.Expect(shift.SelectJudges("s", rest)).To(ContainElements(judges[1], judges[2]))
}

// Guards against changes in the course of a move, for a good and for a bad
// version. The first append to the log fails.
func TestMoveUntilVerdict(t *testing.T) {
	for name, errorRate := range map[string]float64{"good_version": 0, "bad_version": 0.2} {
		t.Run(name, func(t *testing.T) {
			core, r := shift.New("d1"), rand.New(rand.NewPCG(3, 4))
			core.SetMembers([]string{"d1"})
			cfg := &policy.Config{Revision: 7, Exceptions: []policy.Exception{moveException()}}
			core.Configure(1000, cfg)
			core.SetCapacity("s", shift.Capacity{Known: true, NewSlots: 60, Offered: 20})
			var b strings.Builder
			last, appends := shift.Decision{}, 0
			for now := clock.Milli(1000); now < 110000; now += trial.WindowDuration {
				for target, version := range []string{"v1", "v1", "v2", "v2"} {
					s := &shift.Sample{Service: "s", Route: "r", Version: version, Target: fmt.Sprint("t", target), Window: trial.WindowNumber(now)}
					for range 30 {
						s.Count(10*clock.Milli(r.ExpFloat64()), version == "v2" && r.Float64() < errorRate)
					}
					core.AddSample(s)
				}
				for _, a := range core.Step(now + trial.WindowDuration) {
					fmt.Fprintf(&b, "at_ms=%.0f action=%s id=%q\n", float64(now), a.Kind, a.Record.ID)
					if a.Kind != shift.ActAppend {
						continue
					}
					if appends++; appends > 1 {
						v, err := shift.ParseVerdict(a.Record.Body)
						NewWithT(t).Expect(err).NotTo(HaveOccurred())
						e := cfg.Exceptions[0]
						shift.ApplyVerdict(&e, &v)
						core.Configure(now, &policy.Config{Revision: 8, Exceptions: []policy.Exception{e}})
					}
				}
				if d := core.Progress()[0].Decision; d.Phase != last.Phase || d.Limit != last.Limit {
					fmt.Fprintf(&b, "at_ms=%.0f share=%.3f phase=%s limit=%s evidence=%q\n", float64(now), d.Share, d.Phase, d.Limit, core.Progress()[0].Exception.Move.Evidence)
					last = d
				}
			}
			goldie.New(t).Assert(t, name, []byte(b.String()))
		})
	}
}

// Guards against samples and notices that change when they are encoded and
// decoded, and against accepting a contradictory sample.
func TestWire(t *testing.T) {
	g := NewWithT(t)
	s := shift.Sample{Service: "s", Route: "r", Version: "v", Target: "t", Window: 3}
	s.Count(10, true)
	s.Count(20, false)
	w := shift.SampleToWire(&s)
	back, ok := shift.SampleFromWire(w)
	g.Expect(ok).To(BeTrue())
	g.Expect(back).To(Equal(s))
	w.Bucket[0] = call.LatencyBuckets
	_, ok = shift.SampleFromWire(w)
	g.Expect(ok).To(BeFalse())
	n := shift.Notice{
		Move: "m", Revision: 7, Sender: "d", Milestones: shift.Milestones{WorseAt: 1, ProvenAt: 2, DoneAt: 3},
		Finding: trial.Finding{Route: "r", Metric: trial.AboveP97, EValue: 4, RequiredEValue: 5, OldCalls: 6, OldBad: 7, NewCalls: 8, NewBad: 9, LatencyThreshold: 10, NewTargets: 11},
	}
	g.Expect(shift.NoticeFromWire(shift.NoticeToWire(&n))).To(Equal(n))
}

// Guards against violations of version_share by any order of notices,
// configurations and loads. Decide asserts the invariant, and a failed
// assertion fails the test.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core, now, e := shift.New("d1"), clock.Milli(0), moveException()
		settled, ruling := false, shift.RulingDone
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += clock.Milli(rapid.IntRange(0, 9000).Draw(t, "pause"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				core.Configure(now, &policy.Config{Exceptions: []policy.Exception{e}})
			case 1:
				at := shift.Milestones{ProvenAt: now}
				if rapid.Bool().Draw(t, "worse") {
					at = shift.Milestones{WorseAt: now}
				}
				core.HandleNotice(now, &shift.Notice{Move: "m1", Revision: 7, Milestones: at})
			case 2:
				core.SetCapacity("s", shift.Capacity{Known: true, NewSlots: rapid.Float64Range(0, 50).Draw(t, "slots"), Offered: 10})
			case 3:
				r := rapid.SampledFrom([]shift.Ruling{shift.RulingDone, shift.RulingTakenBack}).Draw(t, "ruling")
				if shift.ApplyVerdict(&e, &shift.Verdict{Move: "m1", Revision: 7, Ruling: r}) {
					NewWithT(t).Expect(settled).To(BeFalse())
					settled, ruling = true, r
				}
			}
			core.Step(now)
			if settled {
				NewWithT(t).Expect(e.Move.Done).To(Equal(ruling == shift.RulingDone))
			}
		}
	})
}

// Guards against a version that gets no calls because an earlier move of its service is done,
// and against calls to a version that an earlier move took back or replaced. The order of the
// ids of the moves must not matter.
func TestLaterMove(t *testing.T) {
	tests := map[string]struct {
		earlierID       string
		done, takenBack bool
		// want has the share of each version.
		want map[string]float64
	}{
		"earlier one done":                      {"m0", true, false, map[string]float64{"v1": 0, "v2": 0.9, "v3": 0.1}},
		"earlier one done, later id":            {"m2", true, false, map[string]float64{"v1": 0, "v2": 0.9, "v3": 0.1}},
		"earlier one taken back":                {"m0", false, true, map[string]float64{"v1": 0.9, "v2": 0, "v3": 0.1}},
		"earlier one taken back, with later id": {"m2", false, true, map[string]float64{"v1": 0.9, "v2": 0, "v3": 0.1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			earlier, latest := moveException(), moveException()
			earlier.ID, earlier.Move.ID, earlier.Revision = tt.earlierID, tt.earlierID, 5
			earlier.Move.Done, earlier.Move.TakenBack = tt.done, tt.takenBack
			latest.Move.NewVersion = "v3"
			core := shift.New("d1")
			core.Configure(90000, &policy.Config{Exceptions: []policy.Exception{earlier, latest}})
			const calls = 20000
			r, got := rand.New(rand.NewPCG(1, 2)), map[string]float64{}
			for range calls {
				id := call.NewID(r)
				for version := range tt.want {
					if core.Table().Allow("s", version, id) {
						got[version] += 1.0 / calls
					}
				}
			}
			for version, share := range tt.want {
				g.Expect(got[version]).To(BeNumerically("~", share, 0.01), version)
				g.Expect(core.Table().IsOldVersion("s", version)).To(Equal(share > 0.5), version)
			}
		})
	}
}
