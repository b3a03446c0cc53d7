package main

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

// node is an upstream with its daemon.
type node struct {
	name, service, version, centre string
	entry, peer, admin, upstream   string
	server, daemon                 *exec.Cmd
}

// world holds all processes of the demo.
type world struct {
	opts  options
	dir   string
	log   string
	token string
	hash  string
	nodes []*node
	procs []*exec.Cmd
}

func newWorld(o options) (*world, error) {
	dir := o.Keep
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
	w := &world{opts: o, dir: dir, token: auth.BootstrapID + "." + secret, hash: hash}
	if err := os.WriteFile(w.path("token"), []byte(w.token), 0o600); err != nil {
		return nil, errors.Wrap(err, "write token")
	}
	w.log = freeAddr()
	_, err = w.start("stand-log", "log", "--listen", w.log)
	return w, err
}

func (w *world) path(name string) string {
	return filepath.Join(w.dir, name)
}

// start runs a program of the project with its output in a file.
func (w *world) start(program, name string, args ...string) (*exec.Cmd, error) {
	out, err := os.Create(w.path(name + ".log"))
	if err != nil {
		return nil, errors.Wrap(err, "log file")
	}
	cmd := exec.Command(filepath.Join(w.opts.Bin, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start "+program)
	}
	w.procs = append(w.procs, cmd)
	return cmd, nil
}

// add starts an upstream and its daemon.
func (w *world) add(service, version, centre string) (*node, error) {
	n := &node{
		name:    fmt.Sprintf("%s-%s-%d", service, version, len(w.nodes)),
		service: service, version: version, centre: centre,
		entry: freeAddr(), peer: freeAddr(), admin: freeAddr(), upstream: freeAddr(),
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
`, fleetName, service, version, centre, n.entry, n.peer, n.admin, n.upstream, w.log, w.hash)
	if err := os.WriteFile(w.path(n.name+".toml"), []byte(settings), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	var err error
	if n.server, err = w.start("stand-upstream", n.name+"-upstream", "--listen", n.upstream, "--version", version); err != nil {
		return nil, err
	}
	n.daemon, err = w.start("cranberrytack", n.name+"-daemon", "daemon", "-c", w.path(n.name+".toml"))
	w.nodes = append(w.nodes, n)
	return n, err
}

// operate runs a subcommand against a daemon and returns its output.
func (w *world) operate(ctx context.Context, at *node, args ...string) (string, error) {
	args = append(args, "--api", "http://"+at.admin, "--token-file", w.path("token"))
	cmd := exec.CommandContext(ctx, filepath.Join(w.opts.Bin, "cranberrytack"), args...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrapf(err, "cranberrytack %s: %s", strings.Join(args[:1], " "), out)
}

// document writes a document to a file and publishes it.
func (w *world) document(ctx context.Context, at *node, name, text string) error {
	if err := os.WriteFile(w.path(name), []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write document")
	}
	_, err := w.operate(ctx, at, "publish", w.path(name))
	return err
}

// waitReady waits until every daemon is ready.
func (w *world) waitReady(ctx context.Context) error {
	for _, n := range w.nodes {
		for !ready(ctx, n) {
			if ctx.Err() != nil {
				return errors.Errorf("daemon %s is not ready", n.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func ready(ctx context.Context, n *node) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.admin+"/readyz", nil)
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

// stopDaemons stops all daemons gracefully and returns what went wrong.
func (w *world) stopDaemons() []string {
	for _, n := range w.nodes {
		_ = n.daemon.Process.Signal(syscall.SIGTERM)
	}
	var failed []string
	for _, n := range w.nodes {
		if err := n.daemon.Wait(); err != nil {
			failed = append(failed, n.name+": "+err.Error())
		}
	}
	return failed
}

func (w *world) close() {
	for _, p := range w.procs {
		if p.ProcessState == nil {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	}
	if w.opts.Keep == "" {
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
