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
	// noticeDelay is the longest time a notice takes between daemons.
	noticeDelay = 300 * clock.Millisecond
	// logDelay is the longest time from an append until it is in force.
	logDelay   = 3 * clock.Second
	sampleLoss = 0.02
)

// kindGood is the version without faults.
const kindGood = "good"

// kinds are the versions that are measured.
var kinds = map[string]func(r *rand.Rand) *fault{
	kindGood: func(*rand.Rand) *fault { return nil },
	"errors_at_once": func(r *rand.Rand) *fault {
		return &fault{errors: between(r, 0.03, 0.2), slower: 1, route: -1}
	},
	"errors_later": func(r *rand.Rand) *fault {
		return &fault{errors: between(r, 0.03, 0.2), slower: 1, route: -1, from: later(r)}
	},
	"slow_at_once": func(r *rand.Rand) *fault {
		return &fault{slower: between(r, 1.6, 4), route: -1}
	},
	"slow_later": func(r *rand.Rand) *fault {
		return &fault{slower: between(r, 1.6, 4), route: -1, from: later(r)}
	},
	"under_load": func(r *rand.Rand) *fault {
		return &fault{errors: between(r, 0.03, 0.2), slower: between(r, 1, 3), route: -1, underLoad: true}
	},
	"one_route": func(r *rand.Rand) *fault {
		return &fault{errors: between(r, 0.05, 0.3), slower: 1, route: r.IntN(len(routeShares))}
	},
}

var kindNames = []string{kindGood, "errors_at_once", "errors_later", "slow_at_once", "slow_later", "under_load", "one_route"}

func between(r *rand.Rand, a, b float64) float64 { return a + (b-a)*r.Float64() }

func later(r *rand.Rand) clock.Milli { return clock.Milli(between(r, 0.2, 0.8)) * moveLength }

// outcome is the result of one run.
type outcome struct {
	seed        uint64
	doneAt      clock.Milli
	takenBackAt clock.Milli
	recordedAt  clock.Milli
	brakedAt    clock.Milli
	provenAt    clock.Milli
	shown       clock.Milli
	before      int64
	after       int64
	evidence    string
	logDown     span
}

// delivery is a message on its way.
type delivery struct {
	at     clock.Milli
	notice *shift.Notice
	append *shift.Verdict
}

type versionRun struct {
	*world
	cores   []*shift.Core
	config  *policy.Config
	mail    []delivery
	logDown span
	out     outcome
}

func measureVersions(g *goals, seed uint64, runs int, only string) {
	for _, name := range kindNames {
		if only != "" && only != name {
			continue
		}
		results := overSeeds(seed, runs, func(s uint64) outcome { return runVersion(s, kinds[name]) })
		summarise(g, name, results)
	}
}

func summarise(g *goals, name string, results []outcome) {
	var taken, done int
	before, after := make([]seeded, 0, len(results)), make([]seeded, 0, len(results))
	recorded := make([]seeded, 0, len(results))
	reaction, proven, finished := make([]seeded, 0, len(results)), make([]seeded, 0, len(results)), make([]seeded, 0, len(results))
	for _, r := range results {
		if r.takenBackAt > 0 {
			taken++
		}
		if r.doneAt > 0 && r.doneAt <= moveLength {
			done++
			finished = append(finished, seeded{r.seed, float64(r.doneAt / moveLength)})
		}
		if r.recordedAt > 0 {
			recorded = append(recorded, seeded{r.seed, float64(r.recordedAt / moveLength)})
		}
		if r.provenAt > 0 {
			proven = append(proven, seeded{r.seed, float64(r.provenAt / clock.Second)})
		}
		before = append(before, seeded{r.seed, float64(r.before)})
		after = append(after, seeded{r.seed, float64(r.after)})
		if r.shown > 0 && r.brakedAt > 0 {
			reaction = append(reaction, seeded{r.seed, float64((r.brakedAt - r.shown) / clock.Second)})
		}
		if (name == kindGood) == (r.takenBackAt > 0) || (name == kindGood && (r.doneAt == 0 || r.doneAt > moveLength)) {
			fmt.Printf("%s_missed_seed=%d proven_s=%.1f done_s=%.1f log_down_s=%.0f..%.0f shown_s=%.1f evidence=%q\n", name, r.seed,
				float64(r.provenAt/clock.Second), float64(r.doneAt/clock.Second),
				float64(r.logDown.from/clock.Second), float64(r.logDown.until/clock.Second), float64(r.shown/clock.Second), r.evidence)
		}
	}
	if name == kindGood {
		g.equal("good_completed", done, len(results))
		g.equal("good_taken_back", taken, 0)
		spread("good_recorded_at_part_of_move", recorded)
		spread("good_proven_after_s", proven)
		spread("good_finished_at_part_of_move", finished)
		return
	}
	g.equal(name+"_taken_back", taken, len(results))
	spread(name+"_calls_before_shown", before)
	spread(name+"_calls_after_shown", after)
	spread(name+"_braked_after_s", reaction)
}

func runVersion(seed uint64, kind func(*rand.Rand) *fault) outcome {
	r := rand.New(rand.NewPCG(seed, 7))
	v := &versionRun{world: newWorld(r, kind(r)), out: outcome{seed: seed}}
	if r.IntN(3) == 0 {
		v.logDown = v.period(30, 120)
	}
	members := []string{"d0", "d1", "d2", "d3", "d4", "d5"}
	v.config = &policy.Config{Revision: 7, Exceptions: []policy.Exception{{
		ID: "m1", Effect: policy.EffectVersionMove, Revision: 7, Reason: "Version v2 stores bookings faster.", Author: "ana",
		Move: &policy.VersionMove{ID: "m1", Service: service, NewVersion: newVersion, FinishBy: moveLength, UnprovenCap: 0.05},
	}}}
	for _, m := range members {
		c := shift.New(m)
		c.SetMembers(members)
		c.Configure(0, v.config)
		v.cores = append(v.cores, c)
	}
	for now := clock.Milli(0); now < moveLength+2*clock.Minute && v.out.takenBackAt == 0 && v.out.recordedAt == 0; now += trial.WindowDuration {
		v.window(now)
	}
	v.out.shown, v.out.before, v.out.after, v.out.logDown = v.shown, v.before, v.after, v.logDown
	return v.out
}

// window runs the calls of one window and what the daemons do after it.
func (v *versionRun) window(now clock.Milli) {
	v.begin(now)
	for range v.poisson(callsASecond * float64(trial.WindowDuration/clock.Second)) {
		id := call.NewID(v.rand)
		t := v.cores[v.rand.IntN(len(v.cores))].Table()
		pool := v.old
		if t.Allow(service, newVersion, id) {
			pool = v.new
		}
		v.serve(now, pool[v.rand.IntN(len(pool))], v.route())
	}
	now += trial.WindowDuration
	v.end(func(s *trial.Sample) {
		for _, c := range v.cores {
			if v.rand.Float64() >= sampleLoss {
				c.AddSample(s)
			}
		}
	})
	v.deliver(now)
	for _, c := range v.cores {
		c.SetCapacity(service, shift.Capacity{Known: true, NewSlots: newTargets * slotsEach, Offered: callsASecond * 0.02})
		for _, a := range c.Step(now) {
			v.act(now, a)
		}
	}
	v.observe(now)
}

func (v *versionRun) act(now clock.Milli, a shift.Action) {
	switch a.Kind {
	case shift.ActNotify:
		n := shift.NoticeFromWire(shift.NoticeToWire(&a.Notice))
		v.mail = append(v.mail, delivery{at: now + clock.Milli(v.rand.Float64())*noticeDelay, notice: &n})
	case shift.ActAppend:
		if v.logDown.holds(now) {
			return
		}
		if verdict, err := shift.ParseVerdict(a.Record.Body); err == nil {
			v.mail = append(v.mail, delivery{at: now + clock.Milli(v.rand.Float64())*logDelay, append: &verdict})
		}
	}
}

func (v *versionRun) deliver(now clock.Milli) {
	var rest []delivery
	for _, d := range v.mail {
		switch {
		case d.at > now:
			rest = append(rest, d)
		case d.notice != nil:
			for _, c := range v.cores {
				c.HandleNotice(now, d.notice)
			}
		default:
			v.settle(now, d.append)
		}
	}
	v.mail = rest
}

// settle does what the fold does with a verdict.
func (v *versionRun) settle(now clock.Milli, verdict *shift.Verdict) {
	e := v.config.Exceptions[0]
	if !shift.ApplyVerdict(&e, verdict) {
		return
	}
	v.config = &policy.Config{Revision: v.config.Revision + 1, Exceptions: []policy.Exception{e}}
	for _, c := range v.cores {
		c.Configure(now, v.config)
	}
}

func (v *versionRun) observe(now clock.Milli) {
	p := v.cores[0].Progress()[0]
	m := p.Exception.Move
	if p.Milestones.WorseAt > 0 && v.out.brakedAt == 0 {
		v.out.brakedAt = now
	}
	v.out.provenAt = p.Milestones.ProvenAt
	if m.TakenBack {
		v.out.takenBackAt, v.out.evidence = now, m.Evidence
	}
	if m.Done {
		v.out.recordedAt, v.out.evidence = now, m.Evidence
	}
	full := true
	for _, c := range v.cores {
		full = full && c.Table().Share("m1") == 1
	}
	if full && v.out.doneAt == 0 {
		v.out.doneAt = now
	}
}
