// Package deploy runs daemons, upstreams and a log service as processes on
// loopback and generates load for them. The demo and the soak test use it.
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

// Options holds the directories of a deployment.
type Options struct {
	// BinDir is the directory of the project's binaries.
	BinDir string
	// LogDir is the directory for the processes' logs and settings files. If it
	// is empty, a temporary directory is used and removed by Close.
	LogDir string
}

// Node is an upstream and its daemon.
type Node struct {
	Name, Service, Version, Centre               string
	EntryAddr, PeerAddr, AdminAddr, UpstreamAddr string
	UpstreamCmd, DaemonCmd                       *exec.Cmd
}

// Deployment is a log service with nodes, all run as processes. It is not safe for
// concurrent use.
type Deployment struct {
	opts       Options
	dir        string
	LogAddr    string
	AdminToken string
	tokenHash  string
	Nodes      []*Node
	procs      []*exec.Cmd
}

// New starts a deployment that consists of the fake log service only.
func New(opts Options) (*Deployment, error) {
	dir := opts.LogDir
	if dir == "" {
		d, err := os.MkdirTemp("", "cranberrytack-demo-")
		if err != nil {
			return nil, errors.Wrap(err, "create working directory")
		}
		dir = d
	}
	secret, hash, err := auth.NewSecret()
	if err != nil {
		return nil, err
	}
	deployment := &Deployment{opts: opts, dir: dir, AdminToken: auth.BootstrapID + "." + secret, tokenHash: hash}
	if err := os.WriteFile(deployment.path("token"), []byte(deployment.AdminToken), 0o600); err != nil {
		return nil, errors.Wrap(err, "write token")
	}
	deployment.LogAddr = freeAddr()
	_, err = deployment.startProcess("stand-log", "log", "--listen", deployment.LogAddr)
	return deployment, err
}

func (d *Deployment) path(name string) string {
	return filepath.Join(d.dir, name)
}

// startProcess starts a binary of the project, with its output appended to a log
// file named after the process.
func (d *Deployment) startProcess(program, name string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(d.path(name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log file")
	}
	cmd := exec.Command(filepath.Join(d.opts.BinDir, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start "+program)
	}
	d.procs = append(d.procs, cmd)
	return cmd, nil
}

// AddNode starts an upstream and its daemon. It does not wait until the daemon is
// ready.
func (d *Deployment) AddNode(service, version, centre string) (*Node, error) {
	n := &Node{
		Name:    fmt.Sprintf("%s-%s-%d", service, version, len(d.Nodes)),
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
`, fleetName, service, version, centre, n.EntryAddr, n.PeerAddr, n.AdminAddr, n.UpstreamAddr, d.LogAddr, d.tokenHash)
	if err := os.WriteFile(d.path(n.Name+".toml"), []byte(settings), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	var err error
	if n.UpstreamCmd, err = d.startProcess("stand-upstream", n.Name+"-upstream", "--listen", n.UpstreamAddr, "--version", version); err != nil {
		return nil, err
	}
	d.Nodes = append(d.Nodes, n)
	return n, d.StartDaemon(n)
}

// StartDaemon starts or restarts the daemon of a node.
func (d *Deployment) StartDaemon(n *Node) error {
	var err error
	n.DaemonCmd, err = d.startProcess("cranberrytack", n.Name+"-daemon", "daemon", "-c", d.path(n.Name+".toml"))
	return err
}

// RunCommand runs a subcommand of cranberrytack against a node's administration
// API and returns its standard output and standard error.
func (d *Deployment) RunCommand(ctx context.Context, node *Node, args ...string) (string, error) {
	args = append(args, "--api", "http://"+node.AdminAddr, "--token-file", d.path("token"))
	cmd := exec.CommandContext(ctx, filepath.Join(d.opts.BinDir, "cranberrytack"), args...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrapf(err, "cranberrytack %s: %s", strings.Join(args[:1], " "), out)
}

// Publish writes a configuration document to the file name and publishes it
// through a node's administration API.
func (d *Deployment) Publish(ctx context.Context, node *Node, name, text string) error {
	if err := os.WriteFile(d.path(name), []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write document")
	}
	_, err := d.RunCommand(ctx, node, "publish", d.path(name))
	return err
}

// WaitReady waits until every daemon is ready. It returns an error if ctx is done
// first.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for _, n := range d.Nodes {
		for !isReady(ctx, n) {
			if ctx.Err() != nil {
				return errors.Errorf("daemon %s is not ready", n.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func isReady(ctx context.Context, n *Node) bool {
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

// StopDaemons sends SIGTERM to all daemons, waits for them and returns a message
// for each that exited with an error.
func (d *Deployment) StopDaemons() []string {
	for _, n := range d.Nodes {
		_ = n.DaemonCmd.Process.Signal(syscall.SIGTERM)
	}
	var failed []string
	for _, n := range d.Nodes {
		if err := n.DaemonCmd.Wait(); err != nil {
			failed = append(failed, n.Name+": "+err.Error())
		}
	}
	return failed
}

// Close kills all processes that still run.
func (d *Deployment) Close() {
	for _, p := range d.procs {
		if p.ProcessState == nil {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	}
	if d.opts.LogDir == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// freeAddr returns a loopback address whose port was free when it was checked;
// another process may take it before it is used.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
