package lbsim

import (
	"math"
	"math/rand/v2"
	"strconv"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// Slots is the number of calls that an upstream runs concurrently.
	Slots = 6
	// MeanServiceTime is the mean service time of an interactive call. The
	// distribution is lognormal with serviceTimeSigma, so the p99 is 2.8 times
	// the mean.
	MeanServiceTime  = 10 * clock.Millisecond
	serviceTimeSigma = 0.5
	// CallTimeout is the timeout of an interactive call; that of other calls is
	// ten times as long.
	CallTimeout = 250 * clock.Millisecond
	// CrossCentreLatency is the one-way network latency between data centres,
	// sameCentreLatency that within a data centre.
	CrossCentreLatency = 1.5 * clock.Millisecond
	sameCentreLatency  = 0.1 * clock.Millisecond
	// FaultStart is the time at which a scenario's fault starts.
	FaultStart = 5 * clock.Second
	// transferFactor is the ratio of a transfer's service time to that of an
	// interactive call.
	transferFactor = 40
	// backgroundFactor is the ratio of a background call's service time to that
	// of an interactive call.
	backgroundFactor = 2
)

// Scenario describes the simulated system, its load and its faults.
type Scenario struct {
	Name    string
	Targets int
	Centres int
	Entries int
	// InteractiveLoad returns the offered load of interactive calls as a fraction
	// of the capacity of all slots.
	InteractiveLoad func(clock.Milli) float64
	// BackgroundLoad and TransferLoad return the offered load of these classes;
	// nil means none.
	BackgroundLoad func(clock.Milli) float64
	TransferLoad   func(clock.Milli) float64
	// ServiceTimeFactor returns the factor by which a target's service time is
	// multiplied; nil means 1.
	ServiceTimeFactor func(target int, now clock.Milli) float64
	// Fails reports whether a target fails calls immediately; nil means never.
	Fails func(target int, now clock.Milli) bool
	// Restarts reports whether a target restarts, and so becomes cold, at
	// FaultStart; nil means none.
	Restarts func(target int) bool
	// ReportDelay is the age of the upstream states in load reports.
	// FreezeReports repeats the state of the first second in all later reports.
	// ReportsIdle reports whether a target falsely reports to be idle and fast.
	ReportDelay   clock.Milli
	FreezeReports bool
	ReportsIdle   func(target int) bool
	// Duration is the length of a run. Calls that arrive from WindowStart until
	// WindowEnd are measured.
	Duration, WindowStart, WindowEnd clock.Milli
}

func constantLoad(load float64) func(clock.Milli) float64 {
	return func(clock.Milli) float64 { return load }
}

func newScenario(name string, targets, centres int, load float64) Scenario {
	return Scenario{
		Name: name, Targets: targets, Centres: centres, Entries: 16,
		InteractiveLoad: constantLoad(load),
		Duration:        12 * clock.Second, WindowStart: 2 * clock.Second, WindowEnd: 12 * clock.Second,
	}
}

func newFaultScenario(name string, load float64, window clock.Milli) Scenario {
	s := newScenario(name, 8, 3, load)
	s.WindowStart, s.WindowEnd = FaultStart, FaultStart+window
	s.Duration = s.WindowEnd + clock.Second
	return s
}

func isWithin(now, start, length clock.Milli) bool {
	return now >= start && now < start+length
}

// noisyNeighbourFactor returns the service time factor of a target with a noisy
// neighbour: in each period of 200 ms it is 4 or 1, at random.
func noisyNeighbourFactor(target int, now clock.Milli) float64 {
	period := int(now / 200)
	r := rand.New(rand.NewPCG(uint64(target)+1, uint64(period)))
	r.Uint64()
	if r.Float64() < 0.5 {
		return 4
	}
	return 1
}

// Scenarios returns all scenarios, each with a unique name.
func Scenarios() []Scenario {
	var list []Scenario
	for _, load := range []float64{0.5, 0.7, 0.85, 0.95} {
		name := "_load_" + strconv.FormatFloat(load, 'f', 2, 64)
		list = append(list, newScenario("t8c3"+name, 8, 3, load), newScenario("t7c4"+name, 7, 4, load))
	}
	list = append(list, faultScenarios()...)
	list = append(list, overloadScenarios()...)
	return append(list, reportScenarios()...)
}

func faultScenarios() []Scenario {
	slow := newFaultScenario("slow_10x", 0.7, 3*clock.Second)
	slow.ServiceTimeFactor = func(t int, now clock.Milli) float64 {
		if t == 0 && isWithin(now, FaultStart, 2*clock.Second) {
			return 10
		}
		return 1
	}
	noisy := newFaultScenario("noisy_third", 0.5, 6*clock.Second)
	noisy.ServiceTimeFactor = func(t int, now clock.Milli) float64 {
		if t%3 == 0 && now >= FaultStart {
			return noisyNeighbourFactor(t, now)
		}
		return 1
	}
	fails := newFaultScenario("fail_fast", 0.7, 3*clock.Second)
	fails.Fails = func(t int, now clock.Milli) bool { return t == 0 && isWithin(now, FaultStart, 2*clock.Second) }
	coldOne := newFaultScenario("cold_one", 0.7, 3*clock.Second)
	coldOne.Restarts = func(t int) bool { return t == 0 }
	coldAll := newFaultScenario("cold_all", 0.5, 10*clock.Second)
	coldAll.Restarts = func(int) bool { return true }
	return []Scenario{slow, noisy, fails, coldOne, coldAll}
}

func overloadScenarios() []Scenario {
	load := func(now clock.Milli) float64 {
		if isWithin(now, FaultStart, 10*clock.Second) {
			return 1.3
		}
		return 0.5
	}
	overload := newFaultScenario("overload_1.3x", 0, 10*clock.Second)
	overload.InteractiveLoad, overload.Duration = load, FaultStart+15*clock.Second
	mixed := overload
	mixed.Name = "overload_1.3x_background"
	mixed.BackgroundLoad = constantLoad(0.3)
	background := newScenario("background", 8, 3, 0.6)
	background.BackgroundLoad = constantLoad(0.6)
	transfer := newScenario("transfer", 8, 3, 0.4)
	transfer.TransferLoad = constantLoad(0.6)
	return []Scenario{overload, mixed, newScenario("no_background", 8, 3, 0.6), background, newScenario("no_transfer", 8, 3, 0.4), transfer}
}

func reportScenarios() []Scenario {
	var list []Scenario
	for _, delay := range []clock.Milli{50, 1000} {
		s := newScenario("stale_"+strconv.Itoa(int(delay))+"ms", 8, 3, 0.7)
		s.ReportDelay = delay
		list = append(list, s)
	}
	frozen := newScenario("frozen", 8, 3, 0.7)
	frozen.FreezeReports = true
	idleReports := newScenario("false_reports", 8, 3, 0.7)
	idleReports.ReportsIdle = func(t int) bool { return t%3 == 0 }
	list = append(list, frozen, idleReports)
	for _, entries := range []int{8, 64, 512} {
		s := newScenario("entries_"+strconv.Itoa(entries), 8, 3, 0.85)
		s.Entries = entries
		list = append(list, s)
	}
	return list
}

// drawServiceTime draws the service time of a call on a warm upstream without
// faults.
func drawServiceTime(r *rand.Rand, c call.Class) clock.Milli {
	t := float64(MeanServiceTime) * math.Exp(serviceTimeSigma*r.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2)
	switch c {
	case call.Transfer:
		t *= transferFactor
	case call.Background:
		t *= backgroundFactor
	case call.Interactive:
	}
	return clock.Milli(t)
}

func classServiceFactor(c call.Class) float64 {
	switch c {
	case call.Transfer:
		return transferFactor
	case call.Background:
		return backgroundFactor
	default:
		return 1
	}
}

func centreName(i, centres int) string {
	return "c" + strconv.Itoa(i%centres)
}
