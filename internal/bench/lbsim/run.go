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

// Policy is a way to choose targets and admit calls.
type Policy struct {
	Name        string
	NewChooser  func(*rand.Rand, []call.Target) Chooser
	NewAdmitter func() Admitter
	Retries     bool
}

// Names of the policies that the goals refer to.
const (
	CorePolicy  = "core"
	IdealPolicy = "ideal"
)

// Policies returns the decision core and the baselines.
func Policies() []Policy {
	simple := func(name string, samples int, r rule) Policy {
		return Policy{
			Name: name, NewAdmitter: func() Admitter { return newFIFO() },
			NewChooser: func(rnd *rand.Rand, t []call.Target) Chooser { return newBaseline(rnd, t, samples, r) },
		}
	}
	probed := simple("probing", 0, nil)
	probed.NewChooser = func(rnd *rand.Rand, t []call.Target) Chooser {
		return probing{newBaseline(rnd, t, 3, scoreProbed)}
	}
	return []Policy{
		{Name: CorePolicy, NewChooser: newCore, NewAdmitter: func() Admitter { return admit.New(Slots) }, Retries: true},
		simple("random", 1, scoreRandom),
		simple("round_robin", 0, nil),
		simple("least_reported", 0, scoreReports),
		simple("two_choices", 2, scoreLocal),
		simple("peak_ewma", 2, scorePeak),
		probed,
	}
}

func newCore(rnd *rand.Rand, targets []call.Target) Chooser {
	p := pick.New(rnd)
	p.SetTargets(0, targets)
	return core{p}
}

type model struct {
	loop
	scenario  Scenario
	policy    Policy
	upstreams []*upstream
	byID      map[string]*upstream
	entries   []*entry
	rand      *rand.Rand
	stats     *stats
}

// Run runs one scenario with one policy and seed.
func Run(s Scenario, p Policy, seed uint64) Result {
	m := &model{scenario: s, policy: p, byID: map[string]*upstream{}, stats: newStats(s)}
	m.rand = rand.New(rand.NewPCG(seed, 1))
	m.addUpstreams(seed)
	m.addEntries(seed)
	arrivals(&m.loop, &s, seed, func(i int, c call.Class) { m.entries[i].arrive(c) })
	m.until(s.Duration)
	return m.stats.result(len(m.entries))
}

func (m *model) addUpstreams(seed uint64) {
	s := &m.scenario
	for i := range s.Targets {
		u := &upstream{
			m: m, index: i, guard: m.policy.NewAdmitter(), budget: probe.NewUpstreamBudget(probe.UpstreamProbesPerWindow),
			calls: map[call.ID]*attempt{}, served: warmCalls, epoch: 1, idle: Slots,
			rand: rand.New(rand.NewPCG(seed, uint64(100+i))),
			target: call.Target{
				ID: "t" + strconv.Itoa(i), Incarnation: 1, Centre: centreOf(i, s.Centres),
				Slots: Slots, MaxConnections: 240,
			},
		}
		m.upstreams = append(m.upstreams, u)
		m.byID[u.target.ID] = u
		if s.ReportDelay > 0 {
			m.after(0, u.record)
		}
		if s.Restarts != nil && s.Restarts(i) {
			m.after(FaultStart, u.restart)
		}
	}
}

func (m *model) addEntries(seed uint64) {
	targets := make([]call.Target, 0, len(m.upstreams))
	for _, u := range m.upstreams {
		targets = append(targets, u.target)
	}
	for i := range m.scenario.Entries {
		r := rand.New(rand.NewPCG(seed, uint64(10_000+i)))
		m.entries = append(m.entries, &entry{
			m: m, centre: centreOf(i, m.scenario.Centres), chooser: m.policy.NewChooser(r, slices.Clone(targets)),
			retry: retry.New(), probes: probe.NewRequesterBudget(0, probe.RequesterRatePerSecond), rand: r,
		})
	}
}

// arrivals lets calls arrive at random times, the same for all policies.
func arrivals(l *loop, s *Scenario, seed uint64, arrive func(entry int, c call.Class)) {
	for c, load := range map[call.Class]func(clock.Milli) float64{
		call.Interactive: s.InteractiveLoad, call.Transfer: s.TransferLoad, call.Background: s.BackgroundLoad,
	} {
		if load == nil {
			continue
		}
		r := rand.New(rand.NewPCG(seed, 50+uint64(c)))
		full := float64(s.Targets*Slots) / float64(MeanServiceTime) / classFactor(c)
		var next func()
		next = func() {
			arrive(r.IntN(s.Entries), c)
			l.after(clock.Milli(r.ExpFloat64()/(full*load(l.now))), next)
		}
		l.after(clock.Milli(r.ExpFloat64()/(full*load(0))), next)
	}
}

// sorted returns attempts in a fixed order, so that runs repeat exactly.
func (m *model) sorted(calls map[call.ID]*attempt) []*attempt {
	list := make([]*attempt, 0, len(calls))
	for _, a := range calls {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return bytes.Compare(a.call.request.ID[:], b.call.request.ID[:])
	})
	return list
}
