//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	healthPath  = "/healthz"
	serviceName = "huvo11a"
	hostName    = "ficu95.example"
	// prefixBooking and prefixLookup are the prefixes of the two routes.
	prefixBooking = "/pufi791/"
	prefixLookup  = "/lohu930/"
)

// bounds are those of the sheet of a small deployment.
var bounds = []string{
	"seed_lag_s=3", "addr_reuse_s=2", "stable_window_ms=3000", "ack_ms=4000", "catch_up_s=4", "drain_ms=2000", "grace_s=6", "loss_slack_ms=200",
	"config_apply_ms=2000", "rollback_slack_ms=250", "max_stretch_ms=5000", "retry_budget_ratio=0.2", "budget_window_s=10", "budget_slack=60",
	"exposure_share=0.1", "exposure_slack=50", "rollback_ms=5000", "cold_overage=1.5", "cold_slack=5", "evacuate_ms=5000", "recovery_s=15", "probes_per_s=60",
}

var zones = []string{"cluj", "brasov", "sibiu"}

// Machine is a VM with one daemon and one target.
type Machine struct {
	Name, IP, Zone string
	Target         *Target
	settings       string
	dir            string
	bootstrap      bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Fleet is a whole deployment on loopback addresses.
type Fleet struct {
	rec      *Recorder
	dir      string
	program  string
	net      string
	Store    *Store
	Machines []*Machine
}

// NewFleet starts the store and prepares n machines with targets of version v1.
func NewFleet(rec *Recorder, program string, n int) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{rec: rec, dir: dir, program: program, net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))}
	if f.Store, err = NewStore(f.net+".250:8142", rec); err != nil {
		return nil, err
	}
	f.AddMachines(n, "v1", true)
	return f, nil
}

// AddMachines prepares n machines with targets of a version. Bootstrap is set for those of
// the first start of the system.
func (f *Fleet) AddMachines(n int, version string, bootstrap bool) []*Machine {
	first := len(f.Machines)
	for i := first; i < first+n; i++ {
		zone := zones[i%len(zones)]
		m := &Machine{Name: fmt.Sprintf("sidecar-%s-%d", zone, 1+i/len(zones)), IP: fmt.Sprintf("%s.%d", f.net, 10+i), Zone: zone, dir: f.dir, bootstrap: bootstrap}
		m.Target = &Target{
			ID: fmt.Sprintf("i-%08x", rand.Uint32()), Born: time.Now().UnixMilli(), Addr: m.IP + ":8147", Control: m.IP + ":8146",
			Service: serviceName, Zone: zone, Version: version, Capacity: 6, Queue: 12, WorkTime: 150 * time.Millisecond,
		}
		f.Machines = append(f.Machines, m)
	}
	return f.Machines[first:]
}

// StartMachine starts the target and the daemon of a machine.
func (f *Fleet) StartMachine(m *Machine) error {
	if err := m.Target.Start(f.rec); err != nil {
		return err
	}
	return f.StartDaemon(m)
}

// Start writes the first configuration and starts all targets and daemons.
func (f *Fleet) Start() error {
	for _, m := range f.Machines {
		if err := f.StartMachine(m); err != nil {
			return err
		}
	}
	f.Store.Put("config", f.Config(7))
	return nil
}

// Config returns a configuration with two routes to the service.
func (f *Fleet) Config(version int) map[string]any {
	rule := func(name, kind, prefix string, aim, timeout, priority int) map[string]any {
		return map[string]any{
			"name": name, "route_type": kind, "aim_ms": aim, "priority": priority, "match": map[string]any{"path_prefix": prefix},
			"action": map[string]any{"backend": serviceName, "timeout_ms": timeout, "retry_attempts": 2},
		}
	}
	return map[string]any{
		"version": version,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"hostname": hostName, "route_rules": []any{
			rule("r-i9n73hh", "non_idempotent", prefixBooking, 800, 2000, 1),
			rule("r-x73d3zj", "idempotent", prefixLookup, 600, 1500, 2),
		}}},
		"clusters": []any{map[string]any{
			"name": serviceName, "health_path": healthPath, "max_connections": 240, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 5.7,
		}},
	}
}

// Outbound returns the address for clients on the machine.
func (m *Machine) Outbound() string { return m.IP + ":8141" }

// StartDaemon starts the daemon of a machine.
func (f *Fleet) StartDaemon(m *Machine) error {
	zoneMap := map[string]string{}
	for _, z := range zones {
		zoneMap[z] = "ro-central"
	}
	b, err := json.MarshalIndent(map[string]any{
		"node_name": m.Name, "role": "daemon", "machine_class": "sidecar", "serves": []string{"sidecar"}, "ip": m.IP, "zone": m.Zone,
		"region": "ro-central", "zones": zoneMap,
		"listen_addrs": map[string]any{"inbound": m.IP + ":8145", "outbound": m.Outbound(), "ready": m.IP + ":8140", "control": m.IP + ":8146"},
		"port_range":   []int{7660, 7675}, "seed_nodes": []string{}, "bootstrap": m.bootstrap, "in_tolerance": false,
		"limits":   map[string]any{"cpu_share": 0.32, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "static", "entry_mode": "static", "heartbeat_ms": 1500,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "health", "places", "rollout", "platform"},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"bounds":          bounds, "app_addr": m.IP + ":8147", "backend": serviceName,
		"platform": map[string]any{
			"address": f.net + ".250:8142", "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0,
			"part_mb_s": 20.0, "read_mb_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200, "min_ttl_ms": 1000,
		},
	}, "", " ")
	if err != nil {
		return err
	}
	m.settings = filepath.Join(f.dir, m.Name+".json")
	if err := os.WriteFile(m.settings, b, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(f.program, "mesh")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "CRANBERRYTACK_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = out, out
	// The daemon must not outlive this program.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done, m.bootstrap = cmd, done, false
	m.mu.Unlock()
	f.rec.Logf("daemon %s started", m.Name)
	go func() {
		err := cmd.Wait()
		f.rec.Logf("daemon %s ended: %v", m.Name, err)
		close(done)
	}()
	return nil
}

// Signal sends a signal to the daemon.
func (m *Machine) Signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(sig)
	}
}

// Wait waits for the end of the daemon.
func (m *Machine) Wait() {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// AwaitReady waits until all daemons are ready.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range f.Machines {
		for !f.isReady(m) {
			if time.Now().After(end) {
				return fmt.Errorf("daemon %s is not ready", m.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *Fleet) isReady(m *Machine) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	resp, err := c.Get("http://" + m.IP + ":8140/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close ends all that the fleet started.
func (f *Fleet) Close() {
	for _, m := range f.Machines {
		m.Signal(syscall.SIGCONT)
		m.Signal(syscall.SIGKILL)
		m.Wait()
		m.Target.Stop()
	}
	f.Store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}
