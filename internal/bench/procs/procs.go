// Package procs runs the project's programs as processes on loopback for
// measurements and end-to-end tests.
package procs

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/auth"
)

// ErrNotReady is returned if a condition on a process does not hold within 15 s.
var ErrNotReady = errors.New("process not ready")

const (
	// Fleet is the fleet name of all daemons.
	Fleet = "procs"

	readyTimeout      = 15 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// Process is a started program. Its methods are safe for concurrent use.
type Process struct {
	Cmd    *exec.Cmd
	mu     sync.Mutex
	output bytes.Buffer
	done   chan struct{}
	err    error
}

// Write appends to the collected output. It is called by Cmd.
func (p *Process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(b)
}

// Output returns the standard output and standard error collected so far.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// Kill kills the process and waits for its exit.
func (p *Process) Kill() {
	_ = p.Cmd.Process.Kill()
	_ = p.Wait()
}

// Wait waits until the process exits. It returns an error if the exit code is not
// zero or the process was killed by a signal. It may be called more than once.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

func (p *Process) awaitExit() {
	defer close(p.done)
	p.err = p.Cmd.Wait()
}

// Harness is a fake log service and the processes that use it.
type Harness struct {
	// AdminToken is the bootstrap token of the daemons' administration APIs.
	AdminToken string
	tokenHash  string
	// BinDir is the directory of the programs.
	BinDir string
	// SettingsDir is the directory of the daemons' settings files.
	SettingsDir string
	LogURL      string

	processes []*Process
}

// Daemon is a daemon's process and the addresses of the daemon and its upstream.
type Daemon struct {
	*Process
	EntryAddr    string
	AdminAddr    string
	PeerAddr     string
	UpstreamAddr string
}

// DaemonSpec describes a daemon and its upstream.
type DaemonSpec struct {
	Service       string
	Slots         int
	ServiceTimeMS float64
	// ExtraSettings is TOML text that is appended to the settings file.
	ExtraSettings string
}

// NewHarness starts a fake log service and waits until it accepts connections.
func NewHarness(binDir, settingsDir string) (*Harness, error) {
	secret, hash, err := auth.NewSecret()
	if err != nil {
		return nil, err
	}
	h := &Harness{BinDir: binDir, SettingsDir: settingsDir, AdminToken: auth.BootstrapID + "." + secret, tokenHash: hash}
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	h.LogURL = "http://" + addr
	if _, err := h.StartProgram("stand-log", "--listen", addr); err != nil {
		return nil, err
	}
	return h, waitFor(func() bool { return canDial(addr) })
}

// StartProgram starts a program in BinDir. It is killed by Close.
func (h *Harness) StartProgram(name string, args ...string) (*Process, error) {
	p := &Process{Cmd: exec.CommandContext(context.Background(), filepath.Join(h.BinDir, name), args...), done: make(chan struct{})}
	p.Cmd.Stdout, p.Cmd.Stderr = p, p
	if err := p.Cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	go p.awaitExit()
	h.processes = append(h.processes, p)
	return p, nil
}

// Close kills all processes.
func (h *Harness) Close() {
	for _, p := range h.processes {
		p.Kill()
	}
}

// StartDaemon starts an upstream and its daemon and waits until both accept
// requests. Their data centre is c1.
func (h *Harness) StartDaemon(spec DaemonSpec) (*Daemon, error) {
	d := &Daemon{}
	for _, a := range []*string{&d.EntryAddr, &d.AdminAddr, &d.PeerAddr, &d.UpstreamAddr} {
		addr, err := FreeAddr()
		if err != nil {
			return nil, err
		}
		*a = addr
	}
	if _, err := h.StartProgram("stand-upstream", "--listen", d.UpstreamAddr, "--slots", fmt.Sprint(spec.Slots),
		"--service-ms", fmt.Sprint(spec.ServiceTimeMS)); err != nil {
		return nil, err
	}
	file := filepath.Join(h.SettingsDir, strings.ReplaceAll(d.PeerAddr, ":", "-")+".toml")
	text := fmt.Sprintf("[node]\nfleet = %q\nservice = %q\ncentre = \"c1\"\nslots = %d\nconnections = %d\n"+
		"[listen]\nentry = %q\npeer = %q\nadmin = %q\nupstream = %q\n[log]\nurl = %q\n[admin]\nbootstrap_hash = %q\n%s\n",
		Fleet, spec.Service, spec.Slots, 2*spec.Slots, d.EntryAddr, d.PeerAddr, d.AdminAddr, d.UpstreamAddr, h.LogURL, h.tokenHash, spec.ExtraSettings)
	const mode = 0o600
	if err := os.WriteFile(file, []byte(text), mode); err != nil {
		return nil, err
	}
	p, err := h.StartProgram("cranberrytack", "daemon", "--config", file)
	if err != nil {
		return nil, err
	}
	d.Process = p
	err = waitFor(func() bool { return canDial(d.UpstreamAddr) && returnsOK("http://"+d.AdminAddr+"/readyz") })
	return d, errors.Wrap(err, p.Output())
}

// WaitForRoute waits until a GET request for the service through the daemon's entry
// returns 200.
func (d *Daemon) WaitForRoute(service string) error {
	return waitFor(func() bool {
		r, err := http.NewRequest(http.MethodGet, "http://"+d.EntryAddr+"/", nil)
		if err != nil {
			return false
		}
		r.Host = service
		return isOK(http.DefaultClient.Do(r))
	})
}

func returnsOK(url string) bool {
	return isOK(http.Get(url))
}

func isOK(resp *http.Response, err error) bool {
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func canDial(addr string) bool {
	c, err := net.Dial("tcp", addr)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

func waitFor(cond func() bool) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		if cond() {
			return nil
		}
	}
	return ErrNotReady
}
