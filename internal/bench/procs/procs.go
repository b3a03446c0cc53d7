// Package procs runs the project's programs as processes on loopback, for
// measurements and for tests that need real processes.
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

// ErrNotReady says that a process did not become ready in time.
var ErrNotReady = errors.New("process not ready")

const (
	// Fleet is the fleet of all daemons.
	Fleet = "procs"

	readyTimeout = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// Process is a program that was started.
type Process struct {
	Cmd    *exec.Cmd
	mu     sync.Mutex
	output bytes.Buffer
	done   chan struct{}
	err    error
}

// Write collects the output of the process.
func (p *Process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(b)
}

// Output returns what the process wrote so far.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// Kill ends the process and waits for it.
func (p *Process) Kill() {
	_ = p.Cmd.Process.Kill()
	_ = p.Wait()
}

// Wait waits for the end of the process. The error is that of its exit code.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

func (p *Process) run() {
	defer close(p.done)
	p.err = p.Cmd.Wait()
}

// Harness is a platform log with the processes around it.
type Harness struct {
	// Token opens the administration API of the daemons.
	AdminToken string
	hash       string
	// Bin holds the programs.
	BinDir string
	// Dir holds the settings files.
	SettingsDir string
	LogURL      string

	processes []*Process
}

// Daemon is a running daemon and its upstream.
type Daemon struct {
	*Process
	EntryAddr    string
	AdminAddr    string
	PeerAddr     string
	UpstreamAddr string
}

// DaemonSpec describes a daemon.
type DaemonSpec struct {
	Service       string
	Slots         int
	ServiceTimeMS float64
	// Extra is appended to the settings file.
	ExtraSettings string
}

// NewHarness starts a platform log. The programs are in bin.
func NewHarness(bin, dir string) (*Harness, error) {
	secret, hash, err := auth.NewSecret()
	if err != nil {
		return nil, err
	}
	s := &Harness{BinDir: bin, SettingsDir: dir, AdminToken: auth.BootstrapID + "." + secret, hash: hash}
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	s.LogURL = "http://" + addr
	if _, err := s.StartProgram("stand-log", "--listen", addr); err != nil {
		return nil, err
	}
	return s, waitFor(func() bool { return dials(addr) })
}

// StartProgram runs a program of the project.
func (s *Harness) StartProgram(name string, args ...string) (*Process, error) {
	p := &Process{Cmd: exec.CommandContext(context.Background(), filepath.Join(s.BinDir, name), args...), done: make(chan struct{})}
	p.Cmd.Stdout, p.Cmd.Stderr = p, p
	if err := p.Cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	go p.run()
	s.processes = append(s.processes, p)
	return p, nil
}

// Close ends all processes.
func (s *Harness) Close() {
	for _, p := range s.processes {
		p.Kill()
	}
}

// StartDaemon starts a daemon with an upstream and waits until it is ready.
func (s *Harness) StartDaemon(spec DaemonSpec) (*Daemon, error) {
	d := &Daemon{}
	for _, a := range []*string{&d.EntryAddr, &d.AdminAddr, &d.PeerAddr, &d.UpstreamAddr} {
		addr, err := FreeAddr()
		if err != nil {
			return nil, err
		}
		*a = addr
	}
	if _, err := s.StartProgram("stand-upstream", "--listen", d.UpstreamAddr, "--slots", fmt.Sprint(spec.Slots),
		"--service-ms", fmt.Sprint(spec.ServiceTimeMS)); err != nil {
		return nil, err
	}
	file := filepath.Join(s.SettingsDir, strings.ReplaceAll(d.PeerAddr, ":", "-")+".toml")
	text := fmt.Sprintf("[node]\nfleet = %q\nservice = %q\ncentre = \"c1\"\nslots = %d\nconnections = %d\n"+
		"[listen]\nentry = %q\npeer = %q\nadmin = %q\nupstream = %q\n[log]\nurl = %q\n[admin]\nbootstrap_hash = %q\n%s\n",
		Fleet, spec.Service, spec.Slots, 2*spec.Slots, d.EntryAddr, d.PeerAddr, d.AdminAddr, d.UpstreamAddr, s.LogURL, s.hash, spec.ExtraSettings)
	const mode = 0o600
	if err := os.WriteFile(file, []byte(text), mode); err != nil {
		return nil, err
	}
	p, err := s.StartProgram("cranberrytack", "daemon", "--config", file)
	if err != nil {
		return nil, err
	}
	d.Process = p
	err = waitFor(func() bool { return dials(d.UpstreamAddr) && get("http://"+d.AdminAddr+"/readyz") })
	return d, errors.Wrap(err, p.Output())
}

// WaitForRoute waits until the daemon's entry answers a call to the service.
func (d *Daemon) WaitForRoute(service string) error {
	return waitFor(func() bool {
		r, err := http.NewRequest(http.MethodGet, "http://"+d.EntryAddr+"/", nil)
		if err != nil {
			return false
		}
		r.Host = service
		return ok(http.DefaultClient.Do(r))
	})
}

func get(url string) bool {
	return ok(http.Get(url))
}

func ok(resp *http.Response, err error) bool {
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func dials(addr string) bool {
	c, err := net.Dial("tcp", addr)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

func waitFor(cond func() bool) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPoll) {
		if cond() {
			return nil
		}
	}
	return ErrNotReady
}
