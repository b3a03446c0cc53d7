// Package deploy runs deployments of real processes on loopback for the demo
// and the soak run.
package deploy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/admin/auth"
)

const fleetName = "reset_crew"

// Options say where the programs are.
type Options struct {
	// BinDir is the directory of the programs.
	BinDir string
	// LogDir is a directory for the logs of all processes; empty for none.
	LogDir string
}

// Node is an upstream with its daemon.
type Node struct {
	Name, Service, Version, Centre               string
	EntryAddr, PeerAddr, AdminAddr, UpstreamAddr string
	UpstreamCmd, DaemonCmd                       *exec.Cmd
}

// Deployment holds all processes of a deployment.
type Deployment struct {
	opts       Options
	dir        string
	LogAddr    string
	AdminToken string
	hash       string
	Nodes      []*Node
	procs      []*exec.Cmd
}

// New starts the simulated platform log in an empty world.
func New(o Options) (*Deployment, error) {
	dir := o.LogDir
	if dir == "" {
		d, err := os.MkdirTemp("", "cranberrytack-demo-")
		if err != nil {
			return nil, errors.Wrap(err, "working directory")
		}
		dir = d
	}
	secret, hash, err := auth.NewSecret()
	if err != nil {
		return nil, err
	}
	w := &Deployment{opts: o, dir: dir, AdminToken: auth.BootstrapID + "." + secret, hash: hash}
	if err := os.WriteFile(w.path("token"), []byte(w.AdminToken), 0o600); err != nil {
		return nil, errors.Wrap(err, "write token")
	}
	w.LogAddr = freeAddr()
	_, err = w.start("stand-log", "log", "--listen", w.LogAddr)
	return w, err
}

func (w *Deployment) path(name string) string {
	return filepath.Join(w.dir, name)
}

// start runs a program of the project with its output in a file.
func (w *Deployment) start(program, name string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(w.path(name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "log file")
	}
	cmd := exec.Command(filepath.Join(w.opts.BinDir, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start "+program)
	}
	w.procs = append(w.procs, cmd)
	return cmd, nil
}

// AddNode starts an upstream and its daemon.
func (w *Deployment) AddNode(service, version, centre string) (*Node, error) {
	n := &Node{
		Name:    fmt.Sprintf("%s-%s-%d", service, version, len(w.Nodes)),
		Service: service, Version: version, Centre: centre,
		EntryAddr: freeAddr(), PeerAddr: freeAddr(), AdminAddr: freeAddr(), UpstreamAddr: freeAddr(),
	}
	settings := fmt.Sprintf(`[node]
fleet = %q
service = %q
version = %q
centre = %q
region = "ro"
slots = 6
connections = 240
[listen]
entry = %q
peer = %q
admin = %q
upstream = %q
[log]
url = "http://%s"
[admin]
bootstrap_hash = %q
[moves]
ramp_ms = 3000
[stop]
notice_ms = 200
`, fleetName, service, version, centre, n.EntryAddr, n.PeerAddr, n.AdminAddr, n.UpstreamAddr, w.LogAddr, w.hash)
	if err := os.WriteFile(w.path(n.Name+".toml"), []byte(settings), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	var err error
	if n.UpstreamCmd, err = w.start("stand-upstream", n.Name+"-upstream", "--listen", n.UpstreamAddr, "--version", version); err != nil {
		return nil, err
	}
	w.Nodes = append(w.Nodes, n)
	return n, w.StartDaemon(n)
}

// StartDaemon starts the daemon of a node, for the first time or again.
func (w *Deployment) StartDaemon(n *Node) error {
	var err error
	n.DaemonCmd, err = w.start("cranberrytack", n.Name+"-daemon", "daemon", "-c", w.path(n.Name+".toml"))
	return err
}

// RunCommand runs a subcommand against a daemon and returns its output.
func (w *Deployment) RunCommand(ctx context.Context, at *Node, args ...string) (string, error) {
	args = append(args, "--api", "http://"+at.AdminAddr, "--token-file", w.path("token"))
	cmd := exec.CommandContext(ctx, filepath.Join(w.opts.BinDir, "cranberrytack"), args...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrapf(err, "cranberrytack %s: %s", strings.Join(args[:1], " "), out)
}

// Publish writes a document to a file and publishes it.
func (w *Deployment) Publish(ctx context.Context, at *Node, name, text string) error {
	if err := os.WriteFile(w.path(name), []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write document")
	}
	_, err := w.RunCommand(ctx, at, "publish", w.path(name))
	return err
}

// WaitReady waits until every daemon is ready.
func (w *Deployment) WaitReady(ctx context.Context) error {
	for _, n := range w.Nodes {
		for !ready(ctx, n) {
			if ctx.Err() != nil {
				return errors.Errorf("daemon %s is not ready", n.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func ready(ctx context.Context, n *Node) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.AdminAddr+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// StopDaemons stops all daemons gracefully and returns what went wrong.
func (w *Deployment) StopDaemons() []string {
	for _, n := range w.Nodes {
		_ = n.DaemonCmd.Process.Signal(syscall.SIGTERM)
	}
	var failed []string
	for _, n := range w.Nodes {
		if err := n.DaemonCmd.Wait(); err != nil {
			failed = append(failed, n.Name+": "+err.Error())
		}
	}
	return failed
}

// Close ends all processes.
func (w *Deployment) Close() {
	for _, p := range w.procs {
		if p.ProcessState == nil {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	}
	if w.opts.LogDir == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// freeAddr returns a loopback address whose port was free a moment ago.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
