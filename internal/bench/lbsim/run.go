package lbsim

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"strconv"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/admit"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/pick"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/probe"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/retry"
)

// Policy is a combination of target choice, admission and retries.
type Policy struct {
	Name        string
	NewChooser  func(*rand.Rand, []call.Target) Chooser
	NewAdmitter func() Admitter
	Retries     bool
}

// Names of the policies to which the goals refer.
const (
	CorePolicy  = "core"
	IdealPolicy = "ideal"
)

// Policies returns the decision core, followed by the baselines.
func Policies() []Policy {
	newPolicy := func(name string, samples int, score scoreFunc) Policy {
		return Policy{
			Name: name, NewAdmitter: func() Admitter { return newFIFOAdmitter() },
			NewChooser: func(rnd *rand.Rand, t []call.Target) Chooser { return newBaseline(rnd, t, samples, score) },
		}
	}
	probing := newPolicy("probing", 0, nil)
	probing.NewChooser = func(rnd *rand.Rand, t []call.Target) Chooser {
		return probingBaseline{newBaseline(rnd, t, 3, scoreProbedLatency)}
	}
	return []Policy{
		{Name: CorePolicy, NewChooser: newCore, NewAdmitter: func() Admitter { return admit.New(Slots) }, Retries: true},
		newPolicy("random", 1, scoreRandom),
		newPolicy("round_robin", 0, nil),
		newPolicy("least_reported", 0, scoreReportedLoad),
		newPolicy("two_choices", 2, scorePending),
		newPolicy("peak_ewma", 2, scorePeakEWMA),
		probing,
	}
}

func newCore(rnd *rand.Rand, targets []call.Target) Chooser {
	p := pick.New(rnd)
	p.SetTargets(0, targets)
	return corePicker{p}
}

type simulation struct {
	loop
	scenario      Scenario
	policy        Policy
	upstreams     []*upstream
	upstreamsByID map[string]*upstream
	entries       []*entry
	rand          *rand.Rand
	stats         *stats
}

// Run runs a scenario with a policy. Runs with the same seed are identical.
func Run(s Scenario, p Policy, seed uint64) Result {
	sim := &simulation{scenario: s, policy: p, upstreamsByID: map[string]*upstream{}, stats: newStats(s)}
	sim.rand = rand.New(rand.NewPCG(seed, 1))
	sim.addUpstreams(seed)
	sim.addEntries(seed)
	scheduleArrivals(&sim.loop, &s, seed, func(i int, c call.Class) { sim.entries[i].acceptCall(c) })
	sim.runUntil(s.Duration)
	return sim.stats.result(len(sim.entries))
}

func (sim *simulation) addUpstreams(seed uint64) {
	s := &sim.scenario
	for i := range s.Targets {
		u := &upstream{
			sim: sim, index: i, guard: sim.policy.NewAdmitter(), probeBudget: probe.NewUpstreamBudget(probe.UpstreamProbesPerWindow),
			attempts: map[call.ID]*attempt{}, warmupCallsDone: warmupCalls, epoch: 1, idleConns: Slots,
			rand: rand.New(rand.NewPCG(seed, uint64(100+i))),
			target: call.Target{
				ID: "t" + strconv.Itoa(i), Incarnation: 1, Centre: centreName(i, s.Centres),
				Slots: Slots, MaxConnections: 240,
			},
		}
		sim.upstreams = append(sim.upstreams, u)
		sim.upstreamsByID[u.target.ID] = u
		if s.ReportDelay > 0 {
			sim.schedule(0, u.recordState)
		}
		if s.Restarts != nil && s.Restarts(i) {
			sim.schedule(FaultStart, u.restart)
		}
	}
}

func (sim *simulation) addEntries(seed uint64) {
	targets := make([]call.Target, 0, len(sim.upstreams))
	for _, u := range sim.upstreams {
		targets = append(targets, u.target)
	}
	for i := range sim.scenario.Entries {
		r := rand.New(rand.NewPCG(seed, uint64(10_000+i)))
		sim.entries = append(sim.entries, &entry{
			sim: sim, centre: centreName(i, sim.scenario.Centres), chooser: sim.policy.NewChooser(r, slices.Clone(targets)),
			retry: retry.New(), probeBudget: probe.NewRequesterBudget(0, probe.RequesterRatePerSecond), rand: r,
		})
	}
}

// scheduleArrivals schedules Poisson arrivals for each class of calls. They depend
// only on the scenario and the seed, so all policies receive the same calls.
func scheduleArrivals(l *loop, s *Scenario, seed uint64, arrive func(entry int, c call.Class)) {
	for c, load := range map[call.Class]func(clock.Milli) float64{
		call.Interactive: s.InteractiveLoad, call.Transfer: s.TransferLoad, call.Background: s.BackgroundLoad,
	} {
		if load == nil {
			continue
		}
		r := rand.New(rand.NewPCG(seed, 50+uint64(c)))
		capacityPerMS := float64(s.Targets*Slots) / float64(MeanServiceTime) / classServiceFactor(c)
		var next func()
		next = func() {
			arrive(r.IntN(s.Entries), c)
			l.schedule(clock.Milli(r.ExpFloat64()/(capacityPerMS*load(l.now))), next)
		}
		l.schedule(clock.Milli(r.ExpFloat64()/(capacityPerMS*load(0))), next)
	}
}

// sortedAttempts returns the attempts ordered by request ID, so that runs with the
// same seed are identical.
func (sim *simulation) sortedAttempts(attempts map[call.ID]*attempt) []*attempt {
	list := make([]*attempt, 0, len(attempts))
	for _, a := range attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return bytes.Compare(a.call.request.ID[:], b.call.request.ID[:])
	})
	return list
}
