package centre_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/assert"
	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/centre"
)

func config(revision int64, exceptions ...policy.Exception) *policy.Config {
	return &policy.Config{Revision: revision, Exceptions: exceptions}
}

func centreOut(start, end clock.Milli) policy.Exception {
	return policy.Exception{ID: "x1", Effect: policy.EffectCentreOut, Scope: policy.Scope{Centre: "a"}, Start: start, End: end, Revision: 5}
}

func status(member, dc string, revision int64, calls int, at clock.Milli) centre.MemberStatus {
	return centre.MemberStatus{Member: member, Centre: dc, Revision: revision, InProgress: calls, ReceivedAt: at}
}

// Guards against a move that is reported done while a member prevents it, and against a
// blocker that is not listed.
func TestBlockers(t *testing.T) {
	cases := map[string]struct {
		status centre.MemberStatus
		cause  centre.Cause
		done   bool
	}{
		"all calls ended":             {status: status("m", "a", 5, 0, 1500), done: true},
		"call in progress":            {status: status("m", "a", 5, 1, 1500), cause: centre.CauseInProgress},
		"call in another centre":      {status: status("m", "b", 5, 1, 1500), done: true},
		"old revision elsewhere":      {status: status("m", "b", 4, 0, 1500), cause: centre.CauseOldRevision},
		"status from before the move": {status: status("m", "a", 5, 0, 900), cause: centre.CauseSilent},
		"never reported":              {status: status("m", "a", 0, 0, 0), cause: centre.CauseSilent},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			core := centre.New()
			core.Configure(1000, config(5, centreOut(0, 0)))
			core.Observe(c.status)
			m := core.Step(2000)[0]
			if c.done {
				g.Expect(m.State).To(Equal(centre.Done))
				return
			}
			g.Expect(m.State).To(Equal(centre.Draining))
			g.Expect(m.Blockers).To(HaveLen(1))
			g.Expect(m.Blockers[0].Member).To(Equal("m"))
			g.Expect(m.Blockers[0].Cause).To(Equal(c.cause))
		})
	}
}

// Guards against a move that stays done when the status of a member expires or when a
// member joins late.
func TestDoneIsReopened(t *testing.T) {
	g := NewWithT(t)
	core := centre.New()
	core.Configure(1000, config(5, centreOut(0, 0)))
	core.Observe(status("m", "a", 5, 0, 1500))
	g.Expect(core.Step(2000)[0].State).To(Equal(centre.Done))
	g.Expect(core.Step(13000)[0].State).To(Equal(centre.Draining))
	core.Observe(status("m", "a", 5, 0, 13100))
	g.Expect(core.Step(13200)[0].State).To(Equal(centre.Done))
	core.AddMember("n", "b")
	g.Expect(core.Step(13300)[0].State).To(Equal(centre.Draining))
	core.RemoveMember("n")
	g.Expect(core.Step(13400)[0].State).To(Equal(centre.Done))
}

// Guards against a wrong share at the boundaries of an exception and of the return.
func TestShare(t *testing.T) {
	cases := map[string]struct {
		start, end, at clock.Milli
		want           float64
	}{
		"before the start":   {start: 5000, at: 4999, want: 1},
		"at the start":       {start: 5000, at: 5000, want: 0},
		"without an end":     {at: 1e9, want: 0},
		"return begins":      {end: 9000, at: 9000, want: 0.05},
		"return half way":    {end: 9000, at: 39000, want: 0.525},
		"return is complete": {end: 9000, at: 69000, want: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			core := centre.New()
			core.Configure(1000, config(5, centreOut(c.start, c.end)))
			NewWithT(t).Expect(core.Gate().Share(c.at, "a")).To(BeNumerically("~", c.want, 1e-9))
		})
	}
}

// Guards against undetected work in a data centre that is out, and against a violation
// reported within MaxOutDelay.
func TestCentreOutIsAsserted(t *testing.T) {
	g := NewWithT(t)
	var violations []assert.Violation
	defer assert.SetHook(func(v assert.Violation) { violations = append(violations, v) })()
	core := centre.New()
	core.Configure(1000, config(5, centreOut(0, 0)))
	g.Expect(core.Gate().AssertDispatch(4000, "a")).To(BeTrue())
	g.Expect(core.Gate().AssertDispatch(9000, "b")).To(BeTrue())
	g.Expect(core.Gate().AssertDispatch(4001, "a")).To(BeFalse())
	g.Expect(violations).To(HaveLen(1))
	g.Expect(violations[0].Invariant).To(Equal(assert.CentreOut))
}

// Guards against foreground work that is shed while background work runs, and against
// a shortage that is not reported.
func TestAssessCapacity(t *testing.T) {
	cases := map[string]struct {
		foreground, background float64
		fit                    centre.Fit
		shed, missing          float64
	}{
		"enough":               {foreground: 3, background: 2, fit: centre.FitEnough},
		"shed half":            {foreground: 8, background: 4, fit: centre.FitBackgroundShed, shed: 0.5},
		"foreground too large": {foreground: 12, background: 4, fit: centre.FitTooSmall, shed: 1, missing: 2},
		"no load":              {fit: centre.FitEnough},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			loads := []centre.ServiceLoad{
				{Service: "s", Centre: "a", Slots: 10, Foreground: c.foreground, Background: c.background},
				{Service: "s", Centre: "b", Slots: 10},
			}
			assessment := centre.AssessCapacity(loads, func(dc string) float64 {
				if dc == "a" {
					return 0
				}
				return 1
			}, 1)[0]
			g.Expect(assessment.Fit).To(Equal(c.fit))
			g.Expect(assessment.BackgroundShedShare).To(Equal(c.shed))
			g.Expect(assessment.MissingSlots).To(Equal(c.missing))
		})
	}
}

// Guards against allocations in the gate, which each call passes.
func TestGateAllocatesNothing(t *testing.T) {
	core := centre.New()
	core.Configure(1000, config(5, centreOut(0, 9000)))
	gate, id := core.Gate(), call.NewID(rand.New(rand.NewPCG(1, 1)))
	n := testing.AllocsPerRun(100, func() {
		gate.Allow(20000, "a", id)
		gate.AllowBackground("s", id)
		gate.AssertDispatch(5000, "b")
	})
	NewWithT(t).Expect(n).To(BeZero())
}

func formatCapacity(assessments []centre.CapacityAssessment) string {
	parts := make([]string, 0, len(assessments))
	for _, a := range assessments {
		parts = append(parts, fmt.Sprintf("%s:%s:shed=%.2f", a.Service, a.Fit, a.BackgroundShedShare))
	}
	return strings.Join(parts, ",")
}

// Guards against changes to the sequence of states and shares of a move out and back.
func TestMoveOutAndBack(t *testing.T) {
	core := centre.New()
	var b strings.Builder
	core.SetLoads([]centre.ServiceLoad{{Service: "s", Centre: "a", Slots: 10, Foreground: 5}, {Service: "s", Centre: "b", Slots: 10, Foreground: 3, Background: 2}})
	printMoves := func(now clock.Milli) {
		for _, m := range core.Step(now) {
			fmt.Fprintf(&b, "at_ms=%.0f state=%s share=%.2f blockers=%d capacity=%s\n", float64(now), m.State, m.Share, len(m.Blockers), formatCapacity(m.Capacity))
		}
	}
	core.Configure(0, config(5, centreOut(2000, 0)))
	printMoves(1000)
	printMoves(2000)
	core.Observe(status("m", "a", 5, 2, 3000))
	printMoves(3000)
	core.Observe(status("m", "a", 5, 0, 4000))
	printMoves(4000)
	core.Configure(5000, config(6))
	printMoves(5000)
	printMoves(35000)
	printMoves(65000)
	goldie.New(t).Assert(t, "out_and_back", []byte(b.String()))
}

// Guards against event orders that leave a move done with blockers, a share outside
// 0..1, or a data centre open while an exception is in force.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		core := centre.New()
		now, revision := clock.Milli(1000), int64(5)
		cfg := config(revision)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Milli(rapid.IntRange(0, 20000).Draw(t, "pause"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				revision++
				cfg = config(revision)
				if rapid.Bool().Draw(t, "out") {
					e := centreOut(now+clock.Milli(rapid.IntRange(-5000, 5000).Draw(t, "start")), 0)
					e.Revision = revision
					cfg = config(revision, e)
				}
				core.Configure(now, cfg)
			case 1:
				dc := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "centre")
				core.Observe(status("m"+dc, dc, revision-rapid.Int64Range(0, 1).Draw(t, "behind"), rapid.IntRange(0, 1).Draw(t, "calls"), now))
			case 2:
				core.RemoveMember("ma")
			}
			for _, m := range core.Step(now) {
				g.Expect(m.Share).To(And(BeNumerically(">=", 0), BeNumerically("<=", 1)))
				g.Expect(m.State == centre.Done && len(m.Blockers) > 0).To(BeFalse())
			}
			_, isOut := cfg.CentreOutException("a", now)
			g.Expect(core.Gate().Share(now, "a") == 0).To(Equal(isOut))
		}
	})
}
