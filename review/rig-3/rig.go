//go:build review

// Command rig-3 runs the scripts of the third review: daemons as separate processes, and
// stand-ins of the platform, its targets and its clients in this process.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// bounds are those of the small deployments.
var bounds = []string{
	"seed_lag_s=3", "addr_reuse_s=2", "stable_window_ms=3000", "ack_ms=4000", "catch_up_s=4", "drain_ms=2000", "grace_s=6",
	"loss_slack_ms=200", "config_apply_ms=2000", "rollback_slack_ms=250", "max_stretch_ms=5000", "retry_budget_ratio=0.2",
	"budget_window_s=10", "budget_slack=60", "exposure_share=0.1", "exposure_slack=50", "rollback_ms=5000", "cold_overage=1.5",
	"cold_slack=5", "evacuate_ms=5000", "recovery_s=15", "probes_per_s=60",
}

// notRun ends a case that could not run.
type notRun struct{ err error }

func check(err error) {
	if err != nil {
		panic(notRun{err})
	}
}

// rig holds what a case has started.
type rig struct {
	daemon  string
	dir     string
	trouble bool
	store   *store
	// storeAddr is the address of the store in the settings of daemons that start.
	storeAddr string
	bounds    []string
	subnet    string
	machines  []*machine
	ctx       context.Context
	cancel    context.CancelFunc

	mu      sync.Mutex
	started time.Time
	out     *os.File
}

// machine is a sidecar machine: a daemon and the target beside it.
type machine struct {
	rig                              *rig
	name, zone, service, ip, appAddr string
	inbound, outbound, ready         string
	control                          string
	settings                         string
	bootstrap                        bool
	cmd                              *exec.Cmd
	done                             chan struct{}
}

// record writes a line to the record of the case.
func (r *rig) record(event string, fields ...string) {
	var b strings.Builder
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %s=%s", fields[i], strconv.Quote(fields[i+1]))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s%s\n", time.Since(r.started).Seconds(), event, b.String())
}

// startStore serves the store at a new address.
func (r *rig) startStore() *http.Server {
	l, err := net.Listen("tcp", r.subnet+".1:0")
	check(err)
	server := &http.Server{Handler: r.store}
	go func() { _ = server.Serve(l) }()
	r.storeAddr = l.Addr().String()
	return server
}

// addMachine adds a machine without starting its daemon.
func (r *rig) addMachine(zone, service string) *machine {
	ip := fmt.Sprintf("%s.%d", r.subnet, 10+len(r.machines))
	m := &machine{rig: r, name: fmt.Sprintf("sidecar-%s-%d", zone, len(r.machines)+1), zone: zone, service: service, ip: ip, bootstrap: true}
	// All are open at the same time, so that they differ.
	for _, addr := range []*string{&m.appAddr, &m.inbound, &m.outbound, &m.ready, &m.control} {
		l, err := net.Listen("tcp", ip+":0")
		check(err)
		defer func() { _ = l.Close() }()
		*addr = l.Addr().String()
	}
	m.settings = filepath.Join(r.dir, m.name+".json")
	r.machines = append(r.machines, m)
	return m
}

// writeSettings writes the settings file of the machine, as the platform fills it in.
func (m *machine) writeSettings() {
	data, err := json.Marshal(map[string]any{
		"node_name": m.name, "role": "daemon", "machine_class": "sidecar", "serves": []string{"sidecar"}, "ip": m.ip, "zone": m.zone,
		"region": "ro-central", "zones": map[string]string{"cluj": "ro-central", "brasov": "ro-central", "sibiu": "ro-central"},
		"listen_addrs": map[string]string{"inbound": m.inbound, "outbound": m.outbound, "ready": m.ready, "control": m.control},
		"port_range":   []int{7660, 7675}, "seed_nodes": []string{}, "bootstrap": m.bootstrap, "in_tolerance": false,
		"limits":   map[string]any{"cpu_share": 0.32, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "static", "entry_mode": "static", "heartbeat_ms": 1500,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "health", "places", "rollout", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0}, "bounds": m.rig.bounds,
		"app_addr": m.appAddr, "backend": m.service,
		"platform": map[string]any{
			"address": m.rig.storeAddr, "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0,
			"part_mb_s": 20.0, "read_mb_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200, "min_ttl_ms": 1000,
		},
	})
	check(err)
	tmp := m.settings + ".new"
	check(os.WriteFile(tmp, data, 0o600))
	check(os.Rename(tmp, m.settings))
}

// start starts the daemon of the machine.
func (m *machine) start() {
	m.writeSettings()
	m.bootstrap = false
	log, err := os.OpenFile(filepath.Join(m.rig.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	m.cmd = exec.Command(m.rig.daemon, "mesh")
	m.cmd.Env = []string{"CRANBERRYTACK_SETTINGS=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + m.rig.dir}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	// The daemon ends with this process, however that ends.
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(m.cmd.Start())
	m.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(m.cmd, m.done)
	m.rig.record("daemon_starts", "machine", m.name)
}

// kill ends the daemon with SIGKILL.
func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	<-m.done
	m.cmd = nil
	m.rig.record("daemon_killed", "machine", m.name)
}

// awaitReady waits until the daemon says that it is ready.
func (m *machine) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + m.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			m.rig.record("daemon_ready", "machine", m.name)
			return
		}
	}
	check(fmt.Errorf("%s is not ready after %s", m.name, limit))
}

// answer is what a client got.
type answer struct {
	id     string
	status int
	body   string
	err    error
}

// send sends a request to the daemon of a machine on a new connection and waits for the answer.
// The id ends the path, as callers ask for different things.
func (m *machine) send(method, host, path string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64())}
	path += "/" + a.id
	ctx, cancel := context.WithTimeout(m.rig.ctx, deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte("order " + a.id))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.outbound+path, body)
	check(err)
	req.Host = host
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Request-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	m.rig.record("sent", "request", a.id, "to", m.name, "method", method, "path", path)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.body = resp.StatusCode, string(data)
	}
	a.err = err
	if err != nil {
		m.rig.record("answered", "request", a.id, "error", err.Error())
	} else {
		m.rig.record("answered", "request", a.id, "status", strconv.Itoa(a.status), "signature", resp.Header.Get("Response-Signature"), "body", a.body)
	}
	return a
}

// sendMany sends requests for a while, each from a machine in turn, and waits for all answers.
func (r *rig) sendMany(machines []*machine, interval, length time.Duration, method, host, path string, deadline time.Duration) []answer {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var out []answer
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		m := machines[i%len(machines)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := m.send(method, host, path, deadline)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, a)
		}()
		time.Sleep(interval)
	}
	wg.Wait()
	return out
}

// stop ends all processes.
func (r *rig) stop() {
	r.cancel()
	for _, m := range r.machines {
		m.kill()
	}
}

func main() {
	// Pdeathsig is sent at the end of the thread that started the process.
	runtime.LockOSThread()
	os.Exit(run())
}

// run runs the case that the arguments name: rig-3 CASE DAEMON RECORD. With TROUBLE=0 in the
// environment, it leaves the disruption out.
func run() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE DAEMON RECORD")
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "rig-3")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	r := &rig{
		daemon: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), bounds: bounds,
		subnet: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250)), ctx: ctx, cancel: cancel, started: time.Now(), out: out,
	}
	defer func() {
		p := recover()
		r.stop()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs:", dir)
		}
		if p == nil {
			return
		}
		e, ok := p.(notRun)
		if !ok {
			panic(p)
		}
		fmt.Fprintln(os.Stderr, "not run:", e.err)
		r.record("not_run", "error", e.err.Error())
		code = exitNotRun
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		r.stop()
		os.Exit(exitNotRun)
	}()
	r.startStore()
	broken := cases[os.Args[1]](r)
	if broken != "" {
		fmt.Println("broken:", broken)
		r.record("broken", "what", broken)
		return exitBroken
	}
	fmt.Println("held")
	r.record("held")
	return exitHeld
}
