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
	// goalMs is the added latency at the 99th percentile of the design page.
	goalMs = 0.56
	// slots is large, so that admission does not limit the calls.
	slots = 400
	// ticksPerSecond is the unit of CPU times in /proc.
	ticksPerSecond = 100
)

type options struct {
	Bin    string        `long:"bin" default:"bin" description:"directory of the built programs"`
	Rates  []float64     `long:"rate" default:"150" default:"1500" description:"calls per second"`
	Span   time.Duration `long:"span" default:"3s" description:"time per rate and repetition"`
	Repeat int           `long:"repeat" default:"5" description:"repetitions"`
	Strict bool          `long:"strict" description:"exit 1 when the goal is missed"`
}

// sample is one repetition at one rate.
type sample struct {
	p50, p99, ratio, cpuMs, allocs float64
	failed                         int
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
	set, err := procs.NewHarness(o.Bin, dir)
	if err != nil {
		return false, err
	}
	defer set.Close()
	entry, err := set.StartDaemon(procs.DaemonSpec{Service: "caller", Slots: slots})
	if err != nil {
		return false, err
	}
	guard, err := set.StartDaemon(procs.DaemonSpec{Service: service, Slots: slots})
	if err != nil {
		return false, err
	}
	if err := entry.WaitForRoute(service); err != nil {
		return false, errors.Wrap(err, service)
	}
	m := &measurement{options: o, token: set.AdminToken, entry: entry, guard: guard}
	m.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots, DisableCompression: true}}
	pass := true
	for _, rate := range o.Rates {
		m.rate = rate
		ok, err := m.repeat()
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

// repeat measures one rate and prints the median beside the worst.
func (m *measurement) repeat() (bool, error) {
	samples := make([]sample, 0, m.options.Repeat)
	m.load("http://" + m.entry.EntryAddr + "/").run()
	for range m.options.Repeat {
		s, err := m.once()
		if err != nil {
			return false, err
		}
		samples = append(samples, s)
	}
	slices.SortFunc(samples, func(a, b sample) int { return int((a.p99 - b.p99) * 1e6) })
	mid, worst := samples[len(samples)/2], samples[len(samples)-1]
	pass := mid.p99 <= goalMs
	for name, s := range map[string]sample{"median": mid, "worst": worst} {
		fmt.Printf("rate=%.0f case=%s added_p50_ms=%.3f added_p99_ms=%.3f ratio=%.2f cpu_ms_per_call=%.4f allocs_per_call=%.0f failed=%d\n",
			m.rate, name, s.p50, s.p99, s.ratio, s.cpuMs, s.allocs, s.failed)
	}
	fmt.Printf("rate=%.0f goal_ms=%.2f pass=%t\n", m.rate, goalMs, pass)
	return pass, nil
}

func (m *measurement) load(url string) *load {
	return &load{client: m.client, url: url, host: service, rate: m.rate, span: m.options.Span}
}

func (m *measurement) once() (sample, error) {
	direct := m.load("http://" + m.guard.UpstreamAddr + "/").run()
	cpu, allocs, err := m.cost()
	if err != nil {
		return sample{}, err
	}
	l := m.load("http://" + m.entry.EntryAddr + "/")
	path := l.run()
	cpuAfter, allocsAfter, err := m.cost()
	if err != nil {
		return sample{}, err
	}
	n := float64(l.started)
	return sample{
		p50:    quantile(path, 0.5) - quantile(direct, 0.5),
		p99:    quantile(path, 0.99) - quantile(direct, 0.99),
		ratio:  quantile(path, 0.99) / quantile(direct, 0.99),
		cpuMs:  (cpuAfter - cpu) / n,
		allocs: (allocsAfter - allocs) / n,
		failed: l.failed,
	}, nil
}

// cost returns CPU time in ms and allocations of both daemons so far.
func (m *measurement) cost() (cpu, allocs float64, err error) {
	for _, d := range []*procs.Daemon{m.entry, m.guard} {
		c, err := cpuTime(d.Cmd.Process.Pid)
		if err != nil {
			return 0, 0, err
		}
		a, err := m.mallocs(d)
		if err != nil {
			return 0, 0, err
		}
		cpu += c
		allocs += a
	}
	return cpu, allocs, nil
}

func cpuTime(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The fields after the command name, which may contain spaces.
	const user, system = 11, 12
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	if len(f) <= system {
		return 0, errors.Errorf("%d fields in the stat file of %d", len(f), pid)
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

func (m *measurement) mallocs(d *procs.Daemon) (float64, error) {
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
