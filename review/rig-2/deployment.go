//go:build review

package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
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

// Ports of a machine, the same on all.
const (
	portReady    = 8140
	portOutbound = 8141
	portInbound  = 8145
	portControl  = 8146
	portApp      = 8147
	portMetrics  = 9464
)

// settleTimeout is how long a deployment may take until it serves.
const settleTimeout = 30 * time.Second

var zones = []string{"cluj", "brasov", "sibiu"}

// service is the service of all targets.
const service = "desk"

// machine is a machine with a target and the daemon beside it.
type machine struct {
	deployment *deployment
	name       string
	zone       string
	service    string
	ip         string
	target     *target
	// bootstrap is set at the first start of the whole system.
	bootstrap bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	log  *os.File
	done chan error
}

// deployment is a store with machines.
type deployment struct {
	program string
	dir     string
	record  *record
	store   *storeStub
	// network is the first three bytes of all addresses.
	network  string
	machines []*machine
	// work is how long targets that are added work on a request.
	work time.Duration

	mu   sync.Mutex
	runs []runOf
}

func newDeployment(program, dir string, rec *record) (*deployment, error) {
	d := &deployment{program: program, dir: dir, record: rec, work: defaultWork}
	d.network = freeNetwork()
	if d.network == "" {
		return nil, errors.New("no free loopback addresses")
	}
	s, err := newStore(d.network + ".250")
	if err != nil {
		return nil, err
	}
	d.store = s
	return d, nil
}

// freeNetwork returns the first three bytes of a loopback network that nothing listens on.
func freeNetwork() string {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, portMetrics))
		if err != nil {
			continue
		}
		_ = l.Close()
		return network
	}
	return ""
}

// add adds machines with targets of a version and starts their daemons.
func (d *deployment) add(count int, version string, bootstrap bool) ([]*machine, error) {
	added := make([]*machine, 0, count)
	for range count {
		m, err := d.addMachine(version, bootstrap)
		if err != nil {
			return nil, err
		}
		added = append(added, m)
	}
	return added, nil
}

func (d *deployment) addMachine(version string, bootstrap bool) (*machine, error) {
	n := len(d.machines) + 1
	m := &machine{
		deployment: d, name: fmt.Sprintf("sidecar-%d", n), zone: zones[n%len(zones)], service: service,
		ip: fmt.Sprintf("%s.%d", d.network, n), bootstrap: bootstrap,
	}
	t, err := newTarget(m, fmt.Sprintf("i-%04x", 0x7f30+n), version)
	if err != nil {
		return nil, err
	}
	m.target = t
	d.machines = append(d.machines, m)
	return m, m.start()
}

func (d *deployment) close() {
	for _, m := range d.machines {
		m.kill()
		m.target.close()
	}
	d.store.close()
}

func (d *deployment) recordRun(r runOf) {
	d.mu.Lock()
	d.runs = append(d.runs, r)
	d.mu.Unlock()
	d.record.printf("run      %s %s %s at %s of %s", r.id, r.method, r.uri, r.instance, r.version)
}

// runCounts returns how often each request ran.
func (d *deployment) runCounts() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make(map[string]int)
	for _, r := range d.runs {
		counts[r.id]++
	}
	return counts
}

func (m *machine) addr(port int) string {
	return fmt.Sprintf("%s:%d", m.ip, port)
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	path, err := m.writeSettings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.deployment.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.deployment.program, "mesh")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CRANBERRYTACK_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan error, 1)
	m.cmd, m.log, m.done = cmd, log, done
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		done <- err
		close(done)
	}()
	m.deployment.record.printf("start    the daemon of %s", m.name)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends the daemon and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done == nil {
		return
	}
	if err := <-done; err != nil {
		m.deployment.record.printf("end      the daemon of %s: %v", m.name, err)
	}
}

// writeSettings writes the settings file of the daemon with the fields of the platform.
func (m *machine) writeSettings() (string, error) {
	zonesOf := make(map[string]string)
	for _, z := range zones {
		zonesOf[z] = "ro-central"
	}
	settings := map[string]any{
		"node_name": m.name, "role": "daemon", "machine_class": "sidecar", "serves": []string{"sidecar"},
		"ip": m.ip, "zone": m.zone, "region": "ro-central", "zones": zonesOf,
		"listen_addrs": map[string]string{
			"inbound": m.addr(portInbound), "outbound": m.addr(portOutbound), "ready": m.addr(portReady), "control": m.addr(portControl),
		},
		"port_range": []int{7660, 7675}, "seed_nodes": []string{}, "bootstrap": m.bootstrap, "in_tolerance": false,
		"limits":    map[string]any{"cpu_share": 0.32, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "static", "entry_mode": "static", "heartbeat_ms": heartbeatInterval.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "health", "places", "rollout", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": []string{
			"seed_lag_s=3", "addr_reuse_s=2", "stable_window_ms=3000", "ack_ms=4000", "catch_up_s=4", "drain_ms=2000", "grace_s=6",
			"loss_slack_ms=200", "config_apply_ms=2000", "rollback_slack_ms=250", "max_stretch_ms=5000", "retry_budget_ratio=0.2",
			"budget_window_s=10", "budget_slack=60", "exposure_share=0.1", "exposure_slack=50", "rollback_ms=5000", "cold_overage=1.5",
			"cold_slack=5", "evacuate_ms=5000", "recovery_s=15", "probes_per_s=60",
		},
		"app_addr": m.addr(portApp), "backend": m.service,
		"platform": map[string]any{
			"address": m.deployment.store.addr(), "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0,
			"part_mb_s": 20.0, "read_mb_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200, "min_ttl_ms": 1000,
		},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(m.deployment.dir, m.name+".json")
	return path, os.WriteFile(path, data, 0o600)
}

// isReady asks the daemon whether it is ready.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.addr(portReady) + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	return poll(ctx, settleTimeout, "the daemons are ready", func() bool {
		for _, m := range d.machines {
			if !m.isReady() {
				return false
			}
		}
		return true
	})
}

// poll waits until a condition holds.
func poll(ctx context.Context, limit time.Duration, what string, f func() bool) error {
	end := time.Now().Add(limit)
	for !f() {
		if time.Now().After(end) || ctx.Err() != nil {
			return errors.New("waited in vain: " + what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// route is a route of a configuration.
type route struct {
	name, kind, prefix string
	// timeoutMs is timeout_ms, 2,000 if it is zero.
	timeoutMs int
}

// hostname is the host of all routes.
const hostname = "ficu95.example"

// putConfig writes a configuration to the store, as the operator does.
func (d *deployment) putConfig(version int, routes ...route) {
	rules := make([]any, 0, len(routes))
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": r.name, "route_type": r.kind, "aim_ms": 800, "priority": 1, "match": map[string]string{"path_prefix": r.prefix},
			"action": map[string]any{"backend": service, "timeout_ms": cmp.Or(r.timeoutMs, 2000), "retry_attempts": 2},
		})
	}
	cluster := map[string]any{
		"name": service, "health_path": healthPath, "max_connections": 240, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 5.7,
	}
	value, err := json.Marshal(map[string]any{
		"version":   version,
		"limits":    map[string]int{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []any{map[string]any{"hostname": hostname, "route_rules": rules}},
		"clusters":  []any{cluster},
	})
	if err != nil {
		panic(err)
	}
	d.putDirective("config", value)
}

// putDirective writes a directive to the store, as the operator does.
func (d *deployment) putDirective(key string, value []byte) {
	d.record.printf("operator writes %s %s", key, value)
	d.store.put(operatorTopic, item{key: key, value: value})
}
