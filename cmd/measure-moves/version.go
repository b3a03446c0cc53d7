package main

import (
	"fmt"
	"math/rand/v2"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/policy"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/shift"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/trial"
)

const (
	// maxNoticeDelay is the longest delay of a notice between daemons.
	maxNoticeDelay = 300 * clock.Millisecond
	// maxLogDelay is the longest time from the append of a record until it is in
	// force.
	maxLogDelay = 3 * clock.Second
	// sampleLossRate is the fraction of samples that a daemon does not receive.
	sampleLossRate = 0.02
)

// kindGood is the kind of a version without faults.
const kindGood = "good"

// newFaultByKind has, for each kind of new version, a function that draws its
// fault. The function returns nil for a version without faults.
var newFaultByKind = map[string]func(r *rand.Rand) *fault{
	kindGood: func(*rand.Rand) *fault { return nil },
	"errors_at_once": func(r *rand.Rand) *fault {
		return &fault{errorRate: uniform(r, 0.03, 0.2), slowdown: 1, route: -1}
	},
	"errors_later": func(r *rand.Rand) *fault {
		return &fault{errorRate: uniform(r, 0.03, 0.2), slowdown: 1, route: -1, startsAt: randomOnset(r)}
	},
	"slow_at_once": func(r *rand.Rand) *fault {
		return &fault{slowdown: uniform(r, 1.6, 4), route: -1}
	},
	"slow_later": func(r *rand.Rand) *fault {
		return &fault{slowdown: uniform(r, 1.6, 4), route: -1, startsAt: randomOnset(r)}
	},
	"under_load": func(r *rand.Rand) *fault {
		return &fault{errorRate: uniform(r, 0.03, 0.2), slowdown: uniform(r, 1, 3), route: -1, underLoad: true}
	},
	"one_route": func(r *rand.Rand) *fault {
		return &fault{errorRate: uniform(r, 0.05, 0.3), slowdown: 1, route: r.IntN(len(routeShares))}
	},
}

var kindNames = []string{kindGood, "errors_at_once", "errors_later", "slow_at_once", "slow_later", "under_load", "one_route"}

func uniform(r *rand.Rand, a, b float64) float64 { return a + (b-a)*r.Float64() }

// randomOnset returns a time in the middle 60% of the move.
func randomOnset(r *rand.Rand) clock.Milli { return clock.Milli(uniform(r, 0.2, 0.8)) * moveDuration }

// versionOutcome is the result of one run. Zero times stand for events that did
// not happen.
type versionOutcome struct {
	seed uint64
	// doneAt is when all daemons first sent all calls to the new version.
	doneAt      clock.Milli
	takenBackAt clock.Milli
	// recordedAt is when the verdict that the move is done was in force.
	recordedAt       clock.Milli
	brakedAt         clock.Milli
	provenAt         clock.Milli
	faultShownAt     clock.Milli
	callsBeforeFault int64
	callsAfterFault  int64
	evidence         string
	logOutage        interval
}

// delivery is a notice or a verdict that takes effect at dueAt. The other one is
// nil.
type delivery struct {
	dueAt   clock.Milli
	notice  *shift.Notice
	verdict *shift.Verdict
}

type versionRun struct {
	*simulation
	cores     []*shift.Core
	config    *policy.Config
	inTransit []delivery
	logOutage interval
	outcome   versionOutcome
}

func measureVersionMoves(g *goals, seed uint64, runs int, onlyKind string) {
	for _, name := range kindNames {
		if onlyKind != "" && onlyKind != name {
			continue
		}
		results := runSeeds(seed, runs, func(s uint64) versionOutcome { return simulateVersionMove(s, newFaultByKind[name]) })
		reportVersionMoves(g, name, results)
	}
}

func reportVersionMoves(g *goals, kind string, results []versionOutcome) {
	var takenBack, done int
	callsBefore, callsAfter := make([]seedValue, 0, len(results)), make([]seedValue, 0, len(results))
	recorded := make([]seedValue, 0, len(results))
	reaction, proven, finished := make([]seedValue, 0, len(results)), make([]seedValue, 0, len(results)), make([]seedValue, 0, len(results))
	for _, r := range results {
		if r.takenBackAt > 0 {
			takenBack++
		}
		if r.doneAt > 0 && r.doneAt <= moveDuration {
			done++
			finished = append(finished, seedValue{r.seed, float64(r.doneAt / moveDuration)})
		}
		if r.recordedAt > 0 {
			recorded = append(recorded, seedValue{r.seed, float64(r.recordedAt / moveDuration)})
		}
		if r.provenAt > 0 {
			proven = append(proven, seedValue{r.seed, float64(r.provenAt / clock.Second)})
		}
		callsBefore = append(callsBefore, seedValue{r.seed, float64(r.callsBeforeFault)})
		callsAfter = append(callsAfter, seedValue{r.seed, float64(r.callsAfterFault)})
		if r.faultShownAt > 0 && r.brakedAt > 0 {
			reaction = append(reaction, seedValue{r.seed, float64((r.brakedAt - r.faultShownAt) / clock.Second)})
		}
		if (kind == kindGood) == (r.takenBackAt > 0) || (kind == kindGood && (r.doneAt == 0 || r.doneAt > moveDuration)) {
			fmt.Printf("%s_missed_seed=%d proven_s=%.1f done_s=%.1f log_down_s=%.0f..%.0f shown_s=%.1f evidence=%q\n", kind, r.seed,
				float64(r.provenAt/clock.Second), float64(r.doneAt/clock.Second),
				float64(r.logOutage.from/clock.Second), float64(r.logOutage.until/clock.Second), float64(r.faultShownAt/clock.Second), r.evidence)
		}
	}
	if kind == kindGood {
		g.checkEqual("good_completed", done, len(results))
		g.checkEqual("good_taken_back", takenBack, 0)
		printSpread("good_recorded_at_part_of_move", recorded)
		printSpread("good_proven_after_s", proven)
		printSpread("good_finished_at_part_of_move", finished)
		return
	}
	g.checkEqual(kind+"_taken_back", takenBack, len(results))
	printSpread(kind+"_calls_before_shown", callsBefore)
	printSpread(kind+"_calls_after_shown", callsAfter)
	printSpread(kind+"_braked_after_s", reaction)
}

func simulateVersionMove(seed uint64, newFault func(*rand.Rand) *fault) versionOutcome {
	r := rand.New(rand.NewPCG(seed, 7))
	v := &versionRun{simulation: newSimulation(r, newFault(r)), outcome: versionOutcome{seed: seed}}
	if r.IntN(3) == 0 {
		v.logOutage = v.randomInterval(30, 120)
	}
	members := []string{"d0", "d1", "d2", "d3", "d4", "d5"}
	v.config = &policy.Config{Revision: 7, Exceptions: []policy.Exception{{
		ID: "m1", Effect: policy.EffectVersionMove, Revision: 7, Reason: "Version v2 stores bookings faster.", Author: "ana",
		Move: &policy.VersionMove{ID: "m1", Service: service, NewVersion: newVersion, FinishBy: moveDuration, UnprovenCap: 0.05},
	}}}
	for _, m := range members {
		c := shift.New(m)
		c.SetMembers(members)
		c.Configure(0, v.config)
		v.cores = append(v.cores, c)
	}
	for now := clock.Milli(0); now < moveDuration+2*clock.Minute && v.outcome.takenBackAt == 0 && v.outcome.recordedAt == 0; now += trial.WindowDuration {
		v.runWindow(now)
	}
	v.outcome.faultShownAt, v.outcome.callsBeforeFault, v.outcome.callsAfterFault, v.outcome.logOutage = v.faultShownAt, v.callsBeforeFault, v.callsAfterFault, v.logOutage
	return v.outcome
}

// runWindow runs the calls of one window, passes the samples and messages to the
// cores and steps them.
func (v *versionRun) runWindow(now clock.Milli) {
	v.beginWindow(now)
	for range v.poisson(callsPerSecond * float64(trial.WindowDuration/clock.Second)) {
		id := call.NewID(v.rand)
		table := v.cores[v.rand.IntN(len(v.cores))].Table()
		pool := v.oldUpstreams
		if table.Allow(service, newVersion, id) {
			pool = v.newUpstreams
		}
		v.serveCall(now, pool[v.rand.IntN(len(pool))], v.pickRoute())
	}
	now += trial.WindowDuration
	v.endWindow(func(s *trial.Sample) {
		for _, c := range v.cores {
			if v.rand.Float64() >= sampleLossRate {
				c.AddSample(s)
			}
		}
	})
	v.deliver(now)
	for _, c := range v.cores {
		c.SetCapacity(service, shift.Capacity{Known: true, NewSlots: newUpstreamCount * slotsPerUpstream, Offered: callsPerSecond * 0.02})
		for _, a := range c.Step(now) {
			v.applyAction(now, a)
		}
	}
	v.recordProgress(now)
}

func (v *versionRun) applyAction(now clock.Milli, a shift.Action) {
	switch a.Kind {
	case shift.ActNotify:
		n := shift.NoticeFromWire(shift.NoticeToWire(&a.Notice))
		v.inTransit = append(v.inTransit, delivery{dueAt: now + clock.Milli(v.rand.Float64())*maxNoticeDelay, notice: &n})
	case shift.ActAppend:
		if v.logOutage.contains(now) {
			return
		}
		if verdict, err := shift.ParseVerdict(a.Record.Body); err == nil {
			v.inTransit = append(v.inTransit, delivery{dueAt: now + clock.Milli(v.rand.Float64())*maxLogDelay, verdict: &verdict})
		}
	}
}

func (v *versionRun) deliver(now clock.Milli) {
	var undelivered []delivery
	for _, d := range v.inTransit {
		switch {
		case d.dueAt > now:
			undelivered = append(undelivered, d)
		case d.notice != nil:
			for _, c := range v.cores {
				c.HandleNotice(now, d.notice)
			}
		default:
			v.applyVerdict(now, d.verdict)
		}
	}
	v.inTransit = undelivered
}

// applyVerdict applies a verdict to the exception, as the fold of the log does,
// and configures all cores with the result.
func (v *versionRun) applyVerdict(now clock.Milli, verdict *shift.Verdict) {
	e := v.config.Exceptions[0]
	if !shift.ApplyVerdict(&e, verdict) {
		return
	}
	v.config = &policy.Config{Revision: v.config.Revision + 1, Exceptions: []policy.Exception{e}}
	for _, c := range v.cores {
		c.Configure(now, v.config)
	}
}

func (v *versionRun) recordProgress(now clock.Milli) {
	p := v.cores[0].Progress()[0]
	m := p.Exception.Move
	if p.Milestones.WorseAt > 0 && v.outcome.brakedAt == 0 {
		v.outcome.brakedAt = now
	}
	v.outcome.provenAt = p.Milestones.ProvenAt
	if m.TakenBack {
		v.outcome.takenBackAt, v.outcome.evidence = now, m.Evidence
	}
	if m.Done {
		v.outcome.recordedAt, v.outcome.evidence = now, m.Evidence
	}
	complete := true
	for _, c := range v.cores {
		complete = complete && c.Table().Share("m1") == 1
	}
	if complete && v.outcome.doneAt == 0 {
		v.outcome.doneAt = now
	}
}
