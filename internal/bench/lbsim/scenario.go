package lbsim

import (
	"math"
	"math/rand/v2"
	"strconv"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/core/call"
)

const (
	// Slots is the number of calls that an upstream runs at once.
	Slots = 6
	// MeanServiceTime is the mean service time of an interactive call. It is
	// lognormal with sigma, which gives a p99 of 2.8 times the mean.
	MeanServiceTime = 10 * clock.Millisecond
	sigma           = 0.5
	// CallTimeout is the time within which a call must be answered.
	CallTimeout = 250 * clock.Millisecond
	// CrossCentreLatency is the network latency to another data centre, inside that to
	// a target in the same one.
	CrossCentreLatency = 1.5 * clock.Millisecond
	inside             = 0.1 * clock.Millisecond
	// FaultStart is when a scenario's fault begins.
	FaultStart = 5 * clock.Second
	// transferFactor is how much longer a transfer holds its slot.
	transferFactor = 40
	// backgroundFactor is how much longer a background call runs.
	backgroundFactor = 2
)

// Scenario describes one run.
type Scenario struct {
	Name    string
	Targets int
	Centres int
	Entries int
	// Load returns the offered interactive load as a share of all slots.
	InteractiveLoad func(clock.Milli) float64
	// Background and Transfer return the offered load of these classes.
	BackgroundLoad func(clock.Milli) float64
	TransferLoad   func(clock.Milli) float64
	// Slow returns the factor of a target's service time.
	ServiceTimeFactor func(target int, now clock.Milli) float64
	// Fails says whether a target fails calls at once.
	Fails func(target int, now clock.Milli) bool
	// Restarts lists the targets that become cold at Fault.
	Restarts func(target int) bool
	// StaleBy delays the load reports; Frozen repeats those of the start;
	// Lying targets report to be idle and fast.
	ReportDelay   clock.Milli
	FreezeReports bool
	ReportsIdle   func(target int) bool
	// End is the length of a run, From and To the window that is measured.
	Duration, WindowStart, WindowEnd clock.Milli
}

func steady(load float64) func(clock.Milli) float64 {
	return func(clock.Milli) float64 { return load }
}

func base(name string, targets, centres int, load float64) Scenario {
	return Scenario{
		Name: name, Targets: targets, Centres: centres, Entries: 16,
		InteractiveLoad: steady(load),
		Duration:        12 * clock.Second, WindowStart: 2 * clock.Second, WindowEnd: 12 * clock.Second,
	}
}

func fault(name string, load float64, window clock.Milli) Scenario {
	s := base(name, 8, 3, load)
	s.WindowStart, s.WindowEnd = FaultStart, FaultStart+window
	s.Duration = s.WindowEnd + clock.Second
	return s
}

func during(now, from, length clock.Milli) bool {
	return now >= from && now < from+length
}

// noise returns the factor of a noisy neighbour that slows a target for some
// hundred milliseconds at a time.
func noise(target int, now clock.Milli) float64 {
	period := int(now / 200)
	r := rand.New(rand.NewPCG(uint64(target)+1, uint64(period)))
	r.Uint64()
	if r.Float64() < 0.5 {
		return 4
	}
	return 1
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	var list []Scenario
	for _, load := range []float64{0.5, 0.7, 0.85, 0.95} {
		name := "_load_" + strconv.FormatFloat(load, 'f', 2, 64)
		list = append(list, base("t8c3"+name, 8, 3, load), base("t7c4"+name, 7, 4, load))
	}
	list = append(list, faults()...)
	list = append(list, overloads()...)
	return append(list, reports()...)
}

func faults() []Scenario {
	slow := fault("slow_10x", 0.7, 3*clock.Second)
	slow.ServiceTimeFactor = func(t int, now clock.Milli) float64 {
		if t == 0 && during(now, FaultStart, 2*clock.Second) {
			return 10
		}
		return 1
	}
	noisy := fault("noisy_third", 0.5, 6*clock.Second)
	noisy.ServiceTimeFactor = func(t int, now clock.Milli) float64 {
		if t%3 == 0 && now >= FaultStart {
			return noise(t, now)
		}
		return 1
	}
	fails := fault("fail_fast", 0.7, 3*clock.Second)
	fails.Fails = func(t int, now clock.Milli) bool { return t == 0 && during(now, FaultStart, 2*clock.Second) }
	cold := fault("cold_one", 0.7, 3*clock.Second)
	cold.Restarts = func(t int) bool { return t == 0 }
	all := fault("cold_all", 0.5, 10*clock.Second)
	all.Restarts = func(int) bool { return true }
	return []Scenario{slow, noisy, fails, cold, all}
}

func overloads() []Scenario {
	over := func(now clock.Milli) float64 {
		if during(now, FaultStart, 10*clock.Second) {
			return 1.3
		}
		return 0.5
	}
	plain := fault("overload_1.3x", 0, 10*clock.Second)
	plain.InteractiveLoad, plain.Duration = over, FaultStart+15*clock.Second
	mixed := plain
	mixed.Name = "overload_1.3x_background"
	mixed.BackgroundLoad = steady(0.3)
	back := base("background", 8, 3, 0.6)
	back.BackgroundLoad = steady(0.6)
	transfer := base("transfer", 8, 3, 0.4)
	transfer.TransferLoad = steady(0.6)
	return []Scenario{plain, mixed, base("no_background", 8, 3, 0.6), back, base("no_transfer", 8, 3, 0.4), transfer}
}

func reports() []Scenario {
	var list []Scenario
	for _, stale := range []clock.Milli{50, 1000} {
		s := base("stale_"+strconv.Itoa(int(stale))+"ms", 8, 3, 0.7)
		s.ReportDelay = stale
		list = append(list, s)
	}
	frozen := base("frozen", 8, 3, 0.7)
	frozen.FreezeReports = true
	lying := base("false_reports", 8, 3, 0.7)
	lying.ReportsIdle = func(t int) bool { return t%3 == 0 }
	list = append(list, frozen, lying)
	for _, n := range []int{8, 64, 512} {
		s := base("entries_"+strconv.Itoa(n), 8, 3, 0.85)
		s.Entries = n
		list = append(list, s)
	}
	return list
}

// serviceTime draws the service time of a warm, undisturbed upstream.
func serviceTime(r *rand.Rand, c call.Class) clock.Milli {
	t := float64(MeanServiceTime) * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
	switch c {
	case call.Transfer:
		t *= transferFactor
	case call.Background:
		t *= backgroundFactor
	case call.Interactive:
	}
	return clock.Milli(t)
}

func classFactor(c call.Class) float64 {
	switch c {
	case call.Transfer:
		return transferFactor
	case call.Background:
		return backgroundFactor
	default:
		return 1
	}
}

func centreOf(i, centres int) string {
	return "c" + strconv.Itoa(i%centres)
}
