// Command measure-path measures the latency that entry and guard add to a
// call, against direct calls to the same simulated upstream in the same run.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/bench/procs"
)

const (
	service = "measured"
	// maxAddedP99Ms is the design goal for the latency that entry and guard add
	// at the 99th percentile.
	maxAddedP99Ms = 0.56
	// upstreamSlots is so large that admission does not limit the calls.
	upstreamSlots = 400
	// ticksPerSecond is the number of clock ticks per second in /proc/PID/stat.
	ticksPerSecond = 100
)

type options struct {
	Bin      string        `long:"bin" default:"bin" description:"directory of the built programs"`
	Rates    []float64     `long:"rate" default:"150" default:"1500" description:"calls per second"`
	Duration time.Duration `long:"span" default:"3s" description:"time per rate and repetition"`
	Repeat   int           `long:"repeat" default:"5" description:"repetitions"`
	Strict   bool          `long:"strict" description:"exit 1 when the goal is missed"`
}

// sample is the result of one repetition at one rate. The latencies are those of
// calls through entry and guard minus those of direct calls.
type sample struct {
	addedP50Ms, addedP99Ms, p99Ratio, cpuMsPerCall, allocsPerCall float64
	failedCalls                                                   int
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	pass, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure-path:", err)
		os.Exit(1)
	}
	if o.Strict && !pass {
		os.Exit(1)
	}
}

func run(o options) (bool, error) {
	dir, err := os.MkdirTemp("", "measure-path")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	harness, err := procs.NewHarness(o.Bin, dir)
	if err != nil {
		return false, err
	}
	defer harness.Close()
	entry, err := harness.StartDaemon(procs.DaemonSpec{Service: "caller", Slots: upstreamSlots})
	if err != nil {
		return false, err
	}
	guard, err := harness.StartDaemon(procs.DaemonSpec{Service: service, Slots: upstreamSlots})
	if err != nil {
		return false, err
	}
	if err := entry.WaitForRoute(service); err != nil {
		return false, errors.Wrap(err, service)
	}
	m := &measurement{options: o, token: harness.AdminToken, entry: entry, guard: guard}
	m.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: upstreamSlots, DisableCompression: true}}
	pass := true
	for _, rate := range o.Rates {
		m.rate = rate
		ok, err := m.measureRate()
		if err != nil {
			return false, err
		}
		pass = pass && ok
	}
	return pass, nil
}

type measurement struct {
	options options
	token   string
	entry   *procs.Daemon
	guard   *procs.Daemon
	client  *http.Client
	rate    float64
}

// measureRate measures the current rate after one warm-up run. It prints the
// median and the worst repetition, ordered by the added 99th percentile, and
// reports whether the median meets the goal.
func (m *measurement) measureRate() (bool, error) {
	samples := make([]sample, 0, m.options.Repeat)
	m.newLoadGenerator("http://" + m.entry.EntryAddr + "/").run()
	for range m.options.Repeat {
		s, err := m.measureOnce()
		if err != nil {
			return false, err
		}
		samples = append(samples, s)
	}
	slices.SortFunc(samples, func(a, b sample) int { return int((a.addedP99Ms - b.addedP99Ms) * 1e6) })
	median, worst := samples[len(samples)/2], samples[len(samples)-1]
	pass := median.addedP99Ms <= maxAddedP99Ms
	for name, s := range map[string]sample{"median": median, "worst": worst} {
		fmt.Printf("rate=%.0f case=%s added_p50_ms=%.3f added_p99_ms=%.3f ratio=%.2f cpu_ms_per_call=%.4f allocs_per_call=%.0f failed=%d\n",
			m.rate, name, s.addedP50Ms, s.addedP99Ms, s.p99Ratio, s.cpuMsPerCall, s.allocsPerCall, s.failedCalls)
	}
	fmt.Printf("rate=%.0f goal_ms=%.2f pass=%t\n", m.rate, maxAddedP99Ms, pass)
	return pass, nil
}

func (m *measurement) newLoadGenerator(url string) *loadGenerator {
	return &loadGenerator{client: m.client, url: url, host: service, rate: m.rate, duration: m.options.Duration}
}

// measureOnce measures direct calls and then calls through entry and guard.
func (m *measurement) measureOnce() (sample, error) {
	direct := m.newLoadGenerator("http://" + m.guard.UpstreamAddr + "/").run()
	cpu, allocs, err := m.resourceUsage()
	if err != nil {
		return sample{}, err
	}
	l := m.newLoadGenerator("http://" + m.entry.EntryAddr + "/")
	viaEntry := l.run()
	cpuAfter, allocsAfter, err := m.resourceUsage()
	if err != nil {
		return sample{}, err
	}
	n := float64(l.started)
	return sample{
		addedP50Ms:    quantile(viaEntry, 0.5) - quantile(direct, 0.5),
		addedP99Ms:    quantile(viaEntry, 0.99) - quantile(direct, 0.99),
		p99Ratio:      quantile(viaEntry, 0.99) / quantile(direct, 0.99),
		cpuMsPerCall:  (cpuAfter - cpu) / n,
		allocsPerCall: (allocsAfter - allocs) / n,
		failedCalls:   l.failed,
	}, nil
}

// resourceUsage returns the total CPU time in ms and the total number of
// allocations of both daemons since their start.
func (m *measurement) resourceUsage() (cpu, allocs float64, err error) {
	for _, d := range []*procs.Daemon{m.entry, m.guard} {
		c, err := processCPUMs(d.Cmd.Process.Pid)
		if err != nil {
			return 0, 0, err
		}
		a, err := m.allocationCount(d)
		if err != nil {
			return 0, 0, err
		}
		cpu += c
		allocs += a
	}
	return cpu, allocs, nil
}

func processCPUMs(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// user and system are indexes of the fields after the command name. The name
	// may contain spaces, so the fields are counted from its closing parenthesis.
	const user, system = 11, 12
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	if len(f) <= system {
		return 0, errors.Errorf("%d fields after the command name in /proc/%d/stat", len(f), pid)
	}
	sum := 0.0
	for _, i := range []int{user, system} {
		v, err := strconv.ParseFloat(f[i], 64)
		if err != nil {
			return 0, err
		}
		sum += v
	}
	return sum / ticksPerSecond * 1000, nil
}

func (m *measurement) allocationCount(d *procs.Daemon) (float64, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+d.AdminAddr+"/debug/vars", http.NoBody)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+m.token)
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var v struct {
		Memory struct{ Mallocs float64 } `json:"memstats"`
	}
	err = json.NewDecoder(resp.Body).Decode(&v)
	return v.Memory.Mallocs, errors.Wrap(err, d.AdminAddr)
}
